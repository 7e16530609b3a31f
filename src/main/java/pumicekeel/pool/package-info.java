/**
 * Resource accounting per pool: shares of connections, open requests and memory, the fair queue of
 * waiting requests, and the owners of keyed requests.
 *
 * <p>Threads: Event loop only; no I/O, the time is a parameter.
 *
 * <p>May depend on: {@code pumicekeel} only.
 */
package pumicekeel.pool;
