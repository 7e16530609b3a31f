/**
 * The write-ahead journal of attempts: file format, writer, reader, recovery at start, and what a
 * journal proves about one request.
 *
 * <p>Threads: The writer has a thread of its own, fed by a bounded queue and reporting back to the
 * event loop. Readers block and run outside the event loop.
 *
 * <p>May depend on: {@code pumicekeel} only.
 */
package pumicekeel.journal;
