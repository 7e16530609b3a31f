/**
 * Membership of a fleet by SWIM with the Lifeguard extensions: the protocol as a state machine
 * without I/O, its datagram format, and the UDP socket that carries it; and a socket by which a
 * balancer of the platform's tier broadcasts messages to all others.
 *
 * <p>Threads: Event loop only. The state machine takes the time as a parameter.
 *
 * <p>May depend on: {@code runtime}; Netty for the sockets.
 */
package pumicekeel.peers;
