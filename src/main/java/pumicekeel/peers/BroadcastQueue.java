package pumicekeel.peers;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Updates that are piggybacked on outgoing datagrams: each a limited number of times, the least sent ones first (SWIM, section 4.1). Holds
 * at most one update per member, so its size is bounded by that of the member list.
 */
final class BroadcastQueue {

  /** An update and how often it has been sent. */
  private static final class Broadcast {
    private final GossipUpdate update;
    private int transmissions;

    private Broadcast(GossipUpdate update) {
      this.update = update;
    }
  }

  private final double retransmit;
  private final Map<Integer, Broadcast> pending = new HashMap<>();

  /** Creates a queue that sends each update {@code retransmit} times the decimal logarithm of the number of live members. */
  BroadcastQueue(double retransmit) {
    this.retransmit = retransmit;
  }

  /** Queues an update and replaces an older one about the same member. */
  void add(GossipUpdate update) {
    pending.put(update.member(), new Broadcast(update));
  }

  /** Appends updates to those of a datagram as far as its capacity allows, and counts each as sent once more. */
  void fill(List<GossipUpdate> updates, int live) {
    int limit = (int) Math.ceil(retransmit * Math.max(1, Math.log10(live + 1)));
    List<Broadcast> leastSent = pending.values().stream()
        .sorted(Comparator.<Broadcast>comparingInt(b -> b.transmissions)
            .thenComparingInt(b -> b.update.member()))
        .limit(Datagram.MAX_UPDATES)
        .toList();
    for (Broadcast broadcast : leastSent) {
      if (updates.size() < Datagram.MAX_UPDATES && !updates.contains(broadcast.update)) {
        updates.add(broadcast.update);
        if (++broadcast.transmissions >= limit) {
          pending.remove(broadcast.update.member());
        }
      }
    }
  }
}
