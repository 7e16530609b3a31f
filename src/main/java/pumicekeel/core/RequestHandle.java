package pumicekeel.core;

import pumicekeel.Balancer.Settings;
import pumicekeel.call.Client;
import pumicekeel.call.ClientRequest;
import pumicekeel.call.ClientRequest.InvalidRequest;

/**
 * One request of a front, from its head to its final answer: body memory, submission and release. Event loop only.
 */
public interface RequestHandle {

  /** Returns the settings that the request is validated against. */
  Settings settings();

  /**
   * Returns the previous settings, against which a request that does not fit the current ones is validated; null for
   * none.
   */
  default Settings previousSettings() {
    return null;
  }

  /** Reserves memory for the given number of further body bytes; returns false if there is none. */
  boolean reserveBody(int bytes);

  /**
   * Submits the complete request, which gets exactly one final answer; returns false if its id is already open. A
   * request that cannot be translated into the protocol of the pool's upstreams is rejected with the exception's
   * message.
   */
  boolean submit(ClientRequest request, Client client) throws InvalidRequest;

  /** Notifies that the client of a submitted request has disconnected. */
  void clientDisconnected(String id);

  /** Notifies that the time of a submitted request's client is up before its streamed body is complete. */
  default void timeUp(String id) {}

  /** Releases what was reserved, once the request is over, whether answered, submitted or not. Called once. */
  void release();
}
