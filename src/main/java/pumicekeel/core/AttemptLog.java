package pumicekeel.core;

import pumicekeel.Balancer.Status;
import pumicekeel.call.ClientRequest;
import pumicekeel.discovery.HostList;

/** Records the attempts of one request. Event loop only. */
public interface AttemptLog {

  /**
   * Called before an attempt: exactly one of the two callbacks is run, at once or later, and nothing is sent before.
   */
  void beforeAttempt(
      ClientRequest request,
      int attempt,
      HostList.Host upstream,
      Runnable proceed,
      Runnable abandon);

  /** Called when the last byte of the attempt's request was written. */
  void requestWritten(ClientRequest request, int attempt);

  /** Called when the attempt ended; the status is NOT_SENT if its first byte was never sent, whatever ended it. */
  void attemptEnded(ClientRequest request, int attempt, Status status);
}
