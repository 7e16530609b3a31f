package pumicekeel.upstream;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import pumicekeel.Balancer.Status;
import pumicekeel.call.Answer;
import pumicekeel.call.AnswerStart;
import pumicekeel.call.BodySink;
import pumicekeel.call.ClientRequest;
import pumicekeel.call.FlowControl;
import pumicekeel.runtime.Clock;

/** One Send of the module: from the decision to exactly one outcome, over whatever protocol its upstream speaks. */
public abstract class UpstreamAttempt {

  /** Told how the attempt ended; the answer is null where none came whole. */
  public interface Observer {
    void ended(UpstreamAttempt attempt, Status status, Answer answer);

    /** Asked when an answer begins that is not kept: where its pieces go, null for nowhere. The end is told as ever. */
    default BodySink answerStarted(UpstreamAttempt attempt, AnswerStart start, FlowControl source) {
      return null;
    }
  }

  public final int number;
  public final long upstream;
  public final long decidedAt;
  private final Observer observer;
  private ScheduledFuture<?> timeout;
  private long timeoutNanos;
  /** When its client's time is up. */
  private long deadline;
  /** Its answer is large and may take longer than that, as long as it comes. */
  private boolean exemptFromTimeout;

  private boolean sent;
  private long sentAt;
  private Clock clock;
  private Status status;
  private Runnable onWritten;
  /** A part of the request's body has not gone out: it can't have begun. */
  private boolean bodyPending;
  /** When its answer began to be passed on; 0 for not yet. */
  private long answerStartedAt;

  protected UpstreamAttempt(int number, long upstream, long decidedAt, Observer observer) {
    this.number = number;
    this.upstream = upstream;
    this.decidedAt = decidedAt;
    this.observer = observer;
  }

  /** Sends on a connection that is there or a new one; {@code maySend} is asked again right before the first byte. */
  public final void start(
      ClientRequest request,
      long nanos,
      BooleanSupplier maySend,
      Clock clockSource,
      EventLoop loop) {
    clock = clockSource;
    arm(nanos, loop);
    begin(request, maySend);
  }

  /** Finds a connection, asks {@code maySend}, and writes; whatever hinders it ends the attempt. */
  protected abstract void begin(ClientRequest request, BooleanSupplier maySend);

  /** The attempt has just ended like this, and nobody was told yet: its connection may have to go. */
  protected abstract void onEnded(Status how);

  /** Whether the request found a kept connection broken, of which it could not know. */
  public abstract boolean stale();

  /** The first byte goes out now; what is left of the time to wait, in whole milliseconds and at least one. */
  protected final long markSending() {
    sent = true;
    sentAt = clock.now();
    return Math.max(1, (timeoutNanos - (sentAt - decidedAt)) / 1_000_000);
  }

  /** The request's body goes out while it comes, from now on. */
  protected final void bodyPending() {
    bodyPending = true;
  }

  /** The last byte of the request has come: the time to wait, and the latency, begin now. */
  public final void bodyReceived(long nanos, EventLoop loop) {
    bodyPending = false;
    if (status != null || timeout == null) {
      return;
    }
    timeout.cancel(false);
    sentAt = sent ? clock.now() : sentAt;
    arm(nanos, loop);
  }

  private void arm(long nanos, EventLoop loop) {
    timeoutNanos = nanos;
    deadline = clock.now() + nanos;
    timeout = loop.schedule(this::onTimeout, Math.max(0, nanos), TimeUnit.NANOSECONDS);
  }

  private void onTimeout() {
    if (!exemptFromTimeout) {
      end(Status.TIMEOUT, null);
    }
  }

  /** An answer begins that is passed on while it comes; its client's time limits it still, unless it is {@link #exemptFromTimeout}. */
  public final BodySink begin(AnswerStart start, FlowControl source) {
    BodySink sink = status != null ? null : observer.answerStarted(this, start, source);
    if (sink != null) {
      answerStartedAt = clock.now();
    }
    return sink;
  }

  /** The answer that is passed on is a large one: it may last for as long as it comes. */
  public final void exemptFromTimeout() {
    exemptFromTimeout = true;
  }

  /** What is left of its client's time; 0 or less for nothing. */
  public final long remainingNanos() {
    return deadline - clock.now();
  }

  /** The last byte has gone out. */
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

  /** Whether this attempt may have an effect by now. */
  public final boolean mayHaveRun() {
    return sent && !bodyPending && (status == null || !status.provesNotRun());
  }

  public final long sentAt() {
    return sentAt;
  }

  /**
   * From the first byte's writing to the time given, when the answer came; of one that was not sent, from the decision.
   * What passes before the writing is a connect, which a slow loop makes long, and no upstream's work.
   */
  public final long latencyNanos(long until) {
    return Math.max(
        0,
        (answerStartedAt == 0 ? until : Math.min(answerStartedAt, until))
            - (sent ? sentAt : decidedAt));
  }

  /** Run once the attempt's last byte has gone out; to be set before the start. */
  public final void onWritten(Runnable then) {
    onWritten = then;
  }

  /** Ends the attempt once. */
  public final void end(Status how, Answer answer) {
    if (status != null) {
      return;
    }
    status = how;
    if (timeout != null) {
      timeout.cancel(false);
    }
    onEnded(how);
    observer.ended(this, how, answer);
  }
}
