/**
 * The JSON-RPC 2.0 front end over TCP: mapping of methods to request classes, batches, time limits
 * per call, and a fuzzer of its input.
 *
 * <p>Threads: Event loop only; the fuzzer runs on the thread of its caller.
 *
 * <p>May depend on: {@code front}, {@code core}, {@code call}, {@code jsonrpc} and {@code
 * runtime}.
 */
package pumicekeel.front.jsonrpc;
