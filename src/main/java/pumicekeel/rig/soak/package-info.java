/**
 * Soak test of real processes under overlapping faults: calls of the system that fail (a preloaded library), signals, restarts, faults
 * on the ways between processes. What clients and upstreams logged is held against the serving rules.
 *
 * <p>Threads: Own event loops for clients and stand-ins; the balancers are child processes.
 *
 * <p>May depend on: {@code rig}, {@code mesh}, {@code standin}; serving code never depends on it.
 */
package pumicekeel.rig.soak;
