package pumicekeel.guard;

/**
 * What is known of an attempt right before its first byte.
 *
 * @param id the request's
 * @param ended it has its final answer
 * @param clientHere its client has not left, as far as its socket tells
 * @param upstreamLeaves the list says that its upstream drains or is gone
 * @param listOutdated the list is too old to say that it does not, and discovery can be reached
 * @param harmless nothing of it may have run, or a repeat is dropped there
 * @param attemptLeft the settings allow one more
 * @param clientLeftNanos what its client has left; Long.MAX_VALUE while its body comes
 * @param toldNanos what its upstream would be told
 */
public record SendContext(
    String requestId,
    boolean requestEnded,
    boolean clientConnected,
    boolean upstreamLeaving,
    boolean listOutdated,
    boolean repeatIsHarmless,
    boolean withinAttemptLimit,
    long clientRemainingNanos,
    long announcedNanos) {}
