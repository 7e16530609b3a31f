package pumicekeel.quota;

/**
 * Settings of the quota exchange.
 *
 * @param leaseNanos lease duration, which the borrower counts from its request
 * @param maxClockDrift relative rate difference allowed between two monotonic clocks; the lender waits that much longer, plus slack
 * @param slackNanos additional wait of the lender, for the resolution of clocks
 * @param roundNanos mean interval of the rounds in which demand is checked
 * @param lendableFraction fraction of its own share that a member may lend, and reserves for one lease after a restart
 * @param lendersPerRound members queried for one tenant in one round; more if these could not cover the missing rate
 * @param declineBackoffNanos how long a member that had nothing to lend is not queried again
 */
public record QuotaSettings(
    long leaseNanos,
    double maxClockDrift,
    long slackNanos,
    long roundNanos,
    double lendableFraction,
    int lendersPerRound,
    long declineBackoffNanos) {

  private static final long NANOS_PER_MS = 1_000_000L;

  /** Leases last 3 s: so long does a restarted member reserve its lendable part, and a lender at most wait for what it lent. */
  public static final QuotaSettings DEFAULTS = new QuotaSettings(
      3_000 * NANOS_PER_MS,
      0.01,
      10 * NANOS_PER_MS,
      250 * NANOS_PER_MS,
      0.9,
      4,
      500 * NANOS_PER_MS);

  /** Returns how long the lender treats a lease as lent. */
  long lenderLeaseNanos() {
    return (long) (leaseNanos * (1 + maxClockDrift)) + slackNanos;
  }
}
