package pumicekeel.delivery;

import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/**
 * A subscriber of the configuration: whom it asks, when and for what, without I/O or clock. Its caller carries out each {@link Step}
 * and brings back what came of it; times are nanoseconds of one monotonic clock.
 *
 * <p>It asks the control machines in turn, each for a short wait, so that one that is cut off from the others delays a version by that
 * wait at most. A version is handed on whole or not at all and only if it is newer than what is held and what was refused before.
 */
public final class Subscription {

  /** How long a control machine may hold a call: one that is cut off from the writer delays a version by this. */
  public static final long WAIT_MILLIS = 2_500;

  private static final long FIRST_BACK_OFF_NANOS = TimeUnit.MILLISECONDS.toNanos(200);
  /** With the check of the text it has to stay under the seven seconds within which a change is in force. */
  private static final long MAX_BACK_OFF_NANOS = TimeUnit.SECONDS.toNanos(4);
  /** Processes that start together ask spread over this time. */
  private static final long START_SPREAD_NANOS = TimeUnit.SECONDS.toNanos(1);
  /** Far above any configuration; a machine that says more is not believed. */
  static final long MAX_TEXT_BYTES = 32L << 20;

  /** A machine that answers at once instead of waiting is not asked more often than this. */
  private static final long MIN_POLL_PERIOD_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  /** Each try checks a whole text, a second of a core at the largest known size: seldom against what control may cost. */
  private static final long POSTPONED_RETRY_NANOS = TimeUnit.SECONDS.toNanos(30);

  /** What is to be done now. */
  public sealed interface Step {}

  /**
   * Ask a control machine for what is newer.
   *
   * @param call to be given back with the reply
   * @param server index in the list of control machines
   * @param held the base of a delta; NONE for a snapshot
   * @param known nothing up to this one is wanted: the later of what is held and what was refused
   */
  public record Poll(
      long call, int server, ConfigurationVersion held, ConfigurationVersion known, long waitMillis)
      implements Step {}

  /** Ask a control machine for the next part of a snapshot. */
  public record FetchPart(long call, int server, ConfigurationVersion version, long offset)
      implements Step {}

  /** Check a version and put it in force; what came of it is told by {@link #taken} and its like. */
  public record Apply(long call, Candidate candidate) implements Step {}

  /** Nothing before this time. */
  public record Wait(long untilNanos) implements Step {}

  /** A step that was given before has not ended. */
  public record Pending() implements Step {}

  private enum State {
    /** Nothing under way until {@code waitUntil}. */
    WAITING,
    /** A call to a control machine is out. */
    CALLING,
    /** A version has come and is to be handed on. */
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
  /** When a version that was postponed is tried again. */
  private long retryRefusedAt = Long.MAX_VALUE;

  private String refusal = "";
  private String trouble = "";

  /**
   * Makes one that asks for the first time within a second of {@code now}.
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

  /** The version in force. */
  public ConfigurationVersion held() {
    return held;
  }

  /** The newest version that was refused here; NONE for none. */
  public ConfigurationVersion refused() {
    return refused;
  }

  /** When a control machine last answered with sense, or when this began. */
  public long lastReplyAt() {
    return lastReplyAt;
  }

  /** Why the newest version is not in force: what it was refused for, or what went wrong since the last success; else empty. */
  public String trouble() {
    return refused.isNewerThan(held) && trouble.isEmpty() ? refusal : trouble;
  }

  /** The next step; where it is not a rest or pending, it counts as begun. */
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

  /** A call has been answered. A reply to any other call than the one that is out comes too late and counts for nothing. */
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

  /** The version that was to be taken is in force. */
  public void applied(long appliedCall, long now) {
    if (endsApply(appliedCall)) {
      held = candidate.version();
      needsSnapshot = false;
      succeeded();
      waitFor(now, 0);
    }
  }

  /** It is not what its version says: the text that is held or what came is damaged, so a whole one is asked for. */
  public void damaged(long appliedCall, String reason, long now) {
    if (endsApply(appliedCall)) {
      needsSnapshot = true;
      failed(reason, now);
    }
  }

  /** This build or this platform can't have it: it is not asked for again, a newer one is. */
  public void refused(long appliedCall, String reason, long now) {
    if (endsApply(appliedCall)) {
      refused = ConfigurationVersion.later(refused, candidate.version());
      refusal = reason;
      retryRefusedAt = Long.MAX_VALUE;
      succeeded();
      waitFor(now, 0);
    }
  }

  /** It can't be taken just now: it is tried again after a while, and a newer one at any time. */
  public void postponed(long appliedCall, String reason, long now) {
    if (endsApply(appliedCall)) {
      refused(appliedCall, reason, now);
      retryRefusedAt = now + POSTPONED_RETRY_NANOS + random.nextLong(POSTPONED_RETRY_NANOS);
    }
  }

  /** Another way than this subscription has put a newer version in force: what is under way counts for nothing any more. */
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
