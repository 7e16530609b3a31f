/**
 * Delivery of versioned configurations from control machines to balancers: versions, documents as keyed entries, deltas, which
 * version replaces which, the subscriber's state machine and the durable store. Classes here take the time as a parameter and
 * do no network I/O; {@code delivery.control} and {@code delivery.client} put them on sockets.
 */
package pumicekeel.delivery;
