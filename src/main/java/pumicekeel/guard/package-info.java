/**
 * The one place that says whether something may be sent, repeated, refused, answered or closed now, and that counts what it was asked
 * and what was done against it.
 *
 * <p>Threads: Event loop only; the count of a whole process may be read by any thread. No I/O.
 *
 * <p>May depend on: nothing.
 */
package pumicekeel.guard;
