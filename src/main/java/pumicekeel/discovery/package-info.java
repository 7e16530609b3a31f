/**
 * Service discovery: the watch on the list of upstreams, its reconnects and time-outs, and the distribution of one list to all pools that
 * use it.
 *
 * <p>Threads: Event loop only.
 *
 * <p>May depend on: {@code adapter}, {@code runtime} and {@code pumicekeel}.
 */
package pumicekeel.discovery;
