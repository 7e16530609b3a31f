package pumicekeel.peers;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;

/** Indirect probes that this member sends on behalf of others, each until its target responds or it times out. */
final class RelayedProbes {

  /**
   * A relayed probe.
   *
   * @param requester the member that requested it and gets an ACK or a NACK with {@code requesterSequence}
   * @param sequence the sequence number of this member's own ping to {@code target}
   * @param until when the requester gets a NACK, by this member's clock in nanoseconds
   */
  record RelayedProbe(
      int requester, long requesterSequence, int target, long sequence, long until) {}

  /** Maximum number of concurrent probes; a flood of requests must not cause a flood of probes. */
  private static final int MAX_PROBES = 64;

  private final List<RelayedProbe> probes = new ArrayList<>();

  boolean isFull() {
    return probes.size() >= MAX_PROBES;
  }

  void add(RelayedProbe probe) {
    probes.add(probe);
  }

  /** Returns when the first probe times out; {@link Long#MAX_VALUE} if there is none. */
  long nextAt() {
    long next = Long.MAX_VALUE;
    for (RelayedProbe probe : probes) {
      next = Math.min(next, probe.until());
    }
    return next;
  }

  /** Removes and returns the probes that have timed out. */
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

  /** Removes and returns the first probe that a response belongs to; null if there is none. */
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
