/**
 * Leases of tenants' quotas between the members of a fleet: the exchange as a state machine
 * without I/O, its ledger and its datagram format.
 *
 * <p>Threads: Event loop only; the time is a parameter.
 *
 * <p>May depend on: The JDK only.
 */
package pumicekeel.quota;
