/**
 * Load tests of a fleet of real processes under a real daemon: a rolling restart with the serving
 * rules verified, and throughput by number of instances.
 *
 * <p>Threads: Own event loops for load and stand-ins; the instances are child processes.
 *
 * <p>May depend on: {@code fleet}, {@code load}, {@code standin} and {@code demo}; serving code
 * never depends on it.
 */
package pumicekeel.rig;
