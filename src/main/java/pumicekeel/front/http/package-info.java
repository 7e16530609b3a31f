/**
 * The HTTP/1.1 front end for clients (RFC 9110, RFC 9112): strict request decoding, time limits
 * per connection, and writing of answers.
 *
 * <p>Threads: Event loop only.
 *
 * <p>May depend on: {@code front}, {@code core}, {@code call} and {@code runtime}.
 */
package pumicekeel.front.http;
