package pumicekeel.peers;

import java.util.StringJoiner;

/** One member's view of its fleet as a line of JSON, for people and programs that compare several. */
record PeerView(Membership membership, int size, long strangers) {

  /** Members that are named at most, of each state; beyond it their number tells. */
  private static final int MAX_LISTED = 64;

  String json() {
    return "{\"size\":" + size + ",\"live\":" + membership.live() + ",\"unknown\":"
        + named(State.UNKNOWN) + ",\"suspect\":"
        + named(State.SUSPECT) + ",\"dead\":" + named(State.DEAD) + ",\"health\":"
        + membership.health() + ",\"refuted\":"
        + membership.refuted() + ",\"discarded\":" + membership.discarded() + ",\"other-versions\":"
        + membership.otherVersions() + ",\"strangers\":" + strangers + "}";
  }

  private String named(State state) {
    StringJoiner out = new StringJoiner(",", "[", "]");
    int named = 0;
    for (int i = 0; i < size && named < MAX_LISTED; i++) {
      if (membership.stateOf(i) == state) {
        out.add(Integer.toString(i));
        named++;
      }
    }
    return out.toString();
  }
}
