package pumicekeel.peers;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Updates that are still to be sent with other datagrams: each a limited number of times, the least sent ones first (SWIM, section
 * 4.1). At most one per member, so the size of the list is its bound.
 */
final class BroadcastQueue {

  /** An update and how often it was sent. */
  private static final class Broadcast {
    private final GossipUpdate update;
    private int times;

    private Broadcast(GossipUpdate update) {
      this.update = update;
    }
  }

  private final double retransmit;
  private final Map<Integer, Broadcast> pending = new HashMap<>();

  /** An update is sent {@code retransmit} times the decimal logarithm of the live members. */
  BroadcastQueue(double retransmit) {
    this.retransmit = retransmit;
  }

  /** Queues an update in place of an older one about the same member. */
  void add(GossipUpdate update) {
    pending.put(update.member(), new Broadcast(update));
  }

  /** Appends updates to those of a datagram as far as there is room, and counts each as sent once more. */
  void fill(List<GossipUpdate> updates, int live) {
    int limit = (int) Math.ceil(retransmit * Math.max(1, Math.log10(live + 1)));
    List<Broadcast> leastSent = pending.values().stream()
        .sorted(Comparator.<Broadcast>comparingInt(b -> b.times)
            .thenComparingInt(b -> b.update.member()))
        .limit(Datagram.MAX_UPDATES)
        .toList();
    for (Broadcast broadcast : leastSent) {
      if (updates.size() < Datagram.MAX_UPDATES && !updates.contains(broadcast.update)) {
        updates.add(broadcast.update);
        if (++broadcast.times >= limit) {
          pending.remove(broadcast.update.member());
        }
      }
    }
  }
}
