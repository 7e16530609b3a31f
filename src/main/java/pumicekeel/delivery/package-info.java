/**
 * Delivery of versioned configurations from control machines to balancers: versions, documents as keyed entries, deltas,
 * rules of succession between versions, the subscriber's state machine and the durable store. Classes here take the time as a parameter and
 * do no network I/O; {@code delivery.control} and {@code delivery.client} connect them to sockets.
 */
package pumicekeel.delivery;
