package pumicekeel.peers;

/**
 * A gossiped update: the state of a member at one of its boot epochs and incarnations (SWIM, section 4.2).
 *
 * @param member the member's number in the list of peers
 * @param epoch the member's boot epoch: each restart has a higher one, even if its clock was set back
 * @param incarnation raised only by the member itself, to refute a suspicion
 */
public record GossipUpdate(int member, State state, long epoch, long incarnation) {

  /** Returns whether this update supersedes another one about the same member: by later epoch, then higher incarnation, then worse state. */
  public boolean overrides(GossipUpdate other) {
    if (epoch != other.epoch) {
      return epoch > other.epoch;
    }
    return incarnation != other.incarnation
        ? incarnation > other.incarnation
        : state.compareTo(other.state) > 0;
  }
}
