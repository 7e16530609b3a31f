package pumicekeel.peers;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Timeouts within which suspected members can refute the suspicion before they are declared dead. A timeout shrinks as members confirm the
 * suspicion independently and grows with the size of the fleet (Lifeguard, section IV.B). No I/O; times are readings of the owner's clock
 * in nanoseconds.
 */
final class SuspicionTimers {

  private static final class Suspicion {
    private final long since;
    private final Set<Integer> suspectedBy = new HashSet<>();

    private Suspicion(long since, int by) {
      this.since = since;
      suspectedBy.add(by);
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

  /** Starts the timer of a member, or restarts it if it is running. */
  void start(int member, int by, long now) {
    suspicions.put(member, new Suspicion(now, by));
  }

  boolean isRunning(int member) {
    return suspicions.containsKey(member);
  }

  /** Counts a confirmation; returns whether it is among the first ones and from a member that has not confirmed before. */
  boolean confirm(int member, int by) {
    Suspicion suspicion = suspicions.get(member);
    return suspicion.suspectedBy.size() <= settings.confirmations()
        && suspicion.suspectedBy.add(by);
  }

  void cancel(int member) {
    suspicions.remove(member);
  }

  /** Returns when the first timer expires, given the number of live members; {@link Long#MAX_VALUE} if there is none. */
  long nextAt(int live) {
    long next = Long.MAX_VALUE;
    for (Suspicion suspicion : suspicions.values()) {
      next = Math.min(next, expiryOf(suspicion, live));
    }
    return next;
  }

  /** Removes the timers that have expired and returns their members. */
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
    double min = settings.minSuspicion() * scale * settings.periodNanos();
    double max = settings.maxSuspicionFactor() * min;
    // Only members other than the suspect, this member and the first one to suspect it can confirm.
    // If there are none, the minimum applies.
    int expected = Math.min(settings.confirmations(), live - 3);
    int confirmed = Math.min(expected, suspicion.suspectedBy.size() - 1);
    double reduction = expected <= 0 ? 1 : Math.log(confirmed + 1) / Math.log(expected + 1);
    return suspicion.since + (long) Math.max(min, max - (max - min) * reduction);
  }
}
