package pumicekeel.peers;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * How long each suspected member has to refute its suspicion before it is declared dead. The time shrinks as members confirm the
 * suspicion independently, and grows with the size of the fleet (Lifeguard, section IV.B). No I/O; times are readings of the owner's
 * clock in nanoseconds.
 */
final class SuspicionTimers {

  private static final class Suspicion {
    private final long since;
    private final Set<Integer> suspecting = new HashSet<>();

    private Suspicion(long since, int by) {
      this.since = since;
      suspecting.add(by);
    }
  }

  private final MembershipSettings settings;
  private final Map<Integer, Suspicion> suspicions = new HashMap<>();

  SuspicionTimers(MembershipSettings settings) {
    this.settings = settings;
  }

  boolean isEmpty() {
    return suspicions.isEmpty();
  }

  /** Starts the suspicion of a member, anew where there was one. */
  void start(int member, int by, long now) {
    suspicions.put(member, new Suspicion(now, by));
  }

  boolean isRunning(int member) {
    return suspicions.containsKey(member);
  }

  /** Counts a confirmation; true where it is one of the first ones, from a member that had not confirmed before. */
  boolean confirm(int member, int by) {
    Suspicion suspicion = suspicions.get(member);
    return suspicion.suspecting.size() <= settings.confirmations() && suspicion.suspecting.add(by);
  }

  void cancel(int member) {
    suspicions.remove(member);
  }

  /** When the first one expires, with so many live members; {@link Long#MAX_VALUE} where there is none. */
  long nextAt(int live) {
    long next = Long.MAX_VALUE;
    for (Suspicion suspicion : suspicions.values()) {
      next = Math.min(next, expiryOf(suspicion, live));
    }
    return next;
  }

  /** Removes the suspicions that have expired, and returns their members. */
  List<Integer> takeExpired(long now, int live) {
    List<Integer> expired = new ArrayList<>();
    suspicions.forEach((member, suspicion) -> {
      if (now - expiryOf(suspicion, live) >= 0) {
        expired.add(member);
      }
    });
    expired.forEach(suspicions::remove);
    return expired;
  }

  private long expiryOf(Suspicion suspicion, int live) {
    double scale = Math.max(1, Math.log10(Math.max(1, live)));
    double min = settings.suspicionLeast() * scale * settings.periodNanos();
    double max = settings.suspicionMost() * min;
    // Only members beside the suspect, this one and the first suspecting one can confirm; where
    // there is none, the minimum holds.
    int wanted = Math.min(settings.confirmations(), live - 3);
    int confirmed = Math.min(wanted, suspicion.suspecting.size() - 1);
    double part = wanted <= 0 ? 1 : Math.log(confirmed + 1) / Math.log(wanted + 1);
    return suspicion.since + (long) Math.max(min, max - (max - min) * part);
  }
}
