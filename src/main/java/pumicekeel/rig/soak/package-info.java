/**
 * Soak test of real processes under overlapping faults: system calls that fail (by a preloaded library), signals, restarts, and faults
 * on the links between processes. The events that clients and upstreams logged are checked against the serving rules.
 *
 * <p>Threads: clients and stand-ins have their own event loops; the balancers are child processes.
 *
 * <p>May depend on: {@code rig}, {@code mesh}, {@code standin}; serving code never depends on it.
 */
package pumicekeel.rig.soak;
