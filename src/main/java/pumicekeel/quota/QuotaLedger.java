package pumicekeel.quota;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
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
  /** Of each lender what still runs, the largest first: one that ends later is there only if it is smaller. */
  private final Map<Integer, ArrayDeque<Lease>> borrowed = new HashMap<>();

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

  // Demand

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

  // What may be used

  /** Requests a second that this member may admit as within the quota. */
  double usable(long now) {
    double own = share
        - Math.max(lentOut(now), now - keptBackUntil < 0 ? settings.lendablePart() * share : 0);
    return Math.max(0, own + running(borrowed, now));
  }

  /** What counts for borrowers: of each the largest that runs, as the last word that reached it is not known here. */
  private double lentOut(long now) {
    return running(lent, now);
  }

  private static double running(Map<Integer, ArrayDeque<Lease>> book, long now) {
    double sum = 0;
    for (Iterator<ArrayDeque<Lease>> it = book.values().iterator(); it.hasNext(); ) {
      ArrayDeque<Lease> leases = it.next();
      leases.removeIf(l -> now - l.until() >= 0);
      if (leases.isEmpty()) {
        it.remove();
      } else {
        sum += leases.peekFirst().perSecond();
      }
    }
    return sum;
  }

  /** One more with a member: any that is no larger and ends no later says nothing any more. */
  private static void enter(Map<Integer, ArrayDeque<Lease>> book, int member, Lease lease) {
    ArrayDeque<Lease> leases = book.computeIfAbsent(member, k -> new ArrayDeque<>());
    leases.removeIf(l -> l.perSecond() <= lease.perSecond() && l.until() - lease.until() <= 0);
    leases.addLast(lease);
  }

  private static double largest(Map<Integer, ArrayDeque<Lease>> book, int member) {
    ArrayDeque<Lease> leases = book.get(member);
    return leases == null || leases.isEmpty() ? 0 : leases.peekFirst().perSecond();
  }

  /** When something runs out, at the earliest. */
  long nextEnd(long now) {
    long next = now - keptBackUntil < 0 ? keptBackUntil : Long.MAX_VALUE;
    for (Map<Integer, ArrayDeque<Lease>> book : List.of(borrowed, lent)) {
      for (ArrayDeque<Lease> leases : book.values()) {
        for (Lease l : leases) {
          next = Math.min(next, l.until());
        }
      }
    }
    return next;
  }

  // Lending and borrowing

  /** Lends as much of what is asked as this member can spare; 0 for nothing. */
  double lend(int borrower, double perSecond, long now) {
    double out = lentOut(now);
    ArrayDeque<Lease> to = lent.get(borrower);
    // What the borrower has already does not count twice, so that it can renew all of it.
    double spare = Math.min(settings.lendablePart() * share, share - wanted(now))
        - (out - largest(lent, borrower));
    boolean full = to != null
        && to.size() >= MOST_LEASES
        && to.peekLast().perSecond() > Math.min(perSecond, spare);
    double part = now - keptBackUntil < 0 || full ? 0 : Math.min(perSecond, spare);
    if (part <= 0) {
      return 0;
    }
    enter(lent, borrower, new Lease(part, now + settings.heldNanos()));
    return part;
  }

  /** Takes a part over that was asked for at {@code askedAt}. */
  void borrow(int lender, double perSecond, long askedAt) {
    enter(borrowed, lender, new Lease(perSecond, askedAt + settings.leaseNanos()));
  }

  /** The borrower uses nothing of it any more. */
  void returned(int borrower) {
    lent.remove(borrower);
  }

  /** Gives up what one member lends; from now on it is not used here. */
  double giveUp(int lender) {
    double part = from(lender);
    borrowed.remove(lender);
    return part;
  }

  double from(int lender) {
    return largest(borrowed, lender);
  }

  /** What comes from one member, and is past the middle of its time: of the one that ends last. */
  double due(int lender, long now) {
    ArrayDeque<Lease> leases = borrowed.get(lender);
    Lease l = leases == null ? null : leases.peekLast();
    return l != null && l.until() - now <= settings.leaseNanos() / 2 ? l.perSecond() : 0;
  }

  /** Members that lend to this one. */
  int[] lenders() {
    return borrowed.keySet().stream().mapToInt(i -> i).sorted().toArray();
  }
}
