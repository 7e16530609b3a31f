package pumicekeel.peers;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.BitSet;
import java.util.List;

/** The newest update about each member of the list. No I/O and no clock; belongs to one {@link Membership}. */
final class MembershipTable {

  private final GossipUpdate[] updates;
  private int lastOfPage;

  /** So many members, of which nothing is known yet. */
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

  /** Whether the member counts as present: a suspicion is no proof of a failure. */
  boolean isLive(int member) {
    return isLive(updates[member]);
  }

  private static boolean isLive(GossipUpdate update) {
    return update.state() == State.ALIVE || update.state() == State.SUSPECT;
  }

  /** The number of live members. */
  int live() {
    return (int) Arrays.stream(updates).filter(MembershipTable::isLive).count();
  }

  /** The number of members of which nothing was ever heard. */
  int unknown() {
    return (int) Arrays.stream(updates).filter(u -> u.state() == State.UNKNOWN).count();
  }

  /** The numbers of the live members. */
  BitSet liveSet() {
    BitSet set = new BitSet(updates.length);
    for (GossipUpdate update : updates) {
      set.set(update.member(), isLive(update));
    }
    return set;
  }

  /** The next updates in the order of the list, as many as fit in a datagram; members never heard of are left out. */
  List<GossipUpdate> nextPage() {
    List<GossipUpdate> page = new ArrayList<>(Datagram.MAX_UPDATES);
    for (int i = 0; i < updates.length && page.size() < Datagram.MAX_UPDATES; i++) {
      lastOfPage = (lastOfPage + 1) % updates.length;
      if (stateOf(lastOfPage) != State.UNKNOWN) {
        page.add(updates[lastOfPage]);
      }
    }
    return page;
  }
}
