package pumicekeel.journal;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import pumicekeel.Balancer.Effect;
import pumicekeel.Balancer.PriorAttempt;

/**
 * What is known of keyed and unsafe requests that may have run, from this process and from the tail of the journal of the
 * one before it: the facts that a repeat is decided by. Bounded; the oldest go first. No I/O, and the time is a
 * parameter, the balancer's clock in nanoseconds.
 */
public final class KeyMemory {

  /** Beyond the class's window: a repeat that comes then must not run at all, since nobody drops it any more. */
  public static final long RETENTION_MARGIN_NANOS = 60_000_000_000L;
  /** Some 600 bytes each. */
  public static final int MAX_ENTRIES = 20_000;

  /** What is remembered under a key, or under the id of an unsafe request. */
  private static final class Known {
    private final String home;
    private final Map<String, PriorAttempt> attempts = new LinkedHashMap<>(2);
    private long until;

    private Known(String home) {
      this.home = home;
    }
  }

  private final int most;
  private final Map<String, Known> byName = new LinkedHashMap<>();
  private long dropped;

  public KeyMemory(int most) {
    this.most = most;
  }

  /** The name under which a request is remembered: its key, or its id where it may not run again at all. */
  public static String entryName(Effect effect, String id, String key) {
    // As the journal has it, or a long key would not be known again after a restart.
    return recorded(effect, Codec.cut(id), Codec.cut(key));
  }

  /** The same of texts from the journal, which are cut already. */
  static String recorded(Effect effect, String id, String key) {
    return effect == Effect.KEYED && key != null ? "k" + key : "i" + id;
  }

  /** An attempt was made, or may have been: from now on it may run. */
  public void recordAttempt(
      String name,
      String home,
      String id,
      int attempt,
      PriorAttempt fact,
      long windowNanos,
      long now) {
    forget(now);
    Known known = byName.get(name);
    if (known == null) {
      known = new Known(home);
      byName.put(name, known);
    }
    known.attempts.put(id + "#" + attempt, fact);
    known.until = Math.max(known.until, fact.sentAtNanos() + windowNanos + RETENTION_MARGIN_NANOS);
  }

  /** An attempt's outcome proves that it did not run. */
  public void removeAttempt(String name, String id, int attempt) {
    Known known = byName.get(name);
    if (known != null) {
      known.attempts.remove(id + "#" + attempt);
      if (known.attempts.isEmpty()) {
        byName.remove(name);
      }
    }
  }

  /** The attempts of other requests of this name that may have run. */
  public List<PriorAttempt> earlierAttempts(String name, String id, long now) {
    Known known = byName.get(name);
    if (known == null || known.until <= now) {
      return List.of();
    }
    List<PriorAttempt> out = new ArrayList<>(1);
    known.attempts.forEach((of, fact) -> {
      if (!of.startsWith(id + "#")) {
        out.add(fact);
      }
    });
    return out;
  }

  /** The pool in which a request of this name may have run, or null. */
  public String poolOf(String name, long now) {
    Known known = byName.get(name);
    return known == null || known.until <= now ? null : known.home;
  }

  private void forget(long now) {
    var oldest = byName.values().iterator();
    while (oldest.hasNext()) {
      Known known = oldest.next();
      if (known.until > now) {
        if (byName.size() < most) {
          return;
        }
        dropped++;
      }
      oldest.remove();
    }
  }

  public int size() {
    return byName.size();
  }

  /** Given up before their time, for want of room. */
  public long dropped() {
    return dropped;
  }
}
