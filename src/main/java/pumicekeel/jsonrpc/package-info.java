/**
 * JSON-RPC 2.0 independent of client or server: framing, a strict message reader, JSON Pointers (RFC 6901),
 * error codes and a message writer.
 *
 * <p>Threads: Instances belong to one thread, usually the event loop; values are immutable.
 *
 * <p>May depend on: Jackson and Netty buffers.
 */
package pumicekeel.jsonrpc;
