package pumicekeel.core;

import pumicekeel.Balancer.Settings;
import pumicekeel.call.Client;
import pumicekeel.call.ClientRequest;
import pumicekeel.call.ClientRequest.InvalidRequest;

/** One request of a front, from its head to its final answer: body memory, submission and release. Used on the loop only. */
public interface RequestHandle {

  /** What the request is checked against. */
  Settings settings();

  /** What it may be checked against where it does not fit those: the settings until a moment ago; null for none. */
  default Settings previousSettings() {
    return null;
  }

  /** Keeps room for so many more bytes of the body; false where there is none. */
  boolean reserveBody(int bytes);

  /**
   * Takes the whole request, which is owed one final answer from now on; false where its id is open already. One that
   * can't be put into the protocol of the pool's upstreams is turned away with the words of the exception.
   */
  boolean submit(ClientRequest request, Client client) throws InvalidRequest;

  /** The client left a request that was taken. */
  void clientDisconnected(String id);

  /** The request is over, answered or not, taken or not: gives back what was kept for it. Called once. */
  void release();
}
