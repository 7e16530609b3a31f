/**
 * The decision module of the load balancer: {@link pumicekeel.Balancer} is its interface, {@link
 * pumicekeel.AdaptiveBalancer} chooses the upstream, the retry and the refusal of each request.
 *
 * <p>Threads: An instance belongs to one thread. It does no I/O, reads no clock and uses no
 * randomness beyond its seed: the same calls give the same actions.
 *
 * <p>May depend on: The JDK only.
 */
package pumicekeel;
