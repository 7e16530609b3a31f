/**
 * Routing: matches host, path, method and headers of a request to a route, and splits its traffic
 * over pools.
 *
 * <p>Threads: Tables are immutable and may be shared by threads.
 *
 * <p>May depend on: {@code call} only.
 */
package pumicekeel.route;
