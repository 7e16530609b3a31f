/**
 * Balancing policies that the lab compares: the project's own module, and textbook baselines with
 * the same serving rules.
 *
 * <p>Threads: One thread per run.
 *
 * <p>May depend on: {@code subset} and {@code pumicekeel}.
 */
package pumicekeel.lab.policy;
