package pumicekeel.discovery;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/**
 * What balancers tell each other of upstreams that left, in datagrams to all: so that one to which discovery's lists come late, or not at
 * all, sends nothing to them. No I/O; times are nanoseconds of one monotonic clock, the seed is its only randomness.
 *
 * <p>A word says who left, or was away for a while, between two versions of the list. Who serves again may be sent to only once that counts as
 * told here as well: when the own list says so, or 6 s after another balancer's list did. One whose list is old asks; one with a current list answers. A word that reaches
 * back to the version that is known here also confirms the list as of the time at which its sender last heard from discovery.
 *
 * <p>Words and questions are sent to all after a random pause, and left out where an equal one was heard meanwhile, so that their number
 * does not grow with the fleet. Each change is told twice, against loss. A word that is not covered by a list within
 * {@link #WORD_NANOS} is dropped: then versions here have nothing to do with those of its sender.
 */
public final class DepartureExchange {

  private static final long TELL_SPREAD_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
  private static final long TELL_AGAIN_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);
  private static final long ANSWER_SPREAD_NANOS = TimeUnit.MILLISECONDS.toNanos(300);
  private static final long ASK_PERIOD_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);
  /** A list older than this has missed a heartbeat. */
  private static final long ASK_AGE_NANOS = TimeUnit.MILLISECONDS.toNanos(2_500);
  /** On its way a datagram takes this long at most, or counts as lost. */
  private static final long DELIVERY_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
  /** Longer than a list stays away in any outage that is survived. */
  private static final long WORD_NANOS = TimeUnit.SECONDS.toNanos(30);
  /** Departures are told of for so long. */
  private static final long HISTORY_NANOS = TimeUnit.SECONDS.toNanos(120);
  /** One return is told at different times to balancers that discovery reaches, up to so far apart. */
  private static final long SAME_RETURN_NANOS = TimeUnit.SECONDS.toNanos(4);
  /** Words that are kept, of others. */
  private static final int MAX_WORDS = 10_000;

  private static final long NEVER = Long.MAX_VALUE;
  /** Before any reading of a clock, and far from an overflow. */
  private static final long AT_ONCE = Long.MIN_VALUE / 4;

  /** Upstreams that a version told as away, and those that it told as serving again. */
  private record Changes(Set<Long> left, Set<Long> back, long at) {}

  /** Of one upstream: the version, when it came, and when its return was told to another balancer, {@link #NEVER} for not yet. */
  private record Word(long to, long at, long backAt) {}

  /** An upstream that serves again by others' word, which counts as told by now; it started then at the latest. */
  public record ReturnedUpstream(long id, long startedNanos) {}

  /** The parts of a word of several datagrams that have come. */
  private record Parts(long from, long to, Set<Integer> came) {}

  private final ListCurrency currency;
  private final SplittableRandom random;
  private final double density;
  /** By the version that told of it. */
  private final TreeMap<Long, Changes> history = new TreeMap<>();

  private final Map<Long, Word> words = new HashMap<>();
  /** Returns by others' word that have counted as told: an upstream's id, and when it was back. */
  private final Map<Long, Long> returned = new HashMap<>();

  private final Map<Integer, Parts> parts = new HashMap<>();
  /** From this version on, all departures are in the history. */
  private long historyFrom;
  /** The own list's version, and when discovery last told it, or gave a sign of life. */
  private long index;

  /** The version up to which departures are known, by the own list or others' words. */
  private long covered;
  /** The version up to which all have been told. */
  private long shared;

  /** The next telling of what was listed last: the first or the second, from which version on, and what was heard of it since. */
  private long tellAt = NEVER;

  private int round;
  private long tellFrom;
  private boolean toldByOthers;
  private long answerAt = NEVER;
  private long answerFrom;
  private long askAt = NEVER;
  private long asks;
  private long tells;
  private long heardAsks;
  private long heardTells;

  /** Of a balancer of a tier of this size, whose list this is the currency of. */
  public DepartureExchange(ListCurrency currency, int size, long seed) {
    this.currency = currency;
    density = 1 + Math.log(Math.max(1, size));
    random = new SplittableRandom(seed);
  }

  /** The list as it stands at the start has this version; others are asked at once what it has missed. */
  void start(long version) {
    index = version;
    covered = version;
    shared = version;
    historyFrom = version;
    askAt = AT_ONCE;
  }

  /**
   * A pause within a span, of which few of a large fleet have a short one: the first of them spare the others the datagram (Nonnenmacher and
   * Biersack, "Scalable Feedback for Large Groups", 1999).
   */
  private long pause(long spanNanos) {
    double part = Math.log1p(random.nextDouble() * Math.expm1(density)) / density;
    return (long) (spanNanos * part);
  }

  /** Whether an upstream left by others' word. */
  boolean hasDeparted(long id) {
    return words.containsKey(id);
  }

  /**
   * The own list has come to a version, in which these have left, or were away, and these serve again, or for the first time; those whose
   * departure by others' word it covers.
   */
  Set<Long> listUpdated(long version, Set<Long> left, Set<Long> back, long now) {
    if (version < index) {
      // Another discovery's count: what was known of the one before says nothing of it.
      history.clear();
      tellAt = NEVER;
      historyFrom = version;
      covered = version;
      shared = version;
    }
    index = version;
    covered = Math.max(covered, version);
    if (!left.isEmpty() || !back.isEmpty()) {
      history.put(version, new Changes(left, back, now));
    }
    if (!left.isEmpty()) {
      tellFrom = tellAt == NEVER ? shared : Math.min(tellFrom, shared);
      round = 1;
      toldByOthers = false;
      tellAt = now + pause(TELL_SPREAD_NANOS);
    }
    Set<Long> cleared = new LinkedHashSet<>();
    words.forEach((id, word) -> {
      if (word.to() <= version) {
        cleared.add(id);
      }
    });
    words.keySet().removeAll(cleared);
    return cleared;
  }

  /** Those that serve again by others' word, now that this counts as told here; each once. */
  public List<ReturnedUpstream> pollReturned(long now) {
    List<ReturnedUpstream> back = new ArrayList<>();
    words.forEach((id, word) -> {
      if (word.backAt() != NEVER
          && now - word.backAt() > ListCurrency.CHANGE_NOTICE_NANOS + 2 * DELIVERY_NANOS) {
        back.add(new ReturnedUpstream(id, word.backAt()));
      }
    });
    for (ReturnedUpstream one : back) {
      words.remove(one.id());
      returned.put(one.id(), one.startedNanos());
    }
    return back;
  }

  /** Takes a datagram from a balancer of this number; those that left by it and were not known to have. */
  public Set<Long> receive(int from, byte[] bytes, long now) {
    DepartureMessage message = DepartureMessage.read(bytes);
    if (message == null) {
      return Set.of();
    }
    if (message.kind() == DepartureMessage.Kind.ASK) {
      asked(message, now);
      return Set.of();
    }
    return told(from, message, now);
  }

  private void asked(DepartureMessage message, long now) {
    heardAsks++;
    currency.peerQueried(now);
    if (knows(now)) {
      answerFrom = answerAt == NEVER ? message.from() : Math.min(answerFrom, message.from());
      answerAt = Math.min(answerAt, now + pause(ANSWER_SPREAD_NANOS));
    } else if (message.from() <= covered && askAt != NEVER) {
      // Its answer will do here too.
      askAt = Math.max(askAt, now + ASK_PERIOD_NANOS / 2 + pause(ASK_PERIOD_NANOS));
    }
  }

  /** Whether discovery itself was heard a moment ago. */
  private boolean knows(long now) {
    return now - currency.lastContactAt() <= ASK_AGE_NANOS;
  }

  private Set<Long> told(int from, DepartureMessage message, long now) {
    heardTells++;
    currency.peerReported(now);
    Set<Long> fresh = new LinkedHashSet<>();
    if (message.to() > index && words.size() < MAX_WORDS) {
      for (DepartureMessage.Departure one : message.departures()) {
        if (heard(one, message.to(), now)) {
          fresh.add(one.id());
        }
      }
    }
    if (!complete(from, message)) {
      return fresh;
    }
    if (message.to() >= index) {
      toldByOthers |= message.from() <= tellFrom;
      if (message.from() <= shared) {
        shared = Math.max(shared, message.to());
      }
      if (answerAt != NEVER && message.from() <= answerFrom) {
        answerAt = NEVER;
      }
    }
    if (message.from() <= covered && message.to() >= covered) {
      covered = message.to();
      currency.confirmedByPeer(
          now - TimeUnit.MILLISECONDS.toNanos(message.ageMillis()) - DELIVERY_NANOS);
    }
    return fresh;
  }

  /** Takes one upstream's departure in; whether it was not known. An older word changes nothing. */
  private boolean heard(DepartureMessage.Departure one, long to, long now) {
    Word before = words.get(one.id());
    if (before != null && before.to() > to) {
      return false;
    }
    long backAt = one.backMillis() == DepartureMessage.AWAY
        ? NEVER
        : now - TimeUnit.MILLISECONDS.toNanos(one.backMillis());
    Long known = before == null && backAt != NEVER ? returned.get(one.id()) : null;
    if (known != null && Math.abs(known - backAt) < SAME_RETURN_NANOS) {
      // Told again, as others ask.
      return false;
    }
    if (before != null && before.backAt() != NEVER && backAt != NEVER) {
      // The same return by another's list: the first that told it counts.
      backAt = Math.min(before.backAt(), backAt);
    }
    words.put(one.id(), new Word(to, now, backAt));
    return before == null;
  }

  private boolean complete(int from, DepartureMessage message) {
    if (message.parts() == 1) {
      return true;
    }
    Parts of = parts.get(from);
    if (of == null || of.from() != message.from() || of.to() != message.to()) {
      of = new Parts(message.from(), message.to(), new HashSet<>());
      parts.put(from, of);
    }
    of.came().add(message.part());
    return of.came().size() == message.parts();
  }

  /** When {@link #tick} has something to send, at the latest. */
  public long nextTickAt() {
    long due = Math.min(tellAt, Math.min(answerAt, askAt));
    return askAt == NEVER ? Math.min(due, currency.asOf() + ASK_AGE_NANOS) : due;
  }

  /** Datagrams to all that are due. */
  public List<byte[]> tick(long now) {
    forget(now);
    List<byte[]> out = new ArrayList<>();
    if (now >= tellAt) {
      tellAgain(now, out);
    }
    if (now >= answerAt) {
      answerAt = NEVER;
      if (knows(now)) {
        tell(answerFrom, now, out);
      }
    }
    ask(now, out);
    return out;
  }

  /** Two words of each change are enough, whoever sends them. */
  private void tellAgain(long now, List<byte[]> out) {
    if (!toldByOthers && knows(now)) {
      tell(tellFrom, now, out);
    }
    toldByOthers = false;
    tellAt = round == 1 ? now + TELL_AGAIN_NANOS + pause(TELL_SPREAD_NANOS) : NEVER;
    round++;
  }

  /** Tells of all departures behind a version, as far as they are known. */
  private void tell(long behind, long now, List<byte[]> out) {
    long from = Math.max(behind, historyFrom);
    Map<Long, Integer> changes = new LinkedHashMap<>();
    for (long version : history.descendingKeySet()) {
      Changes more = history.get(version);
      boolean fits = changes.size() + more.left().size() + more.back().size()
          <= DepartureMessage.MAX_PARTS * DepartureMessage.MAX_DEPARTURES;
      if (version <= from || !fits) {
        from = Math.max(from, version);
        break;
      }
      int millis = (int) TimeUnit.NANOSECONDS.toMillis(now - more.at());
      more.back().forEach(id -> changes.putIfAbsent(id, millis));
      more.left().forEach(id -> changes.putIfAbsent(id, DepartureMessage.AWAY));
    }
    List<DepartureMessage.Departure> departures = new ArrayList<>();
    changes.forEach((id, back) -> departures.add(new DepartureMessage.Departure(id, back)));
    int age = (int) Math.min(
        Integer.MAX_VALUE,
        TimeUnit.NANOSECONDS.toMillis(Math.max(0, now - currency.lastContactAt())));
    DepartureMessage.tell(from, index, age, departures).forEach(m -> out.add(m.bytes()));
    shared = Math.max(shared, index);
    tells++;
  }

  private void ask(long now, List<byte[]> out) {
    if (askAt == NEVER && now - currency.asOf() > ASK_AGE_NANOS) {
      askAt = now + pause(ANSWER_SPREAD_NANOS);
    }
    if (now < askAt) {
      return;
    }
    boolean first = askAt == AT_ONCE;
    if (!first && now - currency.asOf() <= ASK_AGE_NANOS) {
      askAt = NEVER;
      return;
    }
    out.add(DepartureMessage.ask(covered).bytes());
    asks++;
    askAt = now + ASK_PERIOD_NANOS / 2 + pause(ASK_PERIOD_NANOS);
  }

  private void forget(long now) {
    words.values().removeIf(word -> now - word.at() > WORD_NANOS);
    returned.values().removeIf(at -> now - at > HISTORY_NANOS);
    while (!history.isEmpty() && now - history.firstEntry().getValue().at() > HISTORY_NANOS) {
      historyFrom = Math.max(historyFrom, history.pollFirstEntry().getKey());
    }
  }

  /** For operators: what was said and heard, a line. */
  public String statusLine() {
    return "departures known to version " + covered + ", by others' word " + words.size()
        + ", words sent " + tells + " heard " + heardTells + ", questions sent " + asks + " heard "
        + heardAsks;
  }
}
