/**
 * Randomized simulations of a fleet's protocols in virtual time: membership, quota leases and
 * decision modules, each checked against its invariants.
 *
 * <p>Threads: One thread per run; a seed determines the run.
 *
 * <p>May depend on: {@code peers}, {@code quota} and {@code pumicekeel}.
 */
package pumicekeel.sim;
