package pumicekeel.front;

import java.net.InetSocketAddress;

/** A listening side, whatever protocol its clients speak. On the loop, unless it says otherwise. */
public interface Front {

  /** Listens; where {@code accepting} is false, connections wait until {@link #accept}. Waits, so not on the loop. */
  InetSocketAddress listen(InetSocketAddress at, boolean accepting) throws InterruptedException;

  /** Begins to accept, where listening began without. */
  void startAccepting();

  /** Where it listens. */
  InetSocketAddress address();

  /** The balancer serves from now on. */
  void setReady();

  /** Another limit on connections, for what is accepted from now on. */
  void setMaxConnections(int connections);

  /** Begins a planned stop, or to send clients away: the front is told to bring no more. */
  void drain();

  /** Takes clients again after a drain that was not a stop's. */
  void resume();

  /** Accepts no more; by any thread. */
  void stopListening();

  /** Each answer is its connection's last from now on; nothing is closed for it. */
  void closeAfterAnswers();

  /** Ends what asks nothing; what is answered from now on is its connection's last. */
  void closeIdle();

  /** Takes no more, also of what has come in part. */
  void closeIncomplete();

  /** Whether no connection is open and none can come any more. */
  boolean isClosed();

  /** Connections that are open. */
  int openConnections();
}
