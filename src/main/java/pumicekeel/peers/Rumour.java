package pumicekeel.peers;

/**
 * One word of one member: its number in the list of peers, its state, and of which life and incarnation that is said.
 *
 * @param epoch the member's boot epoch: a later life has a higher one, whatever its clock says
 * @param incarnation raised by the member alone, to take back a suspicion
 */
public record Rumour(int member, State state, long epoch, long incarnation) {

  /** Whether this word takes the place of another about the same member. */
  public boolean overrides(Rumour other) {
    if (epoch != other.epoch) {
      return epoch > other.epoch;
    }
    return incarnation != other.incarnation
        ? incarnation > other.incarnation
        : state.compareTo(other.state) > 0;
  }
}
