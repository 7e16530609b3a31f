package pumicekeel.upstream;

import java.util.concurrent.TimeUnit;
import pumicekeel.Balancer.Status;
import pumicekeel.guard.AttemptEnd;

/**
 * Decides when the answer of one attempt may be passed on, doubted or ended, by what has arrived of it and for how long nothing has. The
 * only place where a time ends an attempt. No I/O; times are readings of one clock in nanoseconds.
 *
 * <p>Until the first byte the attempt's time-out applies. An answer that has begun has its client's whole time; silence only makes it
 * suspect, so that another attempt may be made beside it. What the client has a part of is ended by nothing but a long silence, or a
 * short one once the client's time is up.
 */
public final class AnswerProgress {

  /** What has arrived of the answer, and whether the client has a part of it. */
  public enum State {
    /** No part of the answer has arrived. */
    AWAITED,
    /** Its head, or a part of that, has arrived. */
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
    END_SILENT(AttemptEnd.SILENT, Status.RESET),
    /** End the attempt: hardly anything arrives, and the client's time is up. */
    END_TRICKLING(AttemptEnd.TRICKLING, Status.RESET);

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
  /** Silence that ends an answer whatever the client's time is. */
  static final long MAX_SILENCE_NANOS = TimeUnit.SECONDS.toNanos(10);
  /** An answer that is still arriving after this time is passed on: no part of it may be held back for as long as 2 s. */
  static final long MAX_BUFFERING_NANOS = TimeUnit.MILLISECONDS.toNanos(700);
  /** An arriving answer is passed on this long before its client's time is up, so that it begins in time on a busy processor. */
  static final long PASS_ON_MARGIN_NANOS = TimeUnit.MILLISECONDS.toNanos(60);
  /** Silence after the client's time that ends a passed-on answer: its client has to see an end within half a second. */
  static final long OVERTIME_SILENCE_NANOS = TimeUnit.MILLISECONDS.toNanos(300);
  /** An answer that is slower than this on average does not go on after its client's time. */
  static final long MIN_BYTES_PER_SECOND = 256;

  private State state = State.AWAITED;
  private long firstByteDeadline;
  private long clientDeadline;
  private long beganAt;
  private long lastArrivalAt;
  private long bodyBytes;
  private boolean suspected;
  private boolean passOnDeclined;
  /** Whether the client accepts no more at the moment, since when, and for how long it did not before. */
  private boolean paused;

  private long pausedAt;
  private long pausedNanos;

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
  public boolean arrived(long totalBodyBytes, long now) {
    boolean begins = state == State.AWAITED;
    beganAt = begins ? now : beganAt;
    lastArrivalAt = now;
    bodyBytes = totalBodyBytes;
    if (state != State.PASSED_ON) {
      state = totalBodyBytes > 0 ? State.BODY_ARRIVING : State.HEAD_ARRIVED;
    }
    return begins;
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
    if (nowPaused && !paused) {
      pausedAt = now;
    } else if (!nowPaused && paused) {
      pausedNanos += now - pausedAt;
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
    if (now - lastArrivalAt >= MAX_SILENCE_NANOS) {
      return Step.END_SILENT;
    }
    return state == State.PASSED_ON ? nextOfPassedOn(now) : nextOfBuffered(now);
  }

  private Step nextOfPassedOn(long now) {
    if (now < clientDeadline) {
      return Step.WAIT;
    }
    if (isTrickling(now)) {
      return Step.END_TRICKLING;
    }
    return now >= overtimeEnd() ? Step.END_SILENT : Step.WAIT;
  }

  private Step nextOfBuffered(long now) {
    if (now >= clientDeadline) {
      return Step.END_TIME_UP;
    }
    boolean silent = now - lastArrivalAt >= SUSPICION_NANOS;
    if (!silent && shouldPassOn(now)) {
      return Step.PASS_ON;
    }
    if (silent && !suspected) {
      suspected = true;
      return Step.SUSPECT;
    }
    return Step.WAIT;
  }

  private boolean shouldPassOn(long now) {
    boolean lastChance = now >= passOnAt() && !isTrickling(now);
    return mayPassOn() && (now - beganAt > MAX_BUFFERING_NANOS || lastChance);
  }

  /** Returns why an answer would be passed on now. */
  PassOnReason passOnReason(long now) {
    return now >= passOnAt() ? PassOnReason.TIME_ALMOST_UP : PassOnReason.BUFFERED_LONG;
  }

  private boolean mayPassOn() {
    return state == State.BODY_ARRIVING && !passOnDeclined;
  }

  private long passOnAt() {
    return clientDeadline - PASS_ON_MARGIN_NANOS;
  }

  /** Counted from the client's time at the earliest: before that, the next part may be late. */
  private long overtimeEnd() {
    return Math.max(lastArrivalAt, clientDeadline) + OVERTIME_SILENCE_NANOS;
  }

  private boolean isTrickling(long now) {
    long nanos = now - beganAt - pausedNanos;
    return bodyBytes * TimeUnit.SECONDS.toNanos(1) < nanos * MIN_BYTES_PER_SECOND;
  }

  /** Returns when {@link #next} has to be asked again if nothing happens before; Long.MAX_VALUE for never. */
  public long nextCheckAt(long now) {
    if (state == State.AWAITED) {
      return firstByteDeadline;
    }
    if (paused) {
      return Long.MAX_VALUE;
    }
    long silenceEnd = lastArrivalAt + MAX_SILENCE_NANOS;
    if (state == State.PASSED_ON) {
      return Math.min(silenceEnd, now < clientDeadline ? clientDeadline : overtimeEnd());
    }
    long at = Math.min(silenceEnd, clientDeadline);
    if (!suspected) {
      at = Math.min(at, lastArrivalAt + SUSPICION_NANOS);
    }
    return mayPassOn() && now < passOnAt() ? Math.min(at, passOnAt()) : at;
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
