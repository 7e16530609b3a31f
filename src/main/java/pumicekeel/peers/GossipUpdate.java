package pumicekeel.peers;

/**
 * One statement about a member, as gossip carries it: the state of a member in one of its lives and incarnations (SWIM, section 4.2).
 *
 * @param member its number in the list of peers
 * @param epoch the member's boot epoch: a later life has a higher one, whatever its clock says
 * @param incarnation raised by the member alone, to refute a suspicion
 */
public record GossipUpdate(int member, State state, long epoch, long incarnation) {

  /** Whether this update replaces another one about the same member: later life, then higher incarnation, then worse state. */
  public boolean overrides(GossipUpdate other) {
    if (epoch != other.epoch) {
      return epoch > other.epoch;
    }
    return incarnation != other.incarnation
        ? incarnation > other.incarnation
        : state.compareTo(other.state) > 0;
  }
}
