package pumicekeel.quota;

/**
 * Figures of the exchange of quotas.
 *
 * @param leaseNanos how long a part is lent, counted by the borrower from its asking
 * @param driftPart by how much two monotonic clocks may differ in rate; the lender waits that much longer, and {@code slack}
 * @param slackNanos what the lender waits beyond that, for the grain of clocks
 * @param roundNanos between two looks at what is needed
 * @param lendablePart the part of its own share that a member may lend, and that a new life of it keeps back for a lease
 * @param askedAtOnce members asked for one tenant in one round, more where they could not make up what lacks
 * @param declinedNanos how long one that had nothing to lend is left alone
 */
public record QuotaSettings(
    long leaseNanos,
    double driftPart,
    long slackNanos,
    long roundNanos,
    double lendablePart,
    int askedAtOnce,
    long declinedNanos) {

  private static final long MS = 1_000_000L;

  /** Leases of 3 s: so long a member keeps back the lendable part at its start, and may wait for its own share at the longest. */
  public static final QuotaSettings USUAL =
      new QuotaSettings(3_000 * MS, 0.01, 10 * MS, 250 * MS, 0.9, 4, 500 * MS);

  /** How long the lender holds a lease for given out. */
  long heldNanos() {
    return (long) (leaseNanos * (1 + driftPart)) + slackNanos;
  }
}
