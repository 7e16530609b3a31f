package pumicekeel.operation;

import java.util.concurrent.TimeUnit;

/**
 * Whether a balancer accepts clients, as decided by its operators and by its start and stop, and how far an evacuation has progressed.
 * No I/O: the time is a parameter, in nanoseconds of any monotonic clock. The steps of an evacuation follow the front: it notices within
 * 0.1 s that the instance is out of rotation and forwards new connections for another 0.2 s. From 2 s after the call any further request
 * is a violation, and at 4 s no connection may be idle or serve such a request.
 */
public final class Rotation {

  /** How the connected clients are treated. */
  public enum Step {
    /** In rotation: all clients are served. */
    IN_ROTATION,
    /** The front is told NO; all requests that arrive are still served. */
    NOTIFYING_FRONT,
    /** Each connection is closed after its next response. */
    FINAL_RESPONSES,
    /** Connections without a request are closed as well. */
    CLOSING_IDLE,
    /** Nothing is accepted: partly received requests are ended and new connections are closed. */
    CLOSING_ALL
  }

  /** Covers the front's polling interval, the 0.2 s of forwarding and a delayed loop: earlier, a client could lose its only connection. */
  static final long FINAL_RESPONSES_NANOS = TimeUnit.MILLISECONDS.toNanos(400);
  /** Late enough that most connections have had a response and were closed with it. */
  static final long CLOSING_IDLE_NANOS = TimeUnit.MILLISECONDS.toNanos(1_400);
  /** Before the limit of 2 s, with a margin for a delayed loop. */
  static final long CLOSING_ALL_NANOS = TimeUnit.MILLISECONDS.toNanos(1_800);

  private boolean started;
  private boolean stopping;
  private boolean evacuated;
  private long evacuatedAt;

  /** The process accepts clients from now on. */
  public void started() {
    started = true;
  }

  /** The process was told to stop; this cannot be undone. */
  public void stopping() {
    stopping = true;
  }

  /** Takes the instance out of rotation; the first call sets the time, further calls change nothing. */
  public void evacuate(long now) {
    if (!evacuated) {
      evacuated = true;
      evacuatedAt = now;
    }
  }

  /** Puts the instance back into rotation; false in a process that is stopping. */
  public boolean activate() {
    evacuated = evacuated && stopping;
    return !stopping;
  }

  /** Whether the front may send clients here. */
  public boolean acceptsClients() {
    return started && !evacuated && !stopping;
  }

  /** Why no clients are accepted, in one word; valid only while they are not. */
  public String reason() {
    return stopping ? "stopping" : evacuated ? "evacuated" : "starting";
  }

  /** The step that is due for the connected clients. */
  public Step step(long now) {
    long elapsed = now - evacuatedAt;
    if (!evacuated) {
      return Step.IN_ROTATION;
    }
    return elapsed < FINAL_RESPONSES_NANOS
        ? Step.NOTIFYING_FRONT
        : elapsed < CLOSING_IDLE_NANOS
            ? Step.FINAL_RESPONSES
            : elapsed < CLOSING_ALL_NANOS ? Step.CLOSING_IDLE : Step.CLOSING_ALL;
  }
}
