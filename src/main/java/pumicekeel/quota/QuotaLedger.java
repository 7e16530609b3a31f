package pumicekeel.quota;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;

/**
 * One member's book of one tenant's quota: its own share, what of it is lent, and what it has borrowed. The shares of all
 * members add up to the quota; a part counts for its lender no more before it counts for a borrower, and again only when the
 * borrower's time is over. So the sum never exceeds the quota, whoever hears of whom (escrow: O'Neil 1986; leases: Gray and
 * Cheriton 1989).
 */
final class QuotaLedger {

  /** A part that is given out, until then. */
  private record Lease(double perSecond, long until) {}

  /** Leases to one borrower that run at once: it renews halfway, so two; a flood of asking is not served. */
  private static final int MOST_LEASES = 4;
  /** Parts of a second over which demand is counted: the last whole ones. */
  private static final int SLOTS = 4;
  /** Chance: so many roots of a second's mean beyond it may come in any second. */
  private static final double ROOTS = 2;

  private final QuotaSettings settings;
  private final double share;
  private final long keptBackUntil;
  private final Map<Integer, ArrayDeque<Lease>> lent = new HashMap<>();
  private final Map<Integer, Lease> borrowed = new HashMap<>();
  private final double[] slots = new double[SLOTS + 1];
  private int slot;
  private long slotEnds;

  /** Of a member whose earlier life may have lent what it could until just now. */
  QuotaLedger(QuotaSettings settings, double share, long now) {
    this.settings = settings;
    this.share = share;
    keptBackUntil = now + settings.heldNanos();
    slotEnds = now;
  }

  double share() {
    return share;
  }

  // ---- Demand -------------------------------------------------------------------------------------------

  void asked(double count, long now) {
    turn(now);
    slots[slot] += count;
  }

  private void turn(long now) {
    long length = 1_000_000_000L / SLOTS;
    for (int i = 0; i <= SLOTS && now - slotEnds >= 0; i++) {
      slot = (slot + 1) % slots.length;
      slots[slot] = 0;
      slotEnds += length;
    }
    if (now - slotEnds >= 0) {
      slotEnds = now + length;
    }
  }

  /** Requests a second that this member wants to admit. */
  double wanted(long now) {
    turn(now);
    double sum = -slots[slot];
    for (double s : slots) {
      sum += s;
    }
    return Math.max(0, sum) + ROOTS * Math.sqrt(Math.max(0, sum));
  }

  // ---- What may be used ---------------------------------------------------------------------------------

  /** Requests a second that this member may admit as within the quota. */
  double usable(long now) {
    double own = share - Math.max(lentOut(now), now - keptBackUntil < 0 ? settings.lendablePart() * share : 0);
    for (Iterator<Lease> it = borrowed.values().iterator(); it.hasNext();) {
      Lease lease = it.next();
      if (now - lease.until() >= 0) {
        it.remove();
      } else {
        own += lease.perSecond();
      }
    }
    return Math.max(0, own);
  }

  /** What counts for borrowers: of each the largest that runs, as the last word that reached it is not known here. */
  private double lentOut(long now) {
    double sum = 0;
    for (Iterator<ArrayDeque<Lease>> it = lent.values().iterator(); it.hasNext();) {
      ArrayDeque<Lease> leases = it.next();
      leases.removeIf(l -> now - l.until() >= 0);
      if (leases.isEmpty()) {
        it.remove();
      }
      sum += leases.stream().mapToDouble(Lease::perSecond).max().orElse(0);
    }
    return sum;
  }

  /** When something runs out, at the earliest. */
  long nextEnd(long now) {
    long next = now - keptBackUntil < 0 ? keptBackUntil : Long.MAX_VALUE;
    for (Lease l : borrowed.values()) {
      next = Math.min(next, l.until());
    }
    for (ArrayDeque<Lease> leases : lent.values()) {
      for (Lease l : leases) {
        next = Math.min(next, l.until());
      }
    }
    return next;
  }

  // ---- Lending and borrowing ----------------------------------------------------------------------------

  /** Lends as much of what is asked as this member can spare; 0 for nothing. */
  double lend(int borrower, double perSecond, long now) {
    double out = lentOut(now);
    ArrayDeque<Lease> to = lent.computeIfAbsent(borrower, k -> new ArrayDeque<>());
    double before = to.stream().mapToDouble(Lease::perSecond).max().orElse(0);
    // What the borrower has already does not count twice, so that it can renew all of it.
    double spare = Math.min(settings.lendablePart() * share, share - wanted(now)) - (out - before);
    double part = now - keptBackUntil < 0 || to.size() >= MOST_LEASES ? 0 : Math.min(perSecond, spare);
    if (part <= 0) {
      return 0;
    }
    to.add(new Lease(part, now + settings.heldNanos()));
    return part;
  }

  /** Takes a part over that was asked for at {@code askedAt}. */
  void borrow(int lender, double perSecond, long askedAt) {
    borrowed.put(lender, new Lease(perSecond, askedAt + settings.leaseNanos()));
  }

  /** The borrower uses nothing of it any more. */
  void returned(int borrower) {
    lent.remove(borrower);
  }

  /** Gives up what one member lends; from now on it is not used here. */
  double giveUp(int lender) {
    Lease l = borrowed.remove(lender);
    return l == null ? 0 : l.perSecond();
  }

  double from(int lender) {
    Lease l = borrowed.get(lender);
    return l == null ? 0 : l.perSecond();
  }

  /** What comes from one member, and is past the middle of its time. */
  double due(int lender, long now) {
    Lease l = borrowed.get(lender);
    return l != null && l.until() - now <= settings.leaseNanos() / 2 ? l.perSecond() : 0;
  }

  /** Members that lend to this one. */
  int[] lenders() {
    return borrowed.keySet().stream().mapToInt(i -> i).sorted().toArray();
  }

  boolean borrowsFrom(int member) {
    return borrowed.containsKey(member);
  }
}
