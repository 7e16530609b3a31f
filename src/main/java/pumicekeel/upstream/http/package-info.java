/**
 * HTTP/1.1 connections to upstreams, one request at a time on each: connection pool, strict answer
 * decoding, attempts.
 *
 * <p>Threads: Event loop only.
 *
 * <p>May depend on: {@code upstream}, {@code call}, {@code pool} and {@code runtime}.
 */
package pumicekeel.upstream.http;
