package pumicekeel;

import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * The interface of the decision module: what a balancer tells it and what it asks the balancer to do.
 *
 * <p>One instance decides for one balancer. It is single-threaded: call {@link #handle} from one thread at a time,
 * events in the order in which they happened. Times and durations are nanoseconds; a clock reading has no particular
 * origin and never goes back. The module reads no clock, no environment and no random source but its seed, so the same
 * calls give the same actions.
 *
 * <p>Actions are to be carried out in the order in which they are handed over, at the clock reading of their event.
 * Every {@link Send} is owed exactly one {@link Outcome}, every {@link SetTimer} one {@link TimerFired}, every
 * {@link Probe} one {@link ProbeResult}. An exception out of {@link #handle} is a defect: drop the instance.
 */
public interface Balancer {

  /** Handles one event at clock reading {@code nowNanos}; actions go to {@code out} in order. */
  void handle(long nowNanos, Event event, Consumer<Action> out);

  /** May a request of a class run again. */
  enum Effect {
    SAFE,
    KEYED,
    UNSAFE
  }

  /** The upstreams that drop a repeat of a keyed request. */
  enum DedupScope {
    ALL,
    ZONE,
    CELL;

    /** Whether two upstreams drop each other's repeats. */
    public boolean covers(Listed one, Listed other) {
      return covers(one.zone(), one.cell(), other);
    }

    /** Whether an upstream drops the repeats of one that stands there. */
    public boolean covers(String zone, int cell, Listed other) {
      return this == ALL || (this == ZONE ? zone.equals(other.zone()) : cell == other.cell());
    }
  }

  /** How an attempt or a probe ended. */
  enum Status {
    SERVED,
    ERROR,
    FULL,
    TIMEOUT,
    CONNECT_FAILED,
    RESET,
    CANCELLED,
    NOT_SENT;

    /** Whether this outcome proves that the attempt never ran. */
    public boolean provesNotRun() {
      return this == FULL || this == CONNECT_FAILED || this == NOT_SENT;
    }
  }

  /** What the list says of an upstream. */
  enum State {
    READY,
    DRAINING,
    GONE
  }

  /** Changes only, the complete list, the complete list as last held (maybe stale), or a failed call. */
  enum ListKind {
    DELTA,
    FULL,
    CACHED,
    FAILED
  }

  /** What an upstream's weight means. */
  enum WeightKind {
    NONE,
    NOMINAL,
    ROUGH,
    LIVE
  }

  /**
   * A class of requests. An answer within {@code aimNanos + aimStretch x own work} earns {@code worth}, a later one
   * before the deadline {@code lateWorth} of it.
   */
  record RequestClass(
      String name,
      Effect effect,
      DedupScope dedupScope,
      long dedupWindowNanos,
      long aimNanos,
      double aimStretch,
      long deadlineNanos,
      double worth,
      double lateWorth,
      boolean stream) {}

  /** A tenant; its quota (requests a second over all balancers) is 0 where none is stated. */
  record Tenant(String name, double share, double quotaPerSecond) {}

  /** What the deployment allows. {@code maxOpen} is the most requests one balancer holds. */
  record Limits(
      boolean cancel,
      boolean probes,
      boolean peers,
      boolean secondCopies,
      boolean retryAfter,
      long maxRetryAfterNanos,
      int maxAttempts,
      int maxOpen,
      int streamsPerConnection,
      long connectTimeoutNanos,
      long connectionIdleNanos) {}

  /** The figures of the four rules. {@code askWithinNanos} is 0 where the list is pushed. */
  record Contract(
      long answerSlackNanos,
      long askWithinNanos,
      long drainGraceNanos,
      double coldFrom,
      long warmWithinNanos,
      double fallMultiple,
      long fallWindowNanos) {}

  /** Points of the result that a unit costs. */
  record Prices(double crossZone, double waste, double lateFail) {}

  /** A balancer's settings, handed over once when the instance is made. */
  record Settings(
      int me,
      int groupSize,
      String zone,
      List<RequestClass> classes,
      List<Tenant> tenants,
      Limits limits,
      Contract contract,
      Prices prices,
      boolean listOnRequest,
      WeightKind weightKind,
      double overShareWorth,
      boolean warmKeys,
      long tickNanos) {

    /** Checks what cannot make sense, naming the setting. */
    public Settings {
      check(groupSize > 0, "group size must be above 0");
      check(!classes.isEmpty(), "classes must not be empty");
      for (RequestClass c : classes) {
        check(c.aimNanos > 0, "aim of class " + c.name + " must be above 0");
        check(c.deadlineNanos > 0, "deadline of class " + c.name + " must be above 0");
        check(c.dedupWindowNanos >= 0, "dedup window of class " + c.name + " must not be negative");
        check(
            c.worth >= 0 && c.lateWorth >= 0, "worth of class " + c.name + " must not be negative");
      }
      for (Tenant t : tenants) {
        check(
            t.share >= 0 && t.quotaPerSecond >= 0,
            "share and quota of tenant " + t.name + " must not be negative");
      }
      check(limits.maxAttempts > 0, "max attempts must be above 0");
      check(limits.maxOpen > 0, "max open must be above 0");
      check(limits.maxRetryAfterNanos >= 0, "max retry-after must not be negative");
      check(limits.connectTimeoutNanos > 0, "connect timeout must be above 0");
      check(limits.connectionIdleNanos > 0, "idle time of connections must be above 0");
      check(contract.answerSlackNanos >= 0, "answer slack must not be negative");
      check(contract.askWithinNanos >= 0, "ask-within must not be negative");
      check(contract.drainGraceNanos >= 0, "drain grace must not be negative");
      check(
          contract.coldFrom > 0 && contract.coldFrom <= 1,
          "cold-from must be above 0 and at most 1");
      check(contract.warmWithinNanos >= 0, "warm-within must not be negative");
      check(
          contract.fallMultiple > 0 && contract.fallWindowNanos >= 0,
          "fall figures must not be negative");
      check(tickNanos >= 0, "tick must not be negative");
    }

    private static void check(boolean ok, String what) {
      if (!ok) {
        throw new IllegalArgumentException("settings: " + what);
      }
    }
  }

  /**
   * One line of the list. {@code startedNanos} is 0 where it started long ago; weight compares upstreams. So many
   * instances of this process ({@code sharers}, itself among them) send to it: its part of what a cold one may get.
   */
  record Listed(
      long upstream,
      String zone,
      int cell,
      State state,
      long startedNanos,
      double weight,
      int sharers) {

    /** One that no other instance of the process sends to. */
    public Listed(
        long upstream, String zone, int cell, State state, long startedNanos, double weight) {
      this(upstream, zone, cell, state, startedNanos, weight, 1);
    }
  }

  /** What happened. */
  sealed interface Event
      permits ListUpdate,
          Request,
          AnswerStarted,
          Outcome,
          ClientDisconnected,
          TimerFired,
          ProbeResult,
          PeerMessage,
          SettingsChanged,
          RequestBodyReceived,
          QuotaAllocation {}

  /**
   * The last byte of a request has come that was told of as {@code coming}: upstreams begin it now, and its time counts
   * from now to {@code deadlineNanos}.
   */
  record RequestBodyReceived(String id, long deadlineNanos) implements Event {}

  /**
   * Other settings from now on. What is open keeps its class, and no request may have more attempts than either allows.
   */
  record SettingsChanged(Settings settings) implements Event {}

  /**
   * What this instance may admit of tenants' quotas from now on, in requests a second; it takes the place of its even part until
   * the next {@link SettingsChanged}.
   */
  record QuotaAllocation(Map<String, Double> perSecond) implements Event {}

  /** News of the list of upstreams. An instance's first news is of kind CACHED. */
  record ListUpdate(ListKind kind, List<Listed> entries) implements Event {}

  /**
   * A request came in and is owed one final answer by {@code deadlineNanos} (a clock reading). Tenant and key may be
   * null; {@code workHintNanos} is 0 where no hint came. {@code former}: its class is as the settings before the last
   * {@link SettingsChanged} have it. {@code coming}: its body is too large to be kept and still comes; it may be sent at once, to
   * one upstream at a time, and {@link RequestBodyReceived} follows.
   */
  record Request(
      String id,
      String className,
      String tenant,
      String key,
      long deadlineNanos,
      long workHintNanos,
      boolean retry,
      List<PriorAttempt> priorAttempts,
      boolean usesPreviousSettings,
      boolean bodyPending)
      implements Event {

    /** One that has come whole. */
    public Request(
        String id,
        String className,
        String tenant,
        String key,
        long deadlineNanos,
        long workHintNanos,
        boolean retry,
        List<PriorAttempt> priorAttempts,
        boolean usesPreviousSettings) {
      this(
          id,
          className,
          tenant,
          key,
          deadlineNanos,
          workHintNanos,
          retry,
          priorAttempts,
          usesPreviousSettings,
          false);
    }

    /** One of which nothing may have run before. */
    public Request(
        String id,
        String className,
        String tenant,
        String key,
        long deadlineNanos,
        long workHintNanos,
        boolean retry) {
      this(id, className, tenant, key, deadlineNanos, workHintNanos, retry, List.of(), false);
    }
  }

  /**
   * An attempt of another request of the same key that may have run, in this process or in the one before it: where its
   * upstream stands, and when it was sent by this balancer's clock.
   */
  record PriorAttempt(String zone, int cell, long sentAtNanos) {}

  /** A streamed answer has started: the request is this attempt's, without a deadline, until its outcome. */
  record AnswerStarted(String id, int attempt, long upstream, long latencyNanos) implements Event {}

  /**
   * An attempt ended. {@code finished}: the request is over (the first SERVED ends it by itself); otherwise a final
   * answer is still owed. {@code load} is the upstream's report, empty where none came. {@code stale}: a kept
   * connection was reset by the request with nothing heard, which tells of the connection and not of the upstream. {@code
   * spent}: the request's body was not kept and can't be sent again.
   */
  record Outcome(
      String id,
      int attempt,
      long upstream,
      Status status,
      long latencyNanos,
      boolean finished,
      Map<String, Double> load,
      boolean staleConnection,
      boolean bodyConsumed)
      implements Event {

    /** One of a request that can be sent again. */
    public Outcome(
        String id,
        int attempt,
        long upstream,
        Status status,
        long latencyNanos,
        boolean finished,
        Map<String, Double> load,
        boolean staleConnection) {
      this(id, attempt, upstream, status, latencyNanos, finished, load, staleConnection, false);
    }

    /** One that says nothing of its connection. */
    public Outcome(
        String id,
        int attempt,
        long upstream,
        Status status,
        long latencyNanos,
        boolean finished,
        Map<String, Double> load) {
      this(id, attempt, upstream, status, latencyNanos, finished, load, false);
    }
  }

  /** The client left; no answer is owed any more. */
  record ClientDisconnected(String id) implements Event {}

  /** A timer came due. */
  record TimerFired(String token) implements Event {}

  /** A probe ended. */
  record ProbeResult(long upstream, Status status, long latencyNanos, Map<String, Double> load)
      implements Event {}

  /** Another balancer of the group sent a message. */
  record PeerMessage(int from, byte[] data) implements Event {}

  /** What the balancer is asked to do. */
  sealed interface Action
      permits Send,
          Cancel,
          Refuse,
          Fail,
          SetTimer,
          Watch,
          FetchList,
          Probe,
          CloseIdle,
          SendToPeer,
          Log {}

  /** Start an attempt; a request's attempts count 0, 1, 2 ... in sending order. Time-out 0: until the deadline. */
  record Send(String id, long upstream, long timeoutNanos) implements Action {}

  /** Stop waiting for an attempt; whether the upstream stops is up to it. */
  record Cancel(String id, int attempt) implements Action {}

  /** Final answer: refused, trying again does no harm. {@code retryAfterNanos} 0: no advice. */
  record Refuse(String id, long retryAfterNanos) implements Action {}

  /** Final answer: failed, with no promise. */
  record Fail(String id) implements Action {}

  /** Ask for {@link TimerFired} at a clock reading. */
  record SetTimer(String token, long atNanos) implements Action {}

  /** Subscribe to changes of the list (or stop). One ListUpdate answers. */
  record Watch(boolean on) implements Action {}

  /** Ask once for the complete list. */
  record FetchList() implements Action {}

  /** Probe an upstream. */
  record Probe(long upstream) implements Action {}

  /** Close this balancer's idle connections to an upstream. */
  record CloseIdle(long upstream) implements Action {}

  /** Send at most 256 bytes to one balancer of the group, or to all of them (-1). */
  record SendToPeer(int to, byte[] data) implements Action {}

  /** A line for the balancer's log. */
  record Log(String text) implements Action {}
}
