/**
 * Experiments in the lab: what is varied, running the simulations in parallel, result files that
 * can be resumed, paired comparison of policies, reports, and reduction of a failing world.
 *
 * <p>Threads: A pool of worker threads, one run on each; results are written by one of them at a
 * time.
 *
 * <p>May depend on: {@code lab.fleet}, {@code lab.policy}, {@code lab.world}, and {@code config}
 * for reading TOML.
 */
package pumicekeel.lab.experiment;
