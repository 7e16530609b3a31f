/**
 * The platform's configuration (JSON) and the operator file (TOML): reading, checking and the
 * resulting immutable settings. All faults of a file are reported in one pass, each with its
 * line, its key, and the expected and actual values.
 *
 * <p>Threads: Readers block on file access and run outside the event loop; results are immutable.
 *
 * <p>May depend on: The packages whose settings it builds, such as {@code route}, {@code journal},
 * {@code peers} and {@code front.jsonrpc}; never connections or pools at run time.
 */
package pumicekeel.config;
