/**
 * What the serving code runs on: event loop, clock, sockets, log and the measurement of the event
 * loop's delay. A simulation may provide its own loop, clock and sockets.
 *
 * <p>Threads: Each class states its threads; the log may be written from any.
 *
 * <p>May depend on: Netty.
 */
package pumicekeel.runtime;
