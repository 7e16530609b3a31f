/**
 * The table of open requests around one decision module: reports events to it and carries out its
 * actions. Also the interfaces by which a front end submits a request.
 *
 * <p>Threads: Event loop only.
 *
 * <p>May depend on: {@code call}, {@code upstream}, {@code discovery}, {@code runtime} and {@code
 * pumicekeel}; no client protocol.
 */
package pumicekeel.core;
