/**
 * Deterministic subsetting: which upstreams each balancer of a large fleet uses, from identifiers
 * alone.
 *
 * <p>Threads: Pure functions, and a wrapper of the decision module that belongs to its module's
 * thread.
 *
 * <p>May depend on: {@code pumicekeel} only.
 */
package pumicekeel.subset;
