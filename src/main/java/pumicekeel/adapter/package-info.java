/**
 * The JSON protocol of the platform's simulator: a batch of events per input line, answered with a
 * line of actions; one decision module per simulated balancer. Its checked reader of JSON
 * objects is also used for the platform's configuration.
 *
 * <p>Threads: Single-threaded; reads and writes the given streams.
 *
 * <p>May depend on: {@code pumicekeel} and Jackson.
 */
package pumicekeel.adapter;
