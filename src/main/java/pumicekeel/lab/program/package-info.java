/**
 * Deterministic simulation of the whole serving program: an event loop, TCP connections, clients,
 * upstreams and discovery in virtual time, and a record of the truth that verifies each run.
 *
 * <p>Threads: One thread per seed; the program's event loop is simulated on it.
 *
 * <p>May depend on: {@code node} and the packages below it, {@code lab.world} for random streams;
 * serving code never depends on it.
 */
package pumicekeel.lab.program;
