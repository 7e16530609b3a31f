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
 * Shares tenants' quotas between the members of a fleet, from one member's side: it starts with an even share of each quota,
 * borrows missing capacity from live members and lends unused capacity, on leases of a few seconds. Does no I/O; times are
 * nanoseconds of one monotonic clock. The membership view only selects whom to query, never how much may be used, so a wrong
 * view lowers utilization and cannot exceed a quota.
 */
public final class QuotaExchange {

  /** A datagram and the member that it goes to. */
  public record OutgoingDatagram(int to, byte[] bytes) {}

  /** A loan request without a reply yet. */
  private record PendingLoan(int lender, long tenant, double perSecond, long at) {}

  private static final class Tenant {
    private final long id;
    private final QuotaLedger ledger;
    private final Map<Integer, Long> declineBackoffUntil = new HashMap<>();
    /** The last epoch and sequence number received from each borrower, by which repeated and reordered messages are recognized. */
    private final Map<Integer, long[]> lastMessage = new HashMap<>();

    private Tenant(long id, QuotaLedger ledger) {
      this.id = id;
      this.ledger = ledger;
    }
  }

  /** Smallest loan that is requested, as a fraction of the member's share: less is not worth a datagram. */
  private static final double MIN_SHARE_FRACTION = 0.02;
  /** A loan is returned if the surplus without it still exceeds this fraction of the demand. */
  private static final double MAX_SURPLUS_FRACTION = 0.25;
  /** Messages sent in one round over all tenants; at 42 bytes each at most some 7 kB/s. */
  private static final int MAX_REQUESTS_PER_ROUND = 32;
  /** Maximum number of tenants with a quota: each keeps state about every other member. */
  public static final int MAX_TENANTS = 1_024;

  private final QuotaSettings settings;
  private final int self;
  private final int size;
  private final long epoch;
  private final SplittableRandom random;
  private final Map<Long, Tenant> tenants = new LinkedHashMap<>();
  private final Map<String, Tenant> byName = new HashMap<>();
  private final Map<Long, PendingLoan> pending = new LinkedHashMap<>();
  private long sequence;
  private long nextRoundAt;
  private long nextRateChangeAt;
  private long discarded;
  private long firstTenantOfRound;

  /** Creates the member numbered {@code self} of {@code size}; {@code epoch} grows with each restart of that member. */
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
    nextRoundAt = now + random.nextLong(settings.roundNanos());
    nextRateChangeAt = Long.MAX_VALUE;
  }

  /**
   * Replaces the quotas, in requests per second over the fleet, by a name that is the same at all members. A quota that keeps
   * its rate keeps its leases; any other starts as after a restart, since members may still lend by the former rate. Quotas
   * beyond {@link #MAX_TENANTS} are not exchanged; each member has its even share of them.
   */
  public void setQuotas(Map<String, Double> perSecond, long now) {
    Map<Long, Tenant> next = new LinkedHashMap<>();
    byName.clear();
    perSecond.forEach((name, rate) -> {
      if (rate > 0 && next.size() < MAX_TENANTS) {
        long id = idOf(name, rate);
        Tenant t = tenants.get(id);
        next.put(id, t == null ? new Tenant(id, new QuotaLedger(settings, rate / size, now)) : t);
        byName.put(name, next.get(id));
      }
    });
    tenants.clear();
    tenants.putAll(next);
    pending.values().removeIf(a -> !tenants.containsKey(a.tenant()));
    ratesMayChange(now);
  }

  /** Hashes rate and fleet size too: members that differ in them must not lend to each other, their shares do not add up. */
  private long idOf(String name, double rate) {
    try {
      byte[] digest = MessageDigest.getInstance("SHA-256")
          .digest((name + '\n' + rate + '\n' + size).getBytes(StandardCharsets.UTF_8));
      return ByteBuffer.wrap(digest).getLong();
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Returns the number of datagrams discarded as malformed, repeated, late or of an unknown quota. */
  public long discarded() {
    return discarded;
  }

  // Admissible rates

  /** Records {@code count} requests received for a tenant. */
  public void recordRequests(String name, double count, long now) {
    Tenant t = byName.get(name);
    if (t != null) {
      t.ledger.recordRequests(count, now);
    }
  }

  /** Returns the requests per second of a tenant that this member may admit within the quota; 0 for a tenant without one. */
  public double rate(String name, long now) {
    Tenant t = byName.get(name);
    return t == null ? 0 : t.ledger.usablePerSecond(now);
  }

  /** Returns whether rates may have changed since the last call. */
  public boolean ratesChanged(long now) {
    if (now - nextRateChangeAt < 0) {
      return false;
    }
    nextRateChangeAt = Long.MAX_VALUE;
    for (Tenant t : tenants.values()) {
      nextRateChangeAt = Math.min(nextRateChangeAt, t.ledger.nextExpiry(now));
    }
    return true;
  }

  private void ratesMayChange(long now) {
    nextRateChangeAt = now;
  }

  // Borrowing and returning

  /** Returns when {@link #tick} is due. */
  public long nextTickAt() {
    return tenants.isEmpty() ? Long.MAX_VALUE : nextRoundAt;
  }

  /** Requests missing capacity and returns surplus loans; {@code live} are the members that may be queried. */
  public List<OutgoingDatagram> tick(long now, BitSet live) {
    if (now - nextRoundAt < 0) {
      return List.of();
    }
    nextRoundAt = now + settings.roundNanos() / 2 + random.nextLong(settings.roundNanos());
    pending.values().removeIf(a -> now - a.at() >= settings.declineBackoffNanos());
    List<OutgoingDatagram> out = new ArrayList<>();
    List<Tenant> all = new ArrayList<>(tenants.values());
    // Starts at another tenant each round, so that the limit on messages does not starve any of
    // them.
    firstTenantOfRound++;
    for (int i = 0; i < all.size() && out.size() < MAX_REQUESTS_PER_ROUND; i++) {
      requestAndReturn(all.get((int) ((firstTenantOfRound + i) % all.size())), now, live, out);
    }
    return out;
  }

  private void requestAndReturn(Tenant t, long now, BitSet live, List<OutgoingDatagram> out) {
    double demand = t.ledger.demandPerSecond(now);
    double usable = t.ledger.usablePerSecond(now);
    double minimum = MIN_SHARE_FRACTION * t.ledger.share();
    double surplus = usable - demand;
    for (int lender : t.ledger.lenders()) {
      double due = t.ledger.dueForRenewal(lender, now);
      if (due == 0 || hasPendingRequest(t, lender)) {
        continue;
      }
      // Renews only the part that is still needed.
      double need = Math.min(due, due - surplus);
      boolean renews = need > minimum && live.get(lender);
      if (renews) {
        sendRequest(t, lender, need, now, out);
      }
      surplus -= due - (renews ? need : 0);
    }
    double slack = MAX_SURPLUS_FRACTION * demand + minimum;
    for (int lender : t.ledger.lenders()) {
      double loan = t.ledger.borrowedFrom(lender);
      if (loan > 0
          && surplus - loan > slack
          && !hasPendingRequest(t, lender)
          && out.size() < MAX_REQUESTS_PER_ROUND) {
        surplus -= t.ledger.giveUp(lender);
        ratesMayChange(now);
        sequence = sequence + 1 & 0xffffffffL;
        out.add(new OutgoingDatagram(
            lender,
            new QuotaMessage(QuotaMessage.Kind.RETURN, self, epoch, epoch, sequence, t.id, 0)
                .bytes()));
      }
    }
    double missing = -surplus - pendingLoans(t);
    int[] chosen = missing > minimum ? chooseLenders(t, missing, now, live) : new int[0];
    for (int lender : chosen) {
      sendRequest(
          t,
          lender,
          t.ledger.borrowedFrom(lender) + Math.max(minimum, missing / chosen.length),
          now,
          out);
    }
  }

  private boolean hasPendingRequest(Tenant t, int lender) {
    return pending.values().stream().anyMatch(a -> a.lender() == lender && a.tenant() == t.id);
  }

  /** Returns the capacity that outstanding requests would add if all were granted. */
  private double pendingLoans(Tenant t) {
    return pending.values().stream()
        .filter(a -> a.tenant() == t.id)
        .mapToDouble(a -> Math.max(0, a.perSecond() - t.ledger.borrowedFrom(a.lender())))
        .sum();
  }

  /** Chooses random live members that have not just declined; a current lender may have more to lend. */
  private int[] chooseLenders(Tenant t, double missing, long now, BitSet live) {
    t.declineBackoffUntil.values().removeIf(until -> now - until >= 0);
    int[] candidates = live.stream()
        .filter(m -> m != self
            && m < size
            && !t.declineBackoffUntil.containsKey(m)
            && !hasPendingRequest(t, m))
        .toArray();
    int needed = (int) Math.ceil(Math.min(
        MAX_REQUESTS_PER_ROUND, missing / (settings.lendableFraction() * t.ledger.share())));
    int count = Math.min(Math.max(settings.lendersPerRound(), needed), candidates.length);
    for (int i = 0; i < count; i++) {
      int j = i + random.nextInt(candidates.length - i);
      int m = candidates[i];
      candidates[i] = candidates[j];
      candidates[j] = m;
    }
    return java.util.Arrays.copyOf(candidates, count);
  }

  private void sendRequest(
      Tenant t, int lender, double perSecond, long now, List<OutgoingDatagram> out) {
    if (out.size() >= MAX_REQUESTS_PER_ROUND) {
      return;
    }
    sequence = sequence + 1 & 0xffffffffL;
    pending.put(sequence, new PendingLoan(lender, t.id, perSecond, now));
    out.add(new OutgoingDatagram(
        lender,
        new QuotaMessage(QuotaMessage.Kind.ASK, self, epoch, epoch, sequence, t.id, perSecond)
            .bytes()));
  }

  // Messages

  /** Returns whether a datagram belongs to this protocol. */
  public static boolean isQuotaMessage(byte[] bytes) {
    return bytes.length >= 2 && ByteBuffer.wrap(bytes).getShort() == QuotaMessage.MAGIC;
  }

  /** Handles a datagram received from the address of a member; returns the replies. */
  public List<OutgoingDatagram> receive(int from, byte[] bytes, long now) {
    QuotaMessage m = QuotaMessage.of(bytes);
    Tenant t = m == null ? null : tenants.get(m.tenant());
    if (t == null || m.from() != from || from == self) {
      discarded++;
      return List.of();
    }
    if (m.kind() == QuotaMessage.Kind.LEND) {
      onLend(t, m, now);
      return List.of();
    }
    if (!isLater(t, m)) {
      discarded++;
      return List.of();
    }
    if (m.kind() == QuotaMessage.Kind.ASK) {
      return lend(t, m, now);
    }
    t.ledger.onReturned(from);
    ratesMayChange(now);
    return List.of();
  }

  /** Rejects reordered and repeated messages: a request that arrives after its return would lend to a borrower that ignores it. */
  private static boolean isLater(Tenant t, QuotaMessage m) {
    long[] last = t.lastMessage.computeIfAbsent(m.from(), k -> new long[] {-1, 0});
    boolean later =
        m.epoch() > last[0] || m.epoch() == last[0] && (int) (m.sequence() - last[1]) > 0;
    if (later) {
      last[0] = m.epoch();
      last[1] = m.sequence();
    }
    return later;
  }

  private List<OutgoingDatagram> lend(Tenant t, QuotaMessage m, long now) {
    double granted = t.ledger.lend(m.from(), m.perSecond(), now);
    if (granted > 0) {
      ratesMayChange(now);
    }
    return List.of(new OutgoingDatagram(
        m.from(),
        new QuotaMessage(
                QuotaMessage.Kind.LEND, self, epoch, m.epoch(), m.sequence(), m.tenant(), granted)
            .bytes()));
  }

  private void onLend(Tenant t, QuotaMessage m, long now) {
    PendingLoan a = m.borrowerEpoch() == epoch ? pending.get(m.sequence()) : null;
    if (a == null
        || a.lender() != m.from()
        || a.tenant() != m.tenant()
        || m.perSecond() > a.perSecond()) {
      discarded++;
      return;
    }
    pending.remove(m.sequence());
    if (m.perSecond() < a.perSecond()) {
      t.declineBackoffUntil.put(m.from(), now + settings.declineBackoffNanos());
    }
    if (m.perSecond() > 0 && now - a.at() < settings.leaseNanos()) {
      t.ledger.borrow(m.from(), m.perSecond(), a.at());
      ratesMayChange(now);
    }
  }
}
