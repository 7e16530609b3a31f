/**
 * Benchmarks on loopback, reported as ratios within one run, and a crash test that kills balancers
 * under load and verifies their journals.
 *
 * <p>Threads: Own event loops for load and stand-ins; balancers run as threads or child processes.
 *
 * <p>May depend on: {@code node}, {@code load}, {@code standin} and {@code journal}; serving code
 * never depends on it.
 */
package pumicekeel.measure;
