/**
 * Small lab worlds on real loopback sockets, with the real program between simulated clients and
 * upstreams, to validate the simulation.
 *
 * <p>Threads: One event loop for the world, and one for the balancer under test.
 *
 * <p>May depend on: {@code node}, {@code lab.fleet}, {@code lab.world} and {@code standin}.
 */
package pumicekeel.lab.real;
