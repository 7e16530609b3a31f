/**
 * Load tests of a fleet of balancer processes under a daemon: a rolling restart with a check of the serving rules, and the throughput by
 * number of instances.
 *
 * <p>Threads: the load and the stand-ins have their own event loops; the instances are child processes.
 *
 * <p>May depend on: {@code fleet}, {@code load}, {@code standin} and {@code demo}; serving code never depends on this package.
 */
package pumicekeel.rig;
