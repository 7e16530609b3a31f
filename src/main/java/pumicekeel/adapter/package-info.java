/**
 * The JSON protocol of the platform's simulator: a batch of events per input line, a line of
 * actions in return, one decision module per simulated balancer. Its checked reader of JSON
 * objects is also used for the platform's configuration.
 *
 * <p>Threads: Single-threaded; reads and writes the streams that it is given.
 *
 * <p>May depend on: {@code pumicekeel} and Jackson.
 */
package pumicekeel.adapter;
