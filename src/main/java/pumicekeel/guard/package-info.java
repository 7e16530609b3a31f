/**
 * Central check of whether something may be sent, retried, rejected, answered or closed now. Counts the checks and every violation of
 * their result.
 *
 * <p>Threads: Event loop only; the count for the whole process may be read by any thread. No I/O.
 *
 * <p>May depend on: nothing.
 */
package pumicekeel.guard;
