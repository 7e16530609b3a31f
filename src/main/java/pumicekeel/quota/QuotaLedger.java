package pumicekeel.quota;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

/**
 * One member's ledger of one tenant's quota: its own share, the leases it has granted and those it has borrowed. The shares of
 * all members add up to the quota. The lender stops using a lease before the borrower starts, and uses it again only after the
 * borrower's lease has expired, so the sum never exceeds the quota whatever messages are lost (escrow: O'Neil 1986; leases:
 * Gray and Cheriton 1989).
 */
final class QuotaLedger {

  /** Capacity lent until a point in time. */
  private record Lease(double perSecond, long expiresAt) {}

  /** Concurrent leases to one borrower. Renewal at half time needs two; the limit bounds the state under a flood of requests. */
  private static final int MAX_LEASES_PER_BORROWER = 4;
  /** Slots per second in which demand is counted; only complete slots count. */
  private static final int SLOTS = 4;
  /** Standard deviations (of a Poisson process) added to the mean demand, since any second may exceed the mean by chance. */
  private static final double DEMAND_STANDARD_DEVIATIONS = 2;

  private final QuotaSettings settings;
  private final double share;
  private final long reservedUntil;
  private final Map<Integer, ArrayDeque<Lease>> lent = new HashMap<>();
  /** Unexpired leases by lender, the largest first: a lease that expires later is kept only if it is smaller. */
  private final Map<Integer, ArrayDeque<Lease>> borrowed = new HashMap<>();

  private final double[] slots = new double[SLOTS + 1];
  private int slot;
  private long slotEndsAt;

  /** Reserves the lendable part at first: before its restart the member may have lent all of it until just now. */
  QuotaLedger(QuotaSettings settings, double share, long now) {
    this.settings = settings;
    this.share = share;
    reservedUntil = now + settings.lenderLeaseNanos();
    slotEndsAt = now;
  }

  double share() {
    return share;
  }

  // Demand

  void recordRequests(double count, long now) {
    advanceSlots(now);
    slots[slot] += count;
  }

  private void advanceSlots(long now) {
    long length = 1_000_000_000L / SLOTS;
    for (int i = 0; i <= SLOTS && now - slotEndsAt >= 0; i++) {
      slot = (slot + 1) % slots.length;
      slots[slot] = 0;
      slotEndsAt += length;
    }
    if (now - slotEndsAt >= 0) {
      slotEndsAt = now + length;
    }
  }

  /** Returns the requests per second that this member needs to admit. */
  double demandPerSecond(long now) {
    advanceSlots(now);
    double sum = -slots[slot];
    for (double s : slots) {
      sum += s;
    }
    return Math.max(0, sum) + DEMAND_STANDARD_DEVIATIONS * Math.sqrt(Math.max(0, sum));
  }

  // Admissible rates

  /** Returns the requests per second that this member may admit within the quota. */
  double usablePerSecond(long now) {
    double own = share
        - Math.max(
            lentPerSecond(now), now - reservedUntil < 0 ? settings.lendableFraction() * share : 0);
    return Math.max(0, own + sumOfLargest(borrowed, now));
  }

  /** Sums the largest unexpired lease of each borrower, since the lender cannot know which reply reached the borrower last. */
  private double lentPerSecond(long now) {
    return sumOfLargest(lent, now);
  }

  private static double sumOfLargest(Map<Integer, ArrayDeque<Lease>> leasesByMember, long now) {
    double sum = 0;
    for (Iterator<ArrayDeque<Lease>> it = leasesByMember.values().iterator(); it.hasNext(); ) {
      ArrayDeque<Lease> leases = it.next();
      leases.removeIf(l -> now - l.expiresAt() >= 0);
      if (leases.isEmpty()) {
        it.remove();
      } else {
        sum += leases.peekFirst().perSecond();
      }
    }
    return sum;
  }

  /** Adds a lease and removes those that are no larger and expire no later. */
  private static void addLease(
      Map<Integer, ArrayDeque<Lease>> leasesByMember, int member, Lease lease) {
    ArrayDeque<Lease> leases = leasesByMember.computeIfAbsent(member, k -> new ArrayDeque<>());
    leases.removeIf(
        l -> l.perSecond() <= lease.perSecond() && l.expiresAt() - lease.expiresAt() <= 0);
    leases.addLast(lease);
  }

  private static double largestLease(Map<Integer, ArrayDeque<Lease>> leasesByMember, int member) {
    ArrayDeque<Lease> leases = leasesByMember.get(member);
    return leases == null || leases.isEmpty() ? 0 : leases.peekFirst().perSecond();
  }

  /** Returns when the next lease or the reservation expires. */
  long nextExpiry(long now) {
    long next = now - reservedUntil < 0 ? reservedUntil : Long.MAX_VALUE;
    for (Map<Integer, ArrayDeque<Lease>> leasesByMember : List.of(borrowed, lent)) {
      for (ArrayDeque<Lease> leases : leasesByMember.values()) {
        for (Lease l : leases) {
          next = Math.min(next, l.expiresAt());
        }
      }
    }
    return next;
  }

  // Lending and borrowing

  /** Lends at most {@code perSecond}, as far as this member can spare it; returns the granted rate, 0 for a refusal. */
  double lend(int borrower, double perSecond, long now) {
    double lentNow = lentPerSecond(now);
    ArrayDeque<Lease> to = lent.get(borrower);
    // Excludes the borrower's current lease, so that it can be renewed in full.
    double spare = Math.min(settings.lendableFraction() * share, share - demandPerSecond(now))
        - (lentNow - largestLease(lent, borrower));
    boolean full = to != null
        && to.size() >= MAX_LEASES_PER_BORROWER
        && to.peekLast().perSecond() > Math.min(perSecond, spare);
    double granted = now - reservedUntil < 0 || full ? 0 : Math.min(perSecond, spare);
    if (granted <= 0) {
      return 0;
    }
    addLease(lent, borrower, new Lease(granted, now + settings.lenderLeaseNanos()));
    return granted;
  }

  /** Records a loan; its lease runs from {@code askedAt}, when it was requested. */
  void borrow(int lender, double perSecond, long askedAt) {
    addLease(borrowed, lender, new Lease(perSecond, askedAt + settings.leaseNanos()));
  }

  /** Frees the borrower's leases: it has stopped using them. */
  void onReturned(int borrower) {
    lent.remove(borrower);
  }

  /** Drops the loans of one lender, which are not used from now on; returns their rate. */
  double giveUp(int lender) {
    double part = borrowedFrom(lender);
    borrowed.remove(lender);
    return part;
  }

  double borrowedFrom(int lender) {
    return largestLease(borrowed, lender);
  }

  /** Returns the rate of a lender's last-expiring lease once half of its time is over; 0 before that. */
  double dueForRenewal(int lender, long now) {
    ArrayDeque<Lease> leases = borrowed.get(lender);
    Lease l = leases == null ? null : leases.peekLast();
    return l != null && l.expiresAt() - now <= settings.leaseNanos() / 2 ? l.perSecond() : 0;
  }

  /** Returns the members that lend to this one. */
  int[] lenders() {
    return borrowed.keySet().stream().mapToInt(i -> i).sorted().toArray();
  }
}
