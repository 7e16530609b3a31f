/**
 * Assembly of a balancer process: start, readiness, pools and their generations, reload, drain and
 * stop.
 *
 * <p>Threads: Serving state belongs to the event loop; files are read on the thread {@code
 * reload}, and the stop is awaited on a thread of its own.
 *
 * <p>May depend on: All serving packages; {@code cli} and test tools depend on it.
 */
package pumicekeel.node;
