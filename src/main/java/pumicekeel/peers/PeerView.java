package pumicekeel.peers;

import java.util.StringJoiner;

/** One member's view of its fleet as a line of JSON, for operators and programs that compare the views of several members. */
record PeerView(Membership membership, int size, long strangers) {

  /** Maximum number of members listed for each state. */
  private static final int MAX_LISTED = 64;

  String json() {
    return "{\"size\":" + size + ",\"live\":" + membership.live() + ",\"unknown\":"
        + list(State.UNKNOWN) + ",\"suspect\":"
        + list(State.SUSPECT) + ",\"dead\":" + list(State.DEAD) + ",\"health\":"
        + membership.health() + ",\"refuted\":"
        + membership.refuted() + ",\"discarded\":" + membership.discarded() + ",\"other-versions\":"
        + membership.otherVersions() + ",\"strangers\":" + strangers + "}";
  }

  private String list(State state) {
    StringJoiner out = new StringJoiner(",", "[", "]");
    int listed = 0;
    for (int i = 0; i < size && listed < MAX_LISTED; i++) {
      if (membership.stateOf(i) == state) {
        out.add(Integer.toString(i));
        listed++;
      }
    }
    return out.toString();
  }
}
