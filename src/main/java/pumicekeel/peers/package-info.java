/**
 * Membership of a fleet by SWIM with the Lifeguard extensions: the protocol as a state machine
 * without I/O, its datagram format, and the UDP socket that carries it.
 *
 * <p>Threads: Event loop only. The state machine takes the time as a parameter.
 *
 * <p>May depend on: The JDK; Netty for the socket.
 */
package pumicekeel.peers;
