/**
 * The platform's configuration (JSON) and the operator file (TOML): reading, checking and the
 * resulting immutable settings. All faults of a file are reported in one pass, each with line,
 * key, expected and actual value.
 *
 * <p>Threads: Readers block on files and run outside the event loop; their results are immutable.
 *
 * <p>May depend on: The packages whose settings it builds, such as {@code route}, {@code journal},
 * {@code peers} and {@code front.jsonrpc}; never a connection or a pool at work.
 */
package pumicekeel.config;
