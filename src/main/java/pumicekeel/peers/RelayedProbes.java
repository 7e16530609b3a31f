package pumicekeel.peers;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;

/** Probes that this member sends on behalf of others, each until its target answers or its time is over. */
final class RelayedProbes {

  /**
   * One of them.
   *
   * @param requester who asked for it, and gets an ACK or a NACK with {@code requesterSequence}
   * @param sequence that of this member's own ping to {@code target}
   * @param until when the requester gets a NACK, by this member's clock in nanoseconds
   */
  record RelayedProbe(
      int requester, long requesterSequence, int target, long sequence, long until) {}

  /** Probes at one time; a flood of requests must not become a flood of probes. */
  private static final int MAX_PROBES = 64;

  private final List<RelayedProbe> probes = new ArrayList<>();

  boolean isFull() {
    return probes.size() >= MAX_PROBES;
  }

  void add(RelayedProbe probe) {
    probes.add(probe);
  }

  /** When the first one's time is over; {@link Long#MAX_VALUE} where there is none. */
  long nextAt() {
    long next = Long.MAX_VALUE;
    for (RelayedProbe probe : probes) {
      next = Math.min(next, probe.until());
    }
    return next;
  }

  /** Removes those whose time is over, and returns them. */
  List<RelayedProbe> takeExpired(long now) {
    List<RelayedProbe> expired = new ArrayList<>();
    for (RelayedProbe probe : probes) {
      if (now - probe.until() >= 0) {
        expired.add(probe);
      }
    }
    probes.removeAll(expired);
    return expired;
  }

  /** Removes the first one that this answer belongs to, and returns it; null where there is none. */
  RelayedProbe takeAnswered(int target, long sequence) {
    for (Iterator<RelayedProbe> it = probes.iterator(); it.hasNext(); ) {
      RelayedProbe probe = it.next();
      if (probe.sequence() == sequence && probe.target() == target) {
        it.remove();
        return probe;
      }
    }
    return null;
  }
}
