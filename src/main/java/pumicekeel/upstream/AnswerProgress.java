package pumicekeel.upstream;

import java.util.concurrent.TimeUnit;
import pumicekeel.Balancer.Status;
import pumicekeel.guard.AttemptEnd;

/**
 * Decides when the answer of one attempt may be passed on, doubted or ended, by what has arrived of it and for how long nothing has. The
 * only place where a time ends an attempt. No I/O; times are readings of one clock in nanoseconds.
 *
 * <p>Until the first byte the attempt's time-out applies. An answer whose head has arrived is passed on before its client's time is up,
 * silent or not, since a slow answer can't be told from one that has stopped; silence only makes it suspect, so that another attempt may
 * be made beside it. An answer that has been passed on is ended by no time but the idle time-out.
 */
public final class AnswerProgress {

  /** What has arrived of the answer, and whether the client has a part of it. */
  public enum State {
    /** No part of the answer has arrived. */
    AWAITED,
    /** A part of its head has arrived. */
    HEAD_ARRIVING,
    /** Its head has arrived. */
    HEAD_ARRIVED,
    /** A part of its body has arrived. */
    BODY_ARRIVING,
    /** A part of its body has been passed on to the client. */
    PASSED_ON
  }

  /** What has to be done with the answer now. */
  public enum Step {
    /** Nothing. */
    WAIT(null, null),
    /** Report that the answer may have stopped; returned once for each attempt. */
    SUSPECT(null, null),
    /** Pass on what has arrived and what follows. */
    PASS_ON(null, null),
    /** End the attempt: its time is up. */
    END_TIME_UP(AttemptEnd.TIME_UP, Status.TIMEOUT),
    /** End the attempt: nothing more arrives. */
    END_SILENT(AttemptEnd.SILENT, Status.RESET);

    private final AttemptEnd reason;
    private final Status status;

    Step(AttemptEnd reason, Status status) {
      this.reason = reason;
      this.status = status;
    }

    /** Returns why the attempt ends; null if it does not. */
    public AttemptEnd reason() {
      return reason;
    }

    /** Returns the outcome of the attempt; null if it does not end. */
    public Status status() {
      return status;
    }
  }

  /** Silence after which an answer that has begun is suspected to have stopped. */
  static final long SUSPICION_NANOS = TimeUnit.MILLISECONDS.toNanos(300);
  /**
   * Silence that ends an answer in any state: the usual default of reverse proxies, and twenty times the longest deadline (3 s) of a
   * client.
   */
  static final long IDLE_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(60);
  /** An answer that is still arriving after this time is passed on: no part of it may be held back for as long as 2 s. */
  static final long MAX_BUFFERING_NANOS = TimeUnit.MILLISECONDS.toNanos(700);
  /** An answer that has begun is passed on this long before its client's time is up, so that it begins in time on a busy processor. */
  static final long PASS_ON_MARGIN_NANOS = TimeUnit.MILLISECONDS.toNanos(60);

  private State state = State.AWAITED;
  private long firstByteDeadline;
  private long clientDeadline;
  private long beganAt;
  private long lastArrivalAt;
  private long bodyBytes;
  private boolean suspected;
  private boolean passOnDeclined;
  /** Whether the client accepts no more at the moment. */
  private boolean paused;

  /** Sets the time by which the answer has to begin, and the time for which the client waits. */
  public void setDeadlines(long firstByte, long client) {
    firstByteDeadline = firstByte;
    clientDeadline = client;
  }

  // Events

  /**
   * Records that a part of the answer has arrived, of whose body {@code totalBodyBytes} have arrived so far; returns whether the answer
   * has begun with it.
   */
  public boolean arrived(boolean headComplete, long totalBodyBytes, long now) {
    boolean begins = state == State.AWAITED;
    beganAt = begins ? now : beganAt;
    lastArrivalAt = now;
    bodyBytes = totalBodyBytes;
    if (state != State.PASSED_ON) {
      state = stateOf(headComplete, totalBodyBytes);
    }
    return begins;
  }

  private static State stateOf(boolean headComplete, long totalBodyBytes) {
    if (!headComplete) {
      return State.HEAD_ARRIVING;
    }
    return totalBodyBytes > 0 ? State.BODY_ARRIVING : State.HEAD_ARRIVED;
  }

  /** Records that the client has a part of the answer. */
  public void passedOn(long now) {
    beganAt = beganAt == 0 ? now : beganAt;
    lastArrivalAt = lastArrivalAt == 0 ? now : lastArrivalAt;
    state = State.PASSED_ON;
  }

  /** Records that the client accepts a complete answer only. */
  public void passOnDeclined() {
    passOnDeclined = true;
  }

  /** Records that the client accepts no more of the answer, or accepts more again: its silence is not the upstream's. */
  public void setPaused(boolean nowPaused, long now) {
    if (!nowPaused && paused) {
      lastArrivalAt = now;
    }
    paused = nowPaused;
  }

  // Decisions

  /** Returns what to do now. */
  public Step next(long now) {
    if (state == State.AWAITED) {
      return now >= firstByteDeadline ? Step.END_TIME_UP : Step.WAIT;
    }
    if (paused) {
      return Step.WAIT;
    }
    if (now - lastArrivalAt >= IDLE_TIMEOUT_NANOS) {
      return Step.END_SILENT;
    }
    if (state != State.PASSED_ON) {
      if (canPassOn() && isPassOnDue(now)) {
        return Step.PASS_ON;
      }
      if (now >= clientDeadline) {
        return Step.END_TIME_UP;
      }
    }
    if (isSilent(now) && !suspected) {
      suspected = true;
      return Step.SUSPECT;
    }
    return Step.WAIT;
  }

  /** Returns whether its head has arrived, and neither was it passed on nor did its client decline that. */
  boolean canPassOn() {
    return (state == State.HEAD_ARRIVED || state == State.BODY_ARRIVING) && !passOnDeclined;
  }

  private boolean isPassOnDue(long now) {
    boolean bufferedLong =
        state == State.BODY_ARRIVING && !isSilent(now) && now - beganAt > MAX_BUFFERING_NANOS;
    return bufferedLong || now >= passOnAt();
  }

  /** Returns why an answer would be passed on now. */
  PassOnReason passOnReason(long now) {
    return now >= passOnAt() ? PassOnReason.TIME_ALMOST_UP : PassOnReason.BUFFERED_LONG;
  }

  private long passOnAt() {
    return clientDeadline - PASS_ON_MARGIN_NANOS;
  }

  private boolean isSilent(long now) {
    return now - lastArrivalAt >= SUSPICION_NANOS;
  }

  /**
   * Returns whether this answer, of two of one request that can be passed on, is likelier to end: one that is not silent, then one whose
   * body has begun, then the one that was heard of last.
   */
  boolean isLikelierToEndThan(AnswerProgress other, long now) {
    if (isSilent(now) != other.isSilent(now)) {
      return !isSilent(now);
    }
    if (state != other.state) {
      return state == State.BODY_ARRIVING;
    }
    return lastArrivalAt > other.lastArrivalAt;
  }

  /** Returns for how long the upstream has sent nothing more of a passed-on answer whose client's time is up; 0 for any other. */
  long overtimeSilenceNanos(long now) {
    boolean overtime = state == State.PASSED_ON && !paused && now >= clientDeadline;
    return overtime ? now - lastArrivalAt : 0;
  }

  /** Returns when {@link #next} has to be asked again if nothing happens before; Long.MAX_VALUE for never. */
  public long nextCheckAt(long now) {
    if (state == State.AWAITED) {
      return firstByteDeadline;
    }
    if (paused) {
      return Long.MAX_VALUE;
    }
    long at = lastArrivalAt + (suspected ? IDLE_TIMEOUT_NANOS : SUSPICION_NANOS);
    if (state == State.PASSED_ON) {
      return at;
    }
    return Math.min(at, canPassOn() && now < passOnAt() ? passOnAt() : clientDeadline);
  }

  /** Returns the present state. */
  public State state() {
    return state;
  }

  /** Returns the time for which the client waits. */
  public long clientDeadline() {
    return clientDeadline;
  }

  /** Describes the progress for the log: the state, the body's bytes and the times since the first and the last arrival. */
  public String describe(long now) {
    if (state == State.AWAITED) {
      return "answer " + state;
    }
    return "answer " + state + (suspected ? " suspected" : "") + ", " + bodyBytes
        + " body bytes, began " + millis(now - beganAt) + " ms ago, last arrival "
        + millis(now - lastArrivalAt) + " ms ago";
  }

  private static long millis(long nanos) {
    return TimeUnit.NANOSECONDS.toMillis(nanos);
  }
}
