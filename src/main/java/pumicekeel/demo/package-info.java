/**
 * Demonstrations on loopback: a real balancer between stand-in upstreams and clients, with faults
 * injected, verified against the logs of the stand-ins.
 *
 * <p>Threads: stand-ins and clients have their own event loops, separate from the balancer's.
 *
 * <p>May depend on: {@code node}, {@code load}, {@code standin}; serving code never depends on it.
 */
package pumicekeel.demo;
