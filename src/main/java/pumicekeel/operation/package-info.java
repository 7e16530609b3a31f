/**
 * Operators' calls and the state that they change: whether the instance is in rotation, and the
 * progress of an evacuation.
 *
 * <p>Threads: Event loop only; no I/O, the time is a parameter.
 *
 * <p>May depend on: The JDK only.
 */
package pumicekeel.operation;
