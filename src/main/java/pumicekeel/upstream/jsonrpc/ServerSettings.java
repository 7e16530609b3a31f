package pumicekeel.upstream.jsonrpc;

import java.util.Map;
import java.util.Set;
import pumicekeel.Balancer.Status;
import pumicekeel.jsonrpc.ErrorCodes;
import pumicekeel.jsonrpc.Framing;

/**
 * How a pool's servers speak JSON-RPC, and what their error objects are worth.
 *
 * @param framing as the servers expect calls; not {@link Framing#DETECT}
 * @param callsPerConnection calls out on one connection at once
 * @param notRunCodes codes that prove that the call never ran
 * @param failureCodes codes beside the usual ones that say that the server failed
 * @param answerCodes codes that are the application's own answer although they lie in the range of server errors
 * @param methods the method for an HTTP request, by class; a class that is not named is its own method
 * @param keyMember the member of the params that an HTTP request's idempotency key goes into
 */
public record ServerSettings(
    Framing framing,
    int callsPerConnection,
    Set<Integer> notRunCodes,
    Set<Integer> failureCodes,
    Set<Integer> answerCodes,
    Map<String, String> methods,
    String keyMember) {

  /** What an error object says of the attempt. SERVED: it is the final answer and is passed on. */
  public Status statusOf(int code) {
    if (notRunCodes.contains(code)) {
      return Status.FULL;
    }
    if (answerCodes.contains(code)) {
      return Status.SERVED;
    }
    boolean server = code == ErrorCodes.INTERNAL
        || code >= ErrorCodes.SERVER_MIN && code <= ErrorCodes.SERVER_MAX;
    return server || failureCodes.contains(code) ? Status.ERROR : Status.SERVED;
  }
}
