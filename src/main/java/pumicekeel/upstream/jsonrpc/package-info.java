/**
 * Multiplexed JSON-RPC connections to upstreams, and the translation of HTTP
 * requests to calls.
 *
 * <p>Threads: Event loop only.
 *
 * <p>May depend on: {@code upstream}, {@code jsonrpc}, {@code call}, {@code pool} and {@code
 * runtime}.
 */
package pumicekeel.upstream.jsonrpc;
