package pumicekeel.guard;

/**
 * State of a request and its upstream immediately before the first byte of an attempt is written.
 *
 * @param requestId ID of the request
 * @param requestEnded the request already has its final response
 * @param clientConnected the client is still connected, as far as its socket shows
 * @param upstreamLeaving the list says that the upstream drains or is removed
 * @param listOutdated the list is too old to rule out that the upstream drains, and discovery can be reached
 * @param repeatIsHarmless no earlier attempt may have run, or the upstream drops repeats
 * @param withinAttemptLimit the settings allow one more attempt
 * @param clientRemainingNanos time left to the client; Long.MAX_VALUE while the request's body is still arriving
 * @param announcedNanos time limit that would be announced to the upstream
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
