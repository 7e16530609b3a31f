/**
 * Deterministic simulation of the whole serving program: an event loop, TCP connections, clients,
 * upstreams and discovery in virtual time, and a verifier of what clients and upstreams observe.
 *
 * <p>Threads: One thread per seed; the program's event loop is simulated on it.
 *
 * <p>May depend on: {@code node} and the packages below it, {@code lab.world} for random streams;
 * serving code never depends on it.
 */
package pumicekeel.lab.program;
