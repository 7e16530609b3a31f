package pumicekeel.core;

import pumicekeel.Balancer.Status;
import pumicekeel.call.ClientRequest;
import pumicekeel.discovery.HostList;

/** Who keeps a record of one request's attempts. Only on the loop. */
public interface AttemptLog {

  /** An attempt is about to be made: exactly one of the two is run, at once or later, and nothing is sent before. */
  void beforeAttempt(
      ClientRequest request, int attempt, HostList.Host upstream, Runnable go, Runnable never);

  /** The attempt's last byte was written. */
  void requestWritten(ClientRequest request, int attempt);

  /** The attempt ended; NOT_SENT where its first byte never left, whatever ended it. */
  void attemptEnded(ClientRequest request, int attempt, Status status);
}
