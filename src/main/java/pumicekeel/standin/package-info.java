/**
 * Stand-ins on loopback for upstreams, JSON-RPC servers and clients, and discovery. Tests check
 * their results against the logs of the stand-ins.
 *
 * <p>Threads: Event loops that the caller provides; public methods may be called from any thread.
 *
 * <p>May depend on: {@code jsonrpc} and Netty; serving code never depends on it.
 */
package pumicekeel.standin;
