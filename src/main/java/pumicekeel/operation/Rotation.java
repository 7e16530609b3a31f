package pumicekeel.operation;

import java.util.concurrent.TimeUnit;

/**
 * Whether a balancer takes clients, as its operators and its own life decide, and how far it is with sending them away.
 * No I/O: the time is given, in nanoseconds of any monotonic clock. Its steps follow the front: it sees a no within 0.1 s
 * and brings new connections for 0.2 s more; 2 s after the call every request that comes is one too late, and at 4 s no
 * connection may be idle or hold such a one.
 */
public final class Rotation {

  /** What is done with clients that are here. */
  public enum Step {
    /** All are served. */
    TAKING,
    /** The front is told no; all that come are served as ever. */
    TOLD,
    /** Each answer is its connection's last. */
    LAST_ANSWERS,
    /** Connections that ask nothing are closed, too. */
    CLOSING,
    /** Nothing is taken: what has not come whole is ended, and what comes anew is closed. */
    AWAY
  }

  /** The front's look, its 0.2 s and a loop that is behind: before that a client could lose its only connection. */
  static final long LAST_ANSWERS_NANOS = TimeUnit.MILLISECONDS.toNanos(400);
  /** Most connections have had an answer, and so their end, by then. */
  static final long CLOSING_NANOS = TimeUnit.MILLISECONDS.toNanos(1_400);
  /** Before 2 s, with room for a loop that is behind. */
  static final long AWAY_NANOS = TimeUnit.MILLISECONDS.toNanos(1_800);

  private boolean serving;
  private boolean stopping;
  private boolean away;
  private long awaySince;

  /** The process takes clients from now on. */
  public void started() {
    serving = true;
  }

  /** The process is told to end; there is no way back. */
  public void stopping() {
    stopping = true;
  }

  /** Sends clients away; the first call counts, further ones change nothing. */
  public void evacuate(long now) {
    if (!away) {
      away = true;
      awaySince = now;
    }
  }

  /** Takes clients again; false in a process that ends. */
  public boolean activate() {
    away = away && stopping;
    return !stopping;
  }

  /** Whether the front may send clients here. */
  public boolean takes() {
    return serving && !away && !stopping;
  }

  /** Why it takes none, in a word; only where it does not. */
  public String reason() {
    return stopping ? "stopping" : away ? "evacuated" : "starting";
  }

  /** What is due with the clients that are here. */
  public Step step(long now) {
    long past = now - awaySince;
    if (!away) {
      return Step.TAKING;
    }
    return past < LAST_ANSWERS_NANOS
        ? Step.TOLD
        : past < CLOSING_NANOS ? Step.LAST_ANSWERS : past < AWAY_NANOS ? Step.CLOSING : Step.AWAY;
  }
}
