/**
 * Demonstrations on loopback: a real balancer between stand-in upstreams and clients, with faults
 * injected, verified against the logs of the stand-ins.
 *
 * <p>Threads: Own event loops for stand-ins and clients, beside the balancer's.
 *
 * <p>May depend on: {@code node}, {@code load}, {@code standin}; serving code never depends on it.
 */
package pumicekeel.demo;
