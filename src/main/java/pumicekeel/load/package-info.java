/**
 * Load generation over real sockets, HTTP or JSON-RPC, open or closed loop, with an outcome
 * recorded for each request.
 *
 * <p>Threads: connections run on the event loops that the caller provides; statistics may be read
 * from any thread.
 *
 * <p>May depend on: {@code jsonrpc} and Netty; serving code never depends on it.
 */
package pumicekeel.load;
