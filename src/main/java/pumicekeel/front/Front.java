package pumicekeel.front;

import java.net.InetSocketAddress;

/**
 * A listener and its connections, whatever protocol its clients speak. Called on the loop unless stated otherwise.
 */
public interface Front {

  /**
   * Listens; if {@code accepting} is false, connections wait until {@link #startAccepting}. Waits, so not on the loop.
   */
  InetSocketAddress listen(InetSocketAddress at, boolean accepting) throws InterruptedException;

  /** Starts accepting, if listening started without. */
  void startAccepting();

  /** Returns the address of the listener. */
  InetSocketAddress address();

  /** Notifies that the balancer serves from now on. */
  void setReady();

  /** Sets the limit on connections, for later accepts. */
  void setMaxConnections(int connections);

  /** Begins a planned stop or an evacuation: health checks fail, so that the platform sends no more clients here. */
  void drain();

  /** Accepts clients again after a drain that was not part of a stop. */
  void resume();

  /** Stops accepting; may be called by any thread. */
  void stopListening();

  /** Makes each later answer its connection's last, without closing any connection now. */
  void closeAfterAnswers();

  /** Closes idle connections and makes each later answer its connection's last. */
  void closeIdle();

  /** Accepts no further request and ends those that are only partly received. */
  void closeIncomplete();

  /** Returns whether no connection is open and none can be accepted any more. */
  boolean isClosed();

  /** Returns the number of open connections. */
  int openConnections();
}
