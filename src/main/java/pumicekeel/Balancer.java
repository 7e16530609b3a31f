package pumicekeel;

import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/**
 * The interface of the decision module: the events it receives from a balancer and the actions it requests.
 *
 * <p>One instance decides for one balancer. It is single-threaded: call {@link #handle} from one thread at a time,
 * events in the order in which they happened. Times and durations are nanoseconds; a clock reading has no particular
 * origin and never goes back. The module reads no clock, no environment and no random source but its seed, so the same
 * calls give the same actions.
 *
 * <p>Actions are carried out in the order in which they are emitted, at the clock reading of their event. Each
 * {@link Send} is followed by exactly one {@link Outcome}, each {@link SetTimer} by one {@link TimerFired}, each
 * {@link Probe} by one {@link ProbeResult}. An exception from {@link #handle} is a defect: discard the instance.
 */
public interface Balancer {

  /** Handles one event at clock reading {@code nowNanos}; actions go to {@code out} in order. */
  void handle(long nowNanos, Event event, Consumer<Action> out);

  /** Whether a request of a class may run more than once. */
  enum Effect {
    SAFE,
    KEYED,
    UNSAFE
  }

  /** The upstreams that deduplicate repeats of a keyed request among each other. */
  enum DedupScope {
    ALL,
    ZONE,
    CELL;

    /** Returns whether two upstreams deduplicate each other's requests. */
    public boolean covers(ListedUpstream one, ListedUpstream other) {
      return covers(one.zone(), one.cell(), other);
    }

    /** Returns whether an upstream deduplicates the requests of one in that zone and cell. */
    public boolean covers(String zone, int cell, ListedUpstream other) {
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

    /** Returns whether this outcome proves that the attempt never ran. */
    public boolean provesNotRun() {
      return this == FULL || this == CONNECT_FAILED || this == NOT_SENT;
    }
  }

  /** The state of an upstream in the list. */
  enum State {
    READY,
    DRAINING,
    GONE
  }

  /** What an update holds: only the changes, the complete list, the last known complete list (possibly stale), or a failed call. */
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

  /** The limits of the deployment. {@code maxOpen} is the maximum number of requests open at one balancer. */
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

  /**
   * The limits on late answers, on sends to departed upstreams and on the load of cold ones. {@code askWithinNanos} is 0 if the list is
   * pushed.
   */
  record Contract(
      long answerSlackNanos,
      long askWithinNanos,
      long drainGraceNanos,
      double coldFrom,
      long warmWithinNanos,
      double fallMultiple,
      long fallWindowNanos) {}

  /** What a unit of traffic to other zones, of wasted work or of late failures costs, in points of a run's result. */
  record Prices(double crossZone, double waste, double lateFail) {}

  /**
   * A balancer's settings, given to the constructor and replaced by {@link SettingsChanged}. {@code me} is its number among the {@code
   * groupSize} balancers of its group, {@code overShareWorth} the worth of work over a tenant's quota relative to other work, and {@code
   * tickNanos} the resolution of the clock.
   */
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

    /** Rejects invalid values with the name of the setting. */
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
   * An upstream as one list names it. {@code startedNanos} is 0 if it started long ago; weights are relative. {@code sharers} is the
   * number of instances in this process, including this one, that send to it and divide a cold upstream's budget.
   */
  record ListedUpstream(
      long upstream,
      String zone,
      int cell,
      State state,
      long startedNanos,
      double weight,
      int sharers) {

    /** Creates an entry to which no other instance of the process sends. */
    public ListedUpstream(
        long upstream, String zone, int cell, State state, long startedNanos, double weight) {
      this(upstream, zone, cell, state, startedNanos, weight, 1);
    }
  }

  /** An event reported by the balancer. */
  sealed interface Event
      permits ListUpdate,
          Request,
          AnswerArriving,
          AnswerStalled,
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
   * The last byte of a request announced with {@code bodyPending} has arrived: upstreams start it now, and its latency counts
   * from now; its deadline is {@code deadlineNanos}.
   */
  record RequestBodyReceived(String id, long deadlineNanos) implements Event {}

  /**
   * The settings changed. Open requests keep their class; the lower of the old and the new limit on attempts applies to them.
   */
  record SettingsChanged(Settings settings) implements Event {}

  /**
   * The rates that this instance may admit of tenants' quotas, in requests per second; they replace its even share until the
   * next {@link SettingsChanged}.
   */
  record QuotaAllocation(Map<String, Double> perSecond) implements Event {}

  /** An update of the list of upstreams. An instance's first update is of kind CACHED. */
  record ListUpdate(ListKind kind, List<ListedUpstream> entries) implements Event {}

  /**
   * A request arrived and needs one final answer by {@code deadlineNanos} (a clock reading). Tenant and key may be
   * null; {@code workHintNanos} is 0 without a hint. {@code usesPreviousSettings}: its class is that of the settings before the last
   * {@link SettingsChanged}. {@code bodyPending}: its body is too large to be kept and is still arriving; it may be sent at once,
   * to one upstream at a time, and {@link RequestBodyReceived} follows.
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

    /** Creates a request that has arrived completely. */
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

    /** Creates a request without prior attempts that may have run. */
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
   * An attempt of another request of the same key that may have run, in this process or its predecessor: the location of its
   * upstream, and when it was sent by this balancer's clock.
   */
  record PriorAttempt(String zone, int cell, long sentAtNanos) {}

  /**
   * The first part of an attempt's answer has arrived. The attempt's time-out no longer applies: it ends by {@code deadlineNanos} (a
   * clock reading) at the latest, unless its answer is streamed then. Until its outcome, no final answer is needed before that.
   */
  record AnswerArriving(String id, int attempt, long deadlineNanos) implements Event {}

  /**
   * An answer that has begun has brought nothing for a while. The attempt goes on: it may have stopped or may be slow, and another one
   * may be made beside it.
   */
  record AnswerStalled(String id, int attempt) implements Event {}

  /** A streamed answer has started: the request belongs to this attempt, without a deadline, until its outcome. */
  record AnswerStarted(String id, int attempt, long upstream, long latencyNanos) implements Event {}

  /**
   * An attempt ended. {@code finished}: the request is over (the first SERVED ends it by itself); otherwise a final
   * answer is still outstanding. {@code load} is the upstream's report, empty if there was none. {@code
   * staleConnection}: a kept connection was reset by the request before any answer, which says nothing of the upstream.
   * {@code bodyConsumed}: the request's body was not kept and cannot be sent again.
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

    /** Creates the outcome of an attempt whose request can be sent again. */
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

    /** Creates the outcome of an attempt without a stale connection. */
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

  /** The client disconnected; no answer is needed any more. */
  record ClientDisconnected(String id) implements Event {}

  /** A timer fired. */
  record TimerFired(String token) implements Event {}

  /** A probe ended. */
  record ProbeResult(long upstream, Status status, long latencyNanos, Map<String, Double> load)
      implements Event {}

  /** Another balancer of the group sent a message. */
  record PeerMessage(int from, byte[] data) implements Event {}

  /** An action for the balancer to carry out. */
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

  /**
   * Start an attempt; a request's attempts count 0, 1, 2 ... in sending order. The time-out is that of the answer's first byte; 0: until
   * the deadline.
   */
  record Send(String id, long upstream, long timeoutNanos) implements Action {}

  /** Stop waiting for an attempt; whether the upstream stops is up to it. */
  record Cancel(String id, int attempt) implements Action {}

  /** Final answer: refused, safe to retry. {@code retryAfterNanos} 0: no advice. */
  record Refuse(String id, long retryAfterNanos) implements Action {}

  /** Final answer: failed; the request may have run. */
  record Fail(String id) implements Action {}

  /** Request {@link TimerFired} at a clock reading. */
  record SetTimer(String token, long atNanos) implements Action {}

  /** Subscribe to changes of the list (or stop). Answered by one ListUpdate. */
  record Watch(boolean on) implements Action {}

  /** Request the complete list once. */
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
