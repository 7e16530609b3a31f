/** JMH benchmarks of single classes; run by hand, not by the build. */
package pumicekeel.bench;
