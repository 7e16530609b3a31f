package pumicekeel.peers;

/**
 * Parameters of the protocol, named after those of the papers: SWIM (Das, Gupta, Motivala 2002) and Lifeguard (Dadgar, Phillips, Currey 2017).
 *
 * @param periodNanos interval between two probes by one member
 * @param probeNanos timeout of a direct probe, after which other members are asked to probe
 * @param helpers number of members that are asked for an indirect probe (k of SWIM)
 * @param retransmit an update is sent this many times the decimal logarithm of the number of members
 * @param minSuspicion minimum suspicion timeout, in periods times that logarithm (Lifeguard's alpha)
 * @param maxSuspicionFactor maximum suspicion timeout, as a multiple of the minimum (Lifeguard's beta)
 * @param confirmations number of independent confirmations that reduce the timeout to the minimum (Lifeguard's K)
 * @param maxHealthScore the worst local health score (Lifeguard's S)
 * @param syncNanos average interval between two table exchanges with a random member, dead ones included
 */
public record MembershipSettings(
    long periodNanos,
    long probeNanos,
    int helpers,
    double retransmit,
    double minSuspicion,
    double maxSuspicionFactor,
    int confirmations,
    int maxHealthScore,
    long syncNanos) {

  /** The values with which Lifeguard was measured: a period of 1 s, a timeout of 0.5 s, 3 helpers, alpha 5, beta 6, K 3, S 8. */
  public static final MembershipSettings DEFAULTS =
      new MembershipSettings(1_000_000_000L, 500_000_000L, 3, 4, 5, 6, 3, 8, 2_000_000_000L);
}
