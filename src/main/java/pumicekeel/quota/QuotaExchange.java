package pumicekeel.quota;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/**
 * One member's part in sharing tenants' quotas over a fleet: it begins with an even share of each, borrows from live members
 * what it lacks and lends what it does not need, for some seconds at a time. No I/O; times are readings of one clock in
 * nanoseconds. Only who is asked goes by who is there, never how much may be used, so a wrong view costs use and no safety.
 */
public final class QuotaExchange {

  /** Where a datagram is to go. */
  public record Out(int to, byte[] bytes) {}

  /** An answer that is waited for. */
  private record Asked(int lender, long tenant, double perSecond, long at) {}

  private static final class Tenant {
    private final long id;
    private final QuotaLedger ledger;
    private final Map<Integer, Long> declinedUntil = new HashMap<>();
    /** The last sequence and epoch of each borrower: what is repeated or late is not served again. */
    private final Map<Integer, long[]> lastAsk = new HashMap<>();

    private Tenant(long id, QuotaLedger ledger) {
      this.id = id;
      this.ledger = ledger;
    }
  }

  /** Less than this part of a share is not worth a datagram. */
  private static final double LEAST_PART = 0.02;
  /** What is not needed is given back as soon as this part of what is wanted is left over. */
  private static final double SURPLUS_KEPT = 0.25;
  /** Asks of one round over all tenants; at 42 bytes some 7 kB/s at the most. */
  private static final int MOST_ASKS = 32;
  /** Tenants with a quota; each has books of every other member. */
  public static final int MOST_TENANTS = 1_024;

  private final QuotaSettings settings;
  private final int self;
  private final int size;
  private final long epoch;
  private final SplittableRandom random;
  private final Map<Long, Tenant> tenants = new LinkedHashMap<>();
  private final Map<String, Tenant> byName = new HashMap<>();
  private final Map<Long, Asked> asked = new LinkedHashMap<>();
  private long sequence;
  private long roundAt;
  private long changesAt;
  private long discarded;
  private long firstTenant;

  /** The member of this number in a fleet of so many; {@code epoch} is higher in each of its lives. */
  public QuotaExchange(
      QuotaSettings settings, int self, int size, long epoch, long seed, long now) {
    if (self < 0 || self >= size) {
      throw new IllegalArgumentException(
          "expected a member of the fleet, got " + self + " of " + size);
    }
    this.settings = settings;
    this.self = self;
    this.size = size;
    this.epoch = epoch;
    random = new SplittableRandom(seed);
    sequence = random.nextInt() & 0xffffffffL;
    roundAt = now + random.nextLong(settings.roundNanos());
    changesAt = Long.MAX_VALUE;
  }

  /**
   * The quotas from now on, in requests a second over the fleet, by a name that is the same everywhere. One that was there with
   * the same figure goes on; any other begins as a new life does, since others may lend by the former figure. Beyond
   * {@link #MOST_TENANTS} none is shared, and each member has its even part.
   */
  public void quotas(Map<String, Double> perSecond, long now) {
    Map<Long, Tenant> next = new LinkedHashMap<>();
    byName.clear();
    perSecond.forEach((name, rate) -> {
      if (rate > 0 && next.size() < MOST_TENANTS) {
        long id = idOf(name, rate);
        Tenant t = tenants.get(id);
        next.put(id, t == null ? new Tenant(id, new QuotaLedger(settings, rate / size, now)) : t);
        byName.put(name, next.get(id));
      }
    });
    tenants.clear();
    tenants.putAll(next);
    asked.values().removeIf(a -> !tenants.containsKey(a.tenant()));
    touched(now);
  }

  /** Members with another figure or size do not lend to each other: their shares do not add up. */
  private long idOf(String name, double rate) {
    try {
      byte[] digest = MessageDigest.getInstance("SHA-256")
          .digest((name + '\n' + rate + '\n' + size).getBytes(StandardCharsets.UTF_8));
      return ByteBuffer.wrap(digest).getLong();
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Datagrams that were none, repeated, late, or of nobody's quota. */
  public long discarded() {
    return discarded;
  }

  // What may be used

  /** So many requests of a tenant have come. */
  public void asked(String name, double count, long now) {
    Tenant t = byName.get(name);
    if (t != null) {
      t.ledger.asked(count, now);
    }
  }

  /** Requests a second of a tenant that this member may admit as within its quota; 0 for one without. */
  public double rate(String name, long now) {
    Tenant t = byName.get(name);
    return t == null ? 0 : t.ledger.usable(now);
  }

  /** Whether rates may be others than when this was last asked. */
  public boolean changed(long now) {
    if (now - changesAt < 0) {
      return false;
    }
    changesAt = Long.MAX_VALUE;
    for (Tenant t : tenants.values()) {
      changesAt = Math.min(changesAt, t.ledger.nextEnd(now));
    }
    return true;
  }

  private void touched(long now) {
    changesAt = now;
  }

  // Asking

  /** When {@link #tick} has something to do. */
  public long nextAt() {
    return tenants.isEmpty() ? Long.MAX_VALUE : roundAt;
  }

  /** Asks for what is lacking; {@code live} are the members that may be asked. */
  public List<Out> tick(long now, BitSet live) {
    if (now - roundAt < 0) {
      return List.of();
    }
    roundAt = now + settings.roundNanos() / 2 + random.nextLong(settings.roundNanos());
    asked.values().removeIf(a -> now - a.at() >= settings.declinedNanos());
    List<Out> out = new ArrayList<>();
    List<Tenant> all = new ArrayList<>(tenants.values());
    // Begins elsewhere each round, so that the bound on asks starves nobody.
    firstTenant++;
    for (int i = 0; i < all.size() && out.size() < MOST_ASKS; i++) {
      ask(all.get((int) ((firstTenant + i) % all.size())), now, live, out);
    }
    return out;
  }

  private void ask(Tenant t, long now, BitSet live, List<Out> out) {
    double wanted = t.ledger.wanted(now);
    double has = t.ledger.usable(now);
    double least = LEAST_PART * t.ledger.share();
    double surplus = has - wanted;
    for (int lender : t.ledger.lenders()) {
      double due = t.ledger.due(lender, now);
      if (due == 0 || isAsked(t, lender)) {
        continue;
      }
      // Renewed as far as it is still needed.
      double need = Math.min(due, due - surplus);
      boolean renews = need > least && live.get(lender);
      if (renews) {
        send(t, lender, need, now, out);
      }
      surplus -= due - (renews ? need : 0);
    }
    double slack = SURPLUS_KEPT * wanted + least;
    for (int lender : t.ledger.lenders()) {
      double part = t.ledger.from(lender);
      if (part > 0 && surplus - part > slack && !isAsked(t, lender) && out.size() < MOST_ASKS) {
        surplus -= t.ledger.giveUp(lender);
        touched(now);
        sequence = sequence + 1 & 0xffffffffL;
        out.add(new Out(
            lender,
            new QuotaMessage(QuotaMessage.Kind.RETURN, self, epoch, epoch, sequence, t.id, 0)
                .bytes()));
      }
    }
    double lacks = -surplus - underWay(t);
    int[] others = lacks > least ? others(t, lacks, now, live) : new int[0];
    for (int lender : others) {
      send(t, lender, t.ledger.from(lender) + Math.max(least, lacks / others.length), now, out);
    }
  }

  private boolean isAsked(Tenant t, int lender) {
    return asked.values().stream().anyMatch(a -> a.lender() == lender && a.tenant() == t.id);
  }

  /** What answers that are waited for would add. */
  private double underWay(Tenant t) {
    return asked.values().stream()
        .filter(a -> a.tenant() == t.id)
        .mapToDouble(a -> Math.max(0, a.perSecond() - t.ledger.from(a.lender())))
        .sum();
  }

  /** Some that live and have not just declined; one that lends already may have more to lend. */
  private int[] others(Tenant t, double lacks, long now, BitSet live) {
    t.declinedUntil.values().removeIf(until -> now - until >= 0);
    int[] can = live.stream()
        .filter(m -> m != self && m < size && !t.declinedUntil.containsKey(m) && !isAsked(t, m))
        .toArray();
    int needed =
        (int) Math.ceil(Math.min(MOST_ASKS, lacks / (settings.lendablePart() * t.ledger.share())));
    int count = Math.min(Math.max(settings.askedAtOnce(), needed), can.length);
    for (int i = 0; i < count; i++) {
      int j = i + random.nextInt(can.length - i);
      int m = can[i];
      can[i] = can[j];
      can[j] = m;
    }
    return java.util.Arrays.copyOf(can, count);
  }

  private void send(Tenant t, int lender, double perSecond, long now, List<Out> out) {
    if (out.size() >= MOST_ASKS) {
      return;
    }
    sequence = sequence + 1 & 0xffffffffL;
    asked.put(sequence, new Asked(lender, t.id, perSecond, now));
    out.add(new Out(
        lender,
        new QuotaMessage(QuotaMessage.Kind.ASK, self, epoch, epoch, sequence, t.id, perSecond)
            .bytes()));
  }

  // Messages

  /** Whether a datagram is of this protocol. */
  public static boolean speaks(byte[] bytes) {
    return bytes.length >= 2 && ByteBuffer.wrap(bytes).getShort() == QuotaMessage.MAGIC;
  }

  /** Takes a datagram that came from the address of a member. */
  public List<Out> receive(int from, byte[] bytes, long now) {
    QuotaMessage m = QuotaMessage.of(bytes);
    Tenant t = m == null ? null : tenants.get(m.tenant());
    if (t == null || m.from() != from || from == self) {
      discarded++;
      return List.of();
    }
    if (m.kind() == QuotaMessage.Kind.LEND) {
      take(t, m, now);
      return List.of();
    }
    if (!isLater(t, m)) {
      discarded++;
      return List.of();
    }
    if (m.kind() == QuotaMessage.Kind.ASK) {
      return lend(t, m, now);
    }
    t.ledger.returned(from);
    touched(now);
    return List.of();
  }

  /** What was overtaken or comes twice is not served: an ask behind a return would lend to one that knows nothing of it. */
  private static boolean isLater(Tenant t, QuotaMessage m) {
    long[] last = t.lastAsk.computeIfAbsent(m.from(), k -> new long[] {-1, 0});
    boolean later =
        m.epoch() > last[0] || m.epoch() == last[0] && (int) (m.sequence() - last[1]) > 0;
    if (later) {
      last[0] = m.epoch();
      last[1] = m.sequence();
    }
    return later;
  }

  private List<Out> lend(Tenant t, QuotaMessage m, long now) {
    double part = t.ledger.lend(m.from(), m.perSecond(), now);
    if (part > 0) {
      touched(now);
    }
    return List.of(new Out(
        m.from(),
        new QuotaMessage(
                QuotaMessage.Kind.LEND, self, epoch, m.epoch(), m.sequence(), m.tenant(), part)
            .bytes()));
  }

  private void take(Tenant t, QuotaMessage m, long now) {
    Asked a = m.borrowerEpoch() == epoch ? asked.get(m.sequence()) : null;
    if (a == null
        || a.lender() != m.from()
        || a.tenant() != m.tenant()
        || m.perSecond() > a.perSecond()) {
      discarded++;
      return;
    }
    asked.remove(m.sequence());
    if (m.perSecond() < a.perSecond()) {
      t.declinedUntil.put(m.from(), now + settings.declinedNanos());
    }
    if (m.perSecond() > 0 && now - a.at() < settings.leaseNanos()) {
      t.ledger.borrow(m.from(), m.perSecond(), a.at());
      touched(now);
    }
  }
}
