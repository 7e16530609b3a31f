package pumicekeel.peers;

import java.util.BitSet;
import java.util.List;

/** Another protocol between members on the socket of {@link PeerLink}; told apart by how its datagrams begin. */
public interface PeerService {

  /** Whether a datagram is of this protocol. */
  boolean accepts(byte[] bytes);

  /** Takes one that came from the address of a member, and hands over what is to be sent. */
  List<Membership.OutgoingDatagram> receive(int from, byte[] bytes, long now);

  /** Does what is due, and hands over what is to be sent; {@code live} are the members that are there. */
  List<Membership.OutgoingDatagram> tick(long now, BitSet live);

  /** When {@link #tick} has something to do, at the latest. */
  long nextAt();
}
