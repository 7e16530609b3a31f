package pumicekeel.peers;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.BitSet;
import java.util.List;

/** The newest update about each member of the list. No I/O and no clock; used by one {@link Membership}. */
final class MembershipTable {

  private final GossipUpdate[] updates;
  private int pagePosition;

  /** Creates a table of {@code size} members, all of them unknown. */
  MembershipTable(int size) {
    updates = new GossipUpdate[size];
    for (int i = 0; i < size; i++) {
      updates[i] = new GossipUpdate(i, State.UNKNOWN, 0, 0);
    }
  }

  GossipUpdate get(int member) {
    return updates[member];
  }

  State stateOf(int member) {
    return updates[member].state();
  }

  void put(GossipUpdate update) {
    updates[update.member()] = update;
  }

  /** Returns whether the member counts as live: a suspicion does not prove a failure. */
  boolean isLive(int member) {
    return isLive(updates[member]);
  }

  private static boolean isLive(GossipUpdate update) {
    return update.state() == State.ALIVE || update.state() == State.SUSPECT;
  }

  /** Returns the number of live members. */
  int live() {
    return (int) Arrays.stream(updates).filter(MembershipTable::isLive).count();
  }

  /** Returns the number of members of which nothing has ever been received. */
  int unknown() {
    return (int) Arrays.stream(updates).filter(u -> u.state() == State.UNKNOWN).count();
  }

  /** Returns the numbers of the live members. */
  BitSet liveSet() {
    BitSet set = new BitSet(updates.length);
    for (GossipUpdate update : updates) {
      set.set(update.member(), isLive(update));
    }
    return set;
  }

  /** Returns the next updates in list order, as many as fit into a datagram; unknown members are skipped. */
  List<GossipUpdate> nextPage() {
    List<GossipUpdate> page = new ArrayList<>(Datagram.MAX_UPDATES);
    for (int i = 0; i < updates.length && page.size() < Datagram.MAX_UPDATES; i++) {
      pagePosition = (pagePosition + 1) % updates.length;
      if (stateOf(pagePosition) != State.UNKNOWN) {
        page.add(updates[pagePosition]);
      }
    }
    return page;
  }
}
