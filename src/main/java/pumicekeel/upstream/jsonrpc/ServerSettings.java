package pumicekeel.upstream.jsonrpc;

import java.util.Map;
import java.util.Set;
import pumicekeel.Balancer.Status;
import pumicekeel.jsonrpc.ErrorCodes;
import pumicekeel.jsonrpc.Framing;

/**
 * JSON-RPC settings of a pool's servers, and the meaning of their error codes.
 *
 * @param framing the framing that the servers expect; not {@link Framing#DETECT}
 * @param callsPerConnection the maximum number of open calls on one connection
 * @param notRunCodes codes that prove that the call did not run
 * @param failureCodes additional codes that mean that the server failed
 * @param answerCodes codes in the range of server errors that are answers of the application
 * @param methods the method for HTTP requests, by class; by default the name of the class
 * @param keyMember the member of the params that holds the idempotency key of an HTTP request
 */
public record ServerSettings(
    Framing framing,
    int callsPerConnection,
    Set<Integer> notRunCodes,
    Set<Integer> failureCodes,
    Set<Integer> answerCodes,
    Map<String, String> methods,
    String keyMember) {

  /** Returns the status of an attempt that ended with this error code; SERVED means a final answer, which is forwarded. */
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
