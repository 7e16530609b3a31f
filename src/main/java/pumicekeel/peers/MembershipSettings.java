package pumicekeel.peers;

/**
 * Figures of the protocol, after the papers: SWIM (Das, Gupta, Motivala 2002) and Lifeguard (Dadgar, Phillips, Currey 2017).
 *
 * @param periodNanos between two probes of one member
 * @param probeNanos how long a direct answer is waited for, before others are asked
 * @param helpers members that are asked to probe instead (k of SWIM)
 * @param retransmit a update is passed on this many times the decimal logarithm of the members
 * @param suspicionLeast the least suspicion, in periods times that logarithm (Lifeguard's alpha)
 * @param suspicionMost the longest, in least ones (Lifeguard's beta)
 * @param confirmations independent suspicions that bring it down to the least (Lifeguard's K)
 * @param healthMost the worst score of one's own health (Lifeguard's S)
 * @param syncNanos between two exchanges with a member chosen at random, dead ones among them
 */
public record MembershipSettings(
    long periodNanos,
    long probeNanos,
    int helpers,
    double retransmit,
    double suspicionLeast,
    double suspicionMost,
    int confirmations,
    int healthMost,
    long syncNanos) {

  /** As Lifeguard was measured: a second, half a second, 3 helpers, alpha 5, beta 6, K 3, S 8. */
  public static final MembershipSettings DEFAULTS =
      new MembershipSettings(1_000_000_000L, 500_000_000L, 3, 4, 5, 6, 3, 8, 2_000_000_000L);
}
