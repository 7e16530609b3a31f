package pumicekeel.peers;

import java.util.BitSet;
import java.util.List;

/** Another protocol between members on the socket of {@link PeerLink}, distinguished by the first bytes of its datagrams. */
public interface PeerService {

  /** Returns whether a datagram belongs to this protocol. */
  boolean accepts(byte[] bytes);

  /** Handles a datagram received from the address of a member and returns the datagrams to send. */
  List<Membership.OutgoingDatagram> receive(int from, byte[] bytes, long now);

  /** Performs the actions that are due and returns the datagrams to send; {@code live} are the live members. */
  List<Membership.OutgoingDatagram> tick(long now, BitSet live);

  /** Returns the time at which {@link #tick} is due at the latest. */
  long nextAt();
}
