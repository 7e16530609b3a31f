/**
 * Discrete-event simulation of a fleet of balancers: hosts, clients, discovery, injected
 * faults, and the checks of the serving rules.
 *
 * <p>Threads: One thread per run; time is virtual and a seed determines the run.
 *
 * <p>May depend on: {@code lab.world}, {@code lab.policy} and {@code pumicekeel}.
 */
package pumicekeel.lab.fleet;
