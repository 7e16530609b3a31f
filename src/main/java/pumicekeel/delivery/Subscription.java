package pumicekeel.delivery;

import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/**
 * State machine of a configuration subscriber, without I/O or clock. The caller executes each {@link Step} and reports its result;
 * times are nanoseconds of one monotonic clock.
 *
 * <p>It long-polls the control machines in turn, each with a short wait, so that a machine that is partitioned from the others delays a
 * version by at most that wait. A version is applied as a whole, and only if it is newer than the version held and any refused one.
 */
public final class Subscription {

  /** How long a control machine may hold a call: a machine partitioned from the writer delays a version by this time. */
  public static final long WAIT_MILLIS = 2_500;

  private static final long FIRST_BACK_OFF_NANOS = TimeUnit.MILLISECONDS.toNanos(200);
  /** Together with the check of the text this must stay below the seven seconds within which a change has to be in force. */
  private static final long MAX_BACK_OFF_NANOS = TimeUnit.SECONDS.toNanos(4);
  /** The first calls of processes that start together are spread over this time. */
  private static final long START_SPREAD_NANOS = TimeUnit.SECONDS.toNanos(1);
  /** Far above the size of any configuration; a snapshot announced as larger is rejected. */
  static final long MAX_TEXT_BYTES = 32L << 20;

  /** Shortest time between polls, for machines that answer at once instead of holding the call. */
  private static final long MIN_POLL_PERIOD_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  /** Each retry checks a whole text, which takes a second of a core at the largest known size, so retries are rare. */
  private static final long POSTPONED_RETRY_NANOS = TimeUnit.SECONDS.toNanos(30);

  /** The next action of the caller. */
  public sealed interface Step {}

  /**
   * Call a control machine for a newer version.
   *
   * @param call id to be returned with the reply
   * @param server index in the list of control machines
   * @param held the base of a delta; NONE for a snapshot
   * @param known only versions newer than this are requested: the later of the held and the refused version
   */
  public record Poll(
      long call, int server, ConfigurationVersion held, ConfigurationVersion known, long waitMillis)
      implements Step {}

  /** Call a control machine for the next part of a snapshot. */
  public record FetchPart(long call, int server, ConfigurationVersion version, long offset)
      implements Step {}

  /** Check a version and put it in force; the result is reported with {@link #applied}, {@link #damaged}, {@link #refused} or {@link #postponed}. */
  public record Apply(long call, Candidate candidate) implements Step {}

  /** Do nothing before this time. */
  public record Wait(long untilNanos) implements Step {}

  /** An earlier step has not ended yet. */
  public record Pending() implements Step {}

  private enum State {
    /** Nothing to do until {@code waitUntil}. */
    WAITING,
    /** A call to a control machine is outstanding. */
    CALLING,
    /** A version has been received and is to be applied. */
    ARRIVED,
    /** A version is being checked and put in force. */
    APPLYING
  }

  private final int servers;
  private final SplittableRandom random;
  private final BackOff backOff;
  private State state = State.WAITING;
  private int server;
  private long waitUntil;
  private long calledAt;
  private long call;
  private long lastReplyAt;
  private ConfigurationVersion held;
  private ConfigurationVersion refused = ConfigurationVersion.NONE;
  private boolean needsSnapshot;
  private SnapshotTransfer transfer;
  private Candidate candidate;
  /** When a postponed version is retried. */
  private long retryRefusedAt = Long.MAX_VALUE;

  private String refusal = "";
  private String trouble = "";

  /**
   * Creates a subscription whose first call is within a second of {@code now}.
   *
   * @param held the version in force, or NONE
   */
  public Subscription(int servers, ConfigurationVersion held, long seed, long now) {
    this.servers = servers;
    this.held = held;
    random = new SplittableRandom(seed);
    backOff = new BackOff(FIRST_BACK_OFF_NANOS, MAX_BACK_OFF_NANOS, random);
    server = random.nextInt(servers);
    waitUntil = now + random.nextLong(START_SPREAD_NANOS);
    lastReplyAt = now;
  }

  /** Returns the version in force. */
  public ConfigurationVersion held() {
    return held;
  }

  /** Returns the newest version that was refused here; NONE for none. */
  public ConfigurationVersion refused() {
    return refused;
  }

  /** Returns the time of the last valid reply, or of the start if there was none. */
  public long lastReplyAt() {
    return lastReplyAt;
  }

  /** Returns why the newest version is not in force: the reason of a refusal, or the last failure since a success; else empty. */
  public String trouble() {
    return refused.isNewerThan(held) && trouble.isEmpty() ? refusal : trouble;
  }

  /** Returns the next step; a step other than a wait or pending counts as begun. */
  public Step next(long now) {
    return switch (state) {
      case CALLING, APPLYING -> new Pending();
      case ARRIVED -> {
        state = State.APPLYING;
        yield new Apply(++call, candidate);
      }
      case WAITING -> now < waitUntil ? new Wait(waitUntil) : poll(now);
    };
  }

  private Step poll(long now) {
    if (now >= retryRefusedAt) {
      retryRefusedAt = Long.MAX_VALUE;
      refused = ConfigurationVersion.NONE;
    }
    state = State.CALLING;
    calledAt = now;
    call++;
    if (transfer != null) {
      return new FetchPart(call, server, transfer.version(), transfer.received());
    }
    ConfigurationVersion base = needsSnapshot ? ConfigurationVersion.NONE : held;
    return new Poll(call, server, base, known(), WAIT_MILLIS);
  }

  private ConfigurationVersion known() {
    return ConfigurationVersion.later(held, refused);
  }

  /** Handles the reply to a call. A reply to any other than the outstanding call is late and ignored. */
  public void replied(long repliedCall, Reply reply, long now) {
    if (state != State.CALLING || repliedCall != call) {
      return;
    }
    if (!(reply instanceof Reply.Failed)) {
      lastReplyAt = now;
    }
    if (reply instanceof Reply.Unchanged) {
      succeeded();
      server = (server + 1) % servers;
      waitFor(now, Math.max(0, calledAt + MIN_POLL_PERIOD_NANOS - now));
    } else if (reply instanceof Reply.Delta d) {
      handleDelta(d.delta(), now);
    } else if (reply instanceof Reply.Part p) {
      handlePart(p.part(), now);
    } else if (reply instanceof Reply.Busy busy) {
      waitFor(now, busy.retryAfterNanos() + random.nextLong(START_SPREAD_NANOS));
    } else if (reply instanceof Reply.Gone) {
      transfer = null;
      failed("the control machine has no such version any more", now);
    } else if (reply instanceof Reply.Failed f) {
      failed(f.reason(), now);
    }
  }

  private void handleDelta(ConfigurationDelta delta, long now) {
    if (!delta.target().isNewerThan(known())) {
      failed("a delta to " + delta.target() + ", which is not newer", now);
    } else if (!delta.base().equals(held)) {
      needsSnapshot = true;
      failed("a delta on " + delta.base() + ", which is not held", now);
    } else {
      arrived(new Candidate.Delta(delta));
    }
  }

  private void handlePart(SnapshotPart part, long now) {
    if (!part.version().isNewerThan(known())) {
      transfer = null;
      failed("a snapshot of " + part.version() + ", which is not newer", now);
      return;
    }
    if (part.offset() == 0 && part.total() > 0 && part.total() <= MAX_TEXT_BYTES) {
      transfer = new SnapshotTransfer(part);
    }
    if (transfer == null || !transfer.append(part)) {
      failed("a part of a snapshot that is not the next one", now);
    } else if (transfer.isComplete()) {
      Candidate whole = new Candidate.Snapshot(transfer.version(), transfer.text());
      transfer = null;
      arrived(whole);
    } else {
      succeeded();
      waitFor(now, 0);
    }
  }

  private void arrived(Candidate arrived) {
    candidate = arrived;
    state = State.ARRIVED;
  }

  /** Reports that the version to be applied is in force. */
  public void applied(long appliedCall, long now) {
    if (endsApply(appliedCall)) {
      held = candidate.version();
      needsSnapshot = false;
      succeeded();
      waitFor(now, 0);
    }
  }

  /** Reports that the text does not match its version: the held text or the received data is damaged, so a snapshot is fetched. */
  public void damaged(long appliedCall, String reason, long now) {
    if (endsApply(appliedCall)) {
      needsSnapshot = true;
      failed(reason, now);
    }
  }

  /** Reports that this build or platform cannot use the version: only newer versions are requested from now on. */
  public void refused(long appliedCall, String reason, long now) {
    if (endsApply(appliedCall)) {
      refused = ConfigurationVersion.later(refused, candidate.version());
      refusal = reason;
      retryRefusedAt = Long.MAX_VALUE;
      succeeded();
      waitFor(now, 0);
    }
  }

  /** Reports that the version cannot be applied now: it is retried later; a newer version is applied at any time. */
  public void postponed(long appliedCall, String reason, long now) {
    if (endsApply(appliedCall)) {
      refused(appliedCall, reason, now);
      retryRefusedAt = now + POSTPONED_RETRY_NANOS + random.nextLong(POSTPONED_RETRY_NANOS);
    }
  }

  /** Reports that a newer version was put in force by other means; the current call or transfer is discarded. */
  public void superseded(ConfigurationVersion version, long now) {
    if (version.isNewerThan(held)) {
      held = version;
      transfer = null;
      needsSnapshot = false;
      call++;
      waitFor(now, 0);
    }
  }

  private boolean endsApply(long appliedCall) {
    return state == State.APPLYING && appliedCall == call;
  }

  private void succeeded() {
    backOff.reset();
    trouble = "";
  }

  private void failed(String reason, long now) {
    trouble = reason;
    server = (server + 1) % servers;
    waitFor(now, backOff.next());
  }

  private void waitFor(long now, long nanos) {
    state = State.WAITING;
    candidate = null;
    waitUntil = now + nanos;
  }
}
