/**
 * Attempts and connections to upstreams, independent of their protocol: the table of upstreams and
 * the sockets that pools share.
 *
 * <p>Threads: Event loop only.
 *
 * <p>May depend on: {@code call}, {@code guard}, {@code pool}, {@code discovery}, {@code runtime} and
 * {@code pumicekeel}.
 */
package pumicekeel.upstream;
