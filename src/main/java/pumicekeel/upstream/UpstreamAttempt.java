package pumicekeel.upstream;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import pumicekeel.Balancer.Status;
import pumicekeel.call.Answer;
import pumicekeel.call.AnswerStart;
import pumicekeel.call.BodySink;
import pumicekeel.call.ClientRequest;
import pumicekeel.call.FlowControl;
import pumicekeel.guard.AttemptEnd;
import pumicekeel.runtime.Clock;
import pumicekeel.runtime.Log;

/** One Send action of the module, from the decision to exactly one outcome, independent of the upstream's protocol. */
public abstract class UpstreamAttempt {

  /** Receives the outcome of an attempt; the answer is null unless it arrived completely. */
  public interface Observer {
    void ended(UpstreamAttempt attempt, Status status, Answer answer);

    /**
     * Called when an answer starts that is not buffered; returns where its pieces go, or null to decline it. The end of the attempt is
     * still reported by {@link #ended}.
     */
    default BodySink answerStarted(
        UpstreamAttempt attempt, AnswerStart start, FlowControl source, PassOnReason reason) {
      return null;
    }

    /** Called when the first part of an answer has arrived: the attempt's time-out is replaced by the client's time. */
    default void answerArriving(UpstreamAttempt attempt) {}

    /** Returns which attempt of the same request to pass on now, this one being due. */
    default UpstreamAttempt likeliestToEnd(UpstreamAttempt attempt) {
      return attempt;
    }

    /** Called when an answer that has begun is suspected to have stopped. The attempt goes on. */
    default void answerStalled(UpstreamAttempt attempt) {}
  }

  private static final long NANOS_PER_MILLI = 1_000_000L;

  public final int number;
  public final long upstream;
  public final long decidedAt;
  private final Observer observer;
  private ScheduledFuture<?> check;
  private long checkAt;
  private long timeoutNanos;
  /** When the attempt's time-out passes. */
  private long deadline;

  private EventLoop loop;
  private final AnswerProgress progress = new AnswerProgress();
  private String requestId;
  private boolean sent;
  private boolean placeUncertain;
  private long sentAt;
  private Clock clock;
  private Status status;
  private AttemptEnd endReason;
  private Runnable onWritten;
  /** Part of the request's body has not been sent, so the upstream cannot have begun to process it. */
  private boolean bodyPending;
  /** When streaming of the answer to the client began; 0 for not yet. */
  private long answerStartedAt;

  protected UpstreamAttempt(int number, long upstream, long decidedAt, Observer observer) {
    this.number = number;
    this.upstream = upstream;
    this.decidedAt = decidedAt;
    this.observer = observer;
  }

  /**
   * Sends on an existing connection or a new one; {@code maySend} is checked again immediately before the first byte. The answer has to
   * begin within {@code nanos}, and its client waits for {@code clientNanos}.
   */
  public final void start(
      ClientRequest request,
      long nanos,
      long clientNanos,
      BooleanSupplier maySend,
      Clock clockSource,
      EventLoop eventLoop) {
    clock = clockSource;
    loop = eventLoop;
    requestId = request.id();
    arm(nanos, clientNanos);
    begin(request, maySend);
  }

  /** Obtains a connection, checks {@code maySend}, and writes; any failure to do so ends the attempt. */
  protected abstract void begin(ClientRequest request, BooleanSupplier maySend);

  /** Returns the address that it is sent to. */
  protected abstract InetSocketAddress address();

  /** Called when the attempt has just ended, before the observer is notified; releases its connection if necessary. */
  protected abstract void onEnded(Status how);

  /** Returns whether the attempt failed because a kept connection turned out to be broken, which could not be known before. */
  public abstract boolean stale();

  /** Records that the first byte is sent now; returns the remaining time limit in whole milliseconds, at least one. */
  protected final long markSending() {
    sent = true;
    sentAt = clock.now();
    return Math.max(1, (timeoutNanos - (sentAt - decidedAt)) / 1_000_000);
  }

  /** Returns the time by the balancer's clock. */
  protected final long now() {
    return clock.now();
  }

  /** Records that the request's body is sent while it arrives. */
  protected final void bodyPending() {
    bodyPending = true;
  }

  /** Records that the last byte of the request has arrived: the time limits and the latency measurement start now. */
  public final void bodyReceived(long nanos, long clientNanos) {
    bodyPending = false;
    if (status != null || loop == null) {
      return;
    }
    sentAt = sent ? clock.now() : sentAt;
    arm(nanos, clientNanos);
  }

  private void arm(long nanos, long clientNanos) {
    long now = clock.now();
    timeoutNanos = nanos;
    deadline = now + nanos;
    progress.setDeadlines(deadline, now + clientNanos);
    scheduleCheck();
  }

  /** Schedules the next check. An earlier one that is no longer due reschedules itself, which costs less than a timer for each arrival. */
  private void scheduleCheck() {
    long now = clock.now();
    long at = progress.nextCheckAt(now);
    if (status != null || at == Long.MAX_VALUE || check != null && checkAt - at <= 0) {
      return;
    }
    if (check != null) {
      check.cancel(false);
    }
    checkAt = at;
    check = loop.schedule(
        () -> {
          check = null;
          // The clock may be read slightly earlier than the timer fires.
          checkProgress(Math.max(clock.now(), at));
        },
        Math.max(0, at - now),
        TimeUnit.NANOSECONDS);
  }

  private void checkProgress(long now) {
    if (status != null) {
      return;
    }
    AnswerProgress.Step step = progress.next(now);
    switch (step) {
      case WAIT -> {}
      case SUSPECT -> suspect();
      case PASS_ON -> passOnLikeliest(progress.passOnReason(now));
      default -> {
        Status proven = statusOfHead();
        end(step.reason(), proven == null ? step.status() : proven, null);
      }
    }
    scheduleCheck();
  }

  private void passOnLikeliest(PassOnReason reason) {
    UpstreamAttempt likeliest = observer.likeliestToEnd(this);
    while (!likeliest.startPassingOn(reason) && likeliest != this) {
      likeliest = observer.likeliestToEnd(this);
    }
    if (likeliest != this) {
      progress.passOnDeclined();
    }
  }

  /** Passes on what has arrived of the answer and what follows; returns false if that is not possible, also later. */
  public final boolean startPassingOn(PassOnReason reason) {
    boolean started = canPassOn() && passOn(reason);
    if (!started) {
      progress.passOnDeclined();
    }
    return started;
  }

  /** Returns whether the head of a usable answer has arrived, and it was neither passed on nor declined. */
  public final boolean canPassOn() {
    return status == null && progress.canPassOn() && statusOfHead() == null;
  }

  /** Returns whether this answer, of two that can be passed on, is likelier to end. */
  public final boolean isLikelierToEndThan(UpstreamAttempt other) {
    return progress.isLikelierToEndThan(other.progress, clock.now());
  }

  /** Returns for how long the upstream has sent nothing more of a passed-on answer whose client's time is up; 0 for any other. */
  public final long overtimeSilenceNanos() {
    return status == null ? progress.overtimeSilenceNanos(clock.now()) : 0;
  }

  private void suspect() {
    Status proven = statusOfHead();
    if (proven != null) {
      // The rest of an answer that reports a failure is not used.
      end(AttemptEnd.SILENT, proven, null);
      return;
    }
    reportStalled();
  }

  /** Reports that the answer, or what comes before it on its connection, may have stopped. */
  public final void reportStalled() {
    if (status == null) {
      logProgress("may have stopped");
      observer.answerStalled(this);
    }
  }

  /** Returns the outcome that the head of the answer proves by itself; null if it has not arrived or if the body is needed. */
  protected Status statusOfHead() {
    return null;
  }

  /** Starts to pass on the answer; returns false if its client accepts only a complete one. */
  protected boolean passOn(PassOnReason reason) {
    return false;
  }

  /** Records that the client accepts no more of the answer at the moment, or accepts more again. */
  public final void answerPaused(boolean paused) {
    progress.setPaused(paused, clock.now());
    scheduleCheck();
  }

  /** Starts an answer that is streamed to the client. */
  public final BodySink begin(AnswerStart start, FlowControl source, PassOnReason reason) {
    BodySink sink = status != null ? null : observer.answerStarted(this, start, source, reason);
    if (sink != null) {
      answerStartedAt = clock.now();
      if (reason != PassOnReason.SIZE) {
        logProgress("is passed on, " + reason);
      }
      progress.passedOn(answerStartedAt);
      scheduleCheck();
    }
    return sink;
  }

  /** Records that a part of the answer has arrived, of whose body {@code totalBodyBytes} have arrived so far. */
  public final void answerArrived(boolean headComplete, long totalBodyBytes) {
    if (progress.arrived(headComplete, totalBodyBytes, clock.now())) {
      observer.answerArriving(this);
    }
    // Later: the read that brought it may have found the connection broken behind it.
    loop.execute(() -> checkProgress(clock.now()));
  }

  /** Returns whether a part of the answer has arrived. */
  public final boolean answerBegun() {
    return progress.state() != AnswerProgress.State.AWAITED;
  }

  /** Returns what is left of the attempt's time-out; 0 or less once it has passed. */
  public final long remainingNanos() {
    return deadline - clock.now();
  }

  /** Runs the callback that waits for the request's last byte to be sent. */
  protected final void notifyWritten() {
    if (onWritten != null) {
      onWritten.run();
    }
  }

  protected final boolean hasWriteCallback() {
    return onWritten != null;
  }

  protected final long timeoutNanos() {
    return timeoutNanos;
  }

  protected final long nanosSinceSent() {
    return clock.now() - sentAt;
  }

  public final boolean inFlight() {
    return status == null;
  }

  /** Returns why it ended; null while it is in flight. */
  public final AttemptEnd endReason() {
    return endReason;
  }

  /** Records that another process may have taken the listed upstream's place, so that its zone and cell are not known. */
  protected final void placeUncertain() {
    placeUncertain = true;
  }

  /** Returns whether another process may have taken the listed upstream's place. */
  public final boolean isPlaceUncertain() {
    return placeUncertain;
  }

  /** Returns whether this attempt may have had an effect by now. */
  public final boolean mayHaveRun() {
    return sent && !bodyPending && (status == null || !status.provesNotRun());
  }

  public final long sentAt() {
    return sentAt;
  }

  /**
   * Returns the time from writing the first byte until the given time, when the answer arrived; for an attempt that was not sent, from
   * the decision. The time before the write is spent on connecting, which a slow event loop prolongs, and is not the upstream's work.
   */
  public final long latencyNanos(long until) {
    return Math.max(
        0,
        (answerStartedAt == 0 ? until : Math.min(answerStartedAt, until))
            - (sent ? sentAt : decidedAt));
  }

  /** Sets a callback for when the attempt's last byte has been sent; to be called before the start. */
  public final void onWritten(Runnable then) {
    onWritten = then;
  }

  /** Ends the attempt; only the first call has an effect. */
  public final void end(AttemptEnd reason, Status how, Answer answer) {
    if (status != null) {
      return;
    }
    status = how;
    endReason = reason;
    logEnd(reason);
    if (check != null) {
      check.cancel(false);
    }
    onEnded(how);
    observer.ended(this, how, answer);
  }

  private void logEnd(AttemptEnd reason) {
    boolean answerLeft = answerBegun() && reason != AttemptEnd.ANSWERED;
    if (reason.isLogged() || answerLeft) {
      logProgress("ended, " + reason + ", status " + status);
    }
  }

  private void logProgress(String what) {
    if (clock == null) {
      return;
    }
    long now = clock.now();
    Log.rateLimited("request " + requestId + ": attempt " + number + " at " + address() + " " + what
        + "; "
        + (sent ? "sent " + (now - sentAt) / NANOS_PER_MILLI + " ms ago" : "not sent") + ", "
        + (progress.clientDeadline() - now) / NANOS_PER_MILLI + " ms left, "
        + progress.describe(now));
  }
}
