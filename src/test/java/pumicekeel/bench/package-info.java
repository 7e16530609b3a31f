/** JMH benchmarks of single classes; started manually, not by the build. */
package pumicekeel.bench;
