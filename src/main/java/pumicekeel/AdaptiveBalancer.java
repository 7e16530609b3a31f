package pumicekeel;

import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.function.Consumer;
import pumicekeel.Window.Metric;

/**
 * Makes all decisions of a balancer (interface: {@link Balancer}). Common path: {@link #admit} rejects
 * requests over the key's allowed rate, {@link #place} picks an upstream by bounded load, {@link #send}
 * starts the attempt and {@link #recordOutcome} records its latency.
 */
public final class AdaptiveBalancer implements Balancer {

  private static final long MILLI_NANOS = 1_000_000L;
  private static final long SECOND_NANOS = 1000 * MILLI_NANOS;
  /** Window length in longest aims, at least 1 s: long enough for a mean, short enough to follow changes. */
  private static final double WINDOW_AIMS = 2;
  /** Latency thresholds as ratios of the class's aim: half an aim is healthy, one and a half critical. */
  private static final double MIN_RATIO = 0.5;

  private static final double MAX_RATIO = 1.5;
  /** The maximum rate is the rate offered in the window plus a tenth; the minimum rate is this part of it. */
  private static final double RATE_HEADROOM = 1.1;

  private static final double MIN_RATE_PART = 0.02;
  /** Thresholds of excess work without worth, as a part of the others: it is shed before others suffer. */
  private static final double EXCESS_PART = 0.2;
  /** With fewer samples a key uses the window of its endpoint (class, tenant, inside or over quota), that one
   * its quota group's, this many lengths back. Otherwise each window would admit all its first requests. */
  private static final int MIN_SAMPLES = 10;

  private static final int MAX_WINDOWS_BACK = 5;
  /** Windows to average usual in-flight load over (overload builds up faster); EWMA step of other means. */
  private static final double EWMA_WINDOWS = 2;

  private static final double EWMA_STEP = 0.005;
  /** Bounded load: an upstream may hold half more than the mean of in-flight requests. */
  private static final double LOAD_SLACK = 0.5;
  /** Bounded load also counts in-flight time over this period: with hundreds of balancers and hardly one
   * request in flight at each, no bound applies, and all would overload the same keys' upstreams. */
  private static final long HISTORY_NANOS = 10 * SECOND_NANOS;

  private static final double HISTORY_SLACK = 1;
  /** Mean in-flight requests per upstream below which the view is sparse, and in-flight time counts too. */
  private static final double MIN_SPARSE = 0.12;
  /** With many balancers the threshold is higher, by this much per balancer up to a maximum: each may have
   * one request at an upstream whatever the bound is, and all would send it to the same keys' upstreams. */
  private static final double SPARSE_PER_INSTANCE = 0.05;

  private static final double MAX_SPARSE = 1;
  /** A failed or FULL attempt counts as this many aims: loaded upstreams recover, failing ones look busy. */
  private static final double FAILURE_AIMS = 4;
  /** A key may use this many upstreams, plus the factor times its share of the ready ones. */
  private static final int MIN_KEY_UPSTREAMS = 2;

  private static final double KEY_FACTOR = 2;
  /** Capacity: in-flight requests at which the mean latency would be this part of the aim (Little's law); at
   * least the minimum, or no upstream could show that it is idle. */
  private static final double CAPACITY_PART = 0.36;

  private static final int MIN_CAPACITY = 2;
  /** Clock ticks from which time in this balancer, outside the attempt's latency, counts as overhead. */
  private static final int MIN_OVERHEAD_TICKS = 3;
  /** A request without an upstream is held for this part of its aim and then refused early. */
  private static final double HOLD_AIMS = 0.3;

  /** Limits on unsuccessful tries of held requests per outcome and per sweep: without them, a balancer would
   * have no time left for answers while no upstream has capacity. */
  private static final int OUTCOME_TRIES = 4;

  private static final int SWEEP_TRIES = 64;
  /** Hedge tokens earned per admitted request and per winning copy; the maximum. Losing ones use them up. */
  private static final double HEDGE_PER_REQUEST = 0.01;

  private static final double HEDGE_PER_WIN = 1.3;
  private static final double MAX_HEDGE_TOKENS = 20;
  /** Retry tokens earned per admitted request: failures may add a fifth to the load. */
  private static final double RETRY_PER_REQUEST = 0.2;
  /** A hinted request counts as at most this many mean requests, and at least the inverse. */
  private static final double MAX_HINT_RATIO = 4;
  /** Ring points of an upstream of median weight: some 15 % off an even spread; the load bound matters more.
   * A weight counts as at most this many times the median, and at least the inverse. */
  private static final int RING_POINTS = 50;

  private static final double MAX_WEIGHT = 4;
  /** Sweep period while requests are held: far shorter than any aim, far longer than a clock tick. While
   * attempts are in flight, it is a part of the shortest aim: a timer costs as much as a request. */
  private static final long SWEEP_NANOS = 10 * MILLI_NANOS;

  private static final int SWEEPS_PER_AIM = 8;
  /** With more than this part of the ready upstreams ejected or silent, both are ignored. */
  private static final double PANIC_FRACTION = 0.5;
  /** Part of the cold budget's window that may be sent at once; sends per second that a cold upstream may
   * always get from all balancers. */
  private static final double COLD_BURST_FRACTION = 0.25;

  private static final double MIN_COLD_RATE = 2;
  /** With fewer sends in the budget's window, a balancer uses the cold lottery instead of saving up a cold
   * upstream's budget; the lottery selects none that is over its budget by more than the maximum debt. */
  private static final double COLD_LOTTERY_SENDS = 1;

  private static final double MAX_COLD_DEBT = 1;
  /** How long the usual send rate is remembered: longer than most outages. */
  private static final long SEND_DECAY_NANOS = 30 * SECOND_NANOS;
  /** Below this part of the usually ready upstreams, the usual send rate stops rising as upstreams depart. */
  private static final double MIN_READY_PART = 0.5;

  private Settings settings;
  private final SplittableRandom random;
  private final long window;
  private long shortestAim;
  private final Map<String, RequestClass> classes = new HashMap<>();
  private final Map<String, RequestClass> previousClasses = new HashMap<>();
  private final TenantQuotas quotas = new TenantQuotas();
  private final SuspicionRecord suspicions = new SuspicionRecord();
  private final Map<Long, Upstream> upstreams = new LinkedHashMap<>();
  private final Map<String, PendingRequest> open = new LinkedHashMap<>();
  /** Requests without an attempt in flight, by decreasing worth, then by age. */
  private final TreeSet<PendingRequest> held =
      new TreeSet<>(Comparator.<PendingRequest>comparingDouble(r -> -requestWorth(r))
          .thenComparingLong(r -> r.arrived)
          .thenComparing(r -> r.request.id()));

  private final WindowCache windows;
  private final Window fleet;
  private final Window withinQuota;
  private final Window overQuota;
  private final Window inFlightTime = new Window(HISTORY_NANOS, 0);
  private double meanLatency;
  private double localFraction;
  private double usualInFlight = 1;
  private double usualSendRate;
  private double usualReady;
  private Ring ring = new Ring(List.of(), u -> 0);
  private int ready;
  private double readyLoad;
  private double meanHint;
  private double weightUnit;
  private long walks;
  /** In this event: no upstream has capacity for any request, and whether that was checked. */
  private boolean allAtCapacity;

  private boolean capacityChecked;
  /** In this event: whether a warm upstream is ready; null until checked. */
  private Boolean anyWarm;

  private double retryTokens = 1;
  private double hedgeTokens = MAX_HEDGE_TOKENS;
  private long sweepAt = Long.MAX_VALUE;
  private long lastSweepAt;
  private boolean panic;
  private final ListBackoff listBackoff = new ListBackoff();
  private long listRetryAt = Long.MAX_VALUE;
  private long now;
  private Consumer<Action> out;

  /** Creates the module of one balancer; the seed is its only own of randomness. */
  public AdaptiveBalancer(Settings settings, long seed) {
    random = new SplittableRandom(seed);
    applySettings(settings);
    long longest =
        settings.classes().stream().mapToLong(RequestClass::aimNanos).max().getAsLong();
    window = Math.max(SECOND_NANOS, (long) (WINDOW_AIMS * longest));
    windows = new WindowCache(window);
    fleet = new Window(window, MAX_WINDOWS_BACK, 0);
    withinQuota = new Window(window, MAX_WINDOWS_BACK, 0);
    overQuota = new Window(window, MAX_WINDOWS_BACK, 0);
    meanLatency = shortestAim / 2.0;
  }

  @Override
  public void handle(long nowNanos, Event event, Consumer<Action> actions) {
    now = nowNanos;
    out = actions;
    allAtCapacity = false;
    capacityChecked = false;
    anyWarm = null;
    if (event instanceof Request e) {
      onRequest(e);
    } else if (event instanceof Outcome e) {
      onOutcome(e);
    } else if (event instanceof TimerFired && now >= sweepAt - MILLI_NANOS) {
      // Timers may be coarser than the clock: one that fires slightly early must not end sweeping.
      sweepAt = Long.MAX_VALUE;
      onSweep();
    } else if (event instanceof ListUpdate e) {
      onList(e);
    } else if (event instanceof ClientDisconnected e
        && open.containsKey(e.id())
        && !open.get(e.id()).ended) {
      endRequest(open.get(e.id()));
    } else if (event instanceof AnswerStarted e && open.get(e.id()) != null) {
      onAnswerStarted(open.get(e.id()), e.attempt());
    } else if (event instanceof AnswerArriving e && open.get(e.id()) != null) {
      onAnswerArriving(open.get(e.id()), e);
    } else if (event instanceof AnswerStalled e && open.get(e.id()) != null) {
      onAnswerStalled(open.get(e.id()), e.attempt());
    } else if (event instanceof RequestBodyReceived e && open.get(e.id()) != null) {
      onBodyReceived(open.get(e.id()), e.deadlineNanos());
    } else if (event instanceof SettingsChanged e) {
      applySettings(e.settings());
    } else if (event instanceof QuotaAllocation e) {
      quotas.allocate(e.perSecond());
    }
  }

  /** Applies new settings. The window keeps its length: it stores latencies as ratios of each class's aim. */
  private void applySettings(Settings next) {
    settings = next;
    previousClasses.clear();
    previousClasses.putAll(classes);
    classes.clear();
    quotas.reset(next);
    next.classes().forEach(c -> classes.put(c.name(), c));
    shortestAim =
        next.classes().stream().mapToLong(RequestClass::aimNanos).min().getAsLong();
  }

  private int maxAttempts(PendingRequest r) {
    return Math.min(r.maxAttempts, settings.limits().maxAttempts());
  }

  private void scheduleSweep(long at) {
    if (at < sweepAt) {
      sweepAt = at;
      out.accept(new SetTimer("sweep", at));
    }
  }

  /** Schedules the next check of a request in flight: for silence, and in time for its deadline. */
  private void scheduleCheck(PendingRequest r) {
    long end = r.finalDeadline() + settings.contract().answerSlackNanos() / 2;
    scheduleSweep(Math.max(
        now + MILLI_NANOS,
        Math.min(end, now + Math.max(SWEEP_NANOS, shortestAim / SWEEPS_PER_AIM))));
  }

  // Admission: linear throttling by latency

  private void onRequest(Request request) {
    RequestClass type =
        (request.usesPreviousSettings() ? previousClasses : classes).get(request.className());
    if (type == null) {
      out.accept(new Log("refused a request of unknown class " + request.className()));
      boolean harmless = request.priorAttempts().isEmpty();
      out.accept(harmless ? new Refuse(request.id(), retryAfter()) : new Fail(request.id()));
      return;
    }
    boolean excess = quotas.takeToken(request.tenant(), now);
    String endpoint = request.className() + ' ' + request.tenant() + (excess ? " over" : "");
    PendingRequest r = new PendingRequest(
        request,
        type,
        now,
        excess,
        excess ? overQuota : withinQuota,
        windows.of(endpoint, now),
        windows.of(endpoint + ' ' + request.key(), now),
        hintedLoad(request.workHintNanos()),
        settings.limits().maxAttempts());
    if (open.size() >= settings.limits().maxOpen() || !admit(r)) {
      finish(r);
      return;
    }
    open.put(request.id(), r);
    // Grows with traffic: a fixed maximum at hundreds of balancers would allow an overload.
    double saved = Math.max(1, RETRY_PER_REQUEST * fleet.total(now, Metric.OFFERED));
    retryTokens = Math.min(saved, retryTokens + RETRY_PER_REQUEST);
    hedgeTokens = Math.min(MAX_HEDGE_TOKENS, hedgeTokens + HEDGE_PER_REQUEST);
    advance(r);
  }

  int windowsKept() {
    return windows.size();
  }

  /** Admits up to the allowed rate. The worse of the key's and the overall mean counts: a fleet-wide overload
   * belongs to no single key. Work over a quota has less worth and lower thresholds, so it is shed first. */
  private boolean admit(PendingRequest r) {
    count(r, Metric.OFFERED, 1);
    Window own = r.key.total(now, Metric.SAMPLES) >= MIN_SAMPLES
        ? r.key
        : !isSparse() || r.endpoint.total(now, Metric.SAMPLES) >= MIN_SAMPLES
            ? r.endpoint
            : r.quotaGroup;
    double mean = Math.max(own.mean(now, MIN_SAMPLES), fleet.mean(now, MIN_SAMPLES));
    double maxRate = own.totalOfSamples(now, Metric.OFFERED, MIN_SAMPLES) * RATE_HEADROOM;
    double scale = r.excess ? EXCESS_PART + (1 - EXCESS_PART) * settings.overShareWorth() : 1;
    double allowed = LinearThrottle.allowedRate(
        mean, MIN_RATIO * scale, MAX_RATIO * scale, maxRate, maxRate * MIN_RATE_PART);
    // Work inside a quota passes while no more is in flight than usual: other work is the cause.
    boolean idle = quotas.counts(r.request.tenant()) && readyLoad < usualInFlight * ready;
    if (own.totalOfSamples(now, Metric.ADMITTED, MIN_SAMPLES) >= allowed && (r.excess || !idle)) {
      return false;
    }
    count(r, Metric.ADMITTED, 1);
    return true;
  }

  private void count(PendingRequest r, Metric metric, double amount) {
    r.key.add(now, metric, amount);
    r.endpoint.add(now, metric, amount);
    r.quotaGroup.add(now, metric, amount);
    fleet.add(now, metric, amount);
  }

  private double requestWorth(PendingRequest r) {
    return r.type.worth() * (r.excess ? settings.overShareWorth() : 1);
  }

  /** Returns the hinted load in mean requests: counted as one each, heavy ones would overload. */
  private double hintedLoad(long hint) {
    meanHint += hint <= 0 ? 0 : (hint - meanHint) * (meanHint == 0 ? 1 : EWMA_STEP);
    return hint <= 0 ? 1 : Math.min(MAX_HINT_RATIO, Math.max(1 / MAX_HINT_RATIO, hint / meanHint));
  }

  private long retryAfter() {
    return settings.limits().retryAfter()
        ? random.nextLong(settings.limits().maxRetryAfterNanos() + 1)
        : 0;
  }

  // Placement: bounded-load hashing on a ring of ready upstreams

  private void rebuildRing() {
    List<Upstream> members = upstreams.values().stream()
        .filter(u -> u.listed.state() == State.READY)
        .sorted(Comparator.comparingLong(u -> u.id))
        .toList();
    ready = members.size();
    readyLoad = members.stream().mapToDouble(u -> u.load).sum();
    // Local upstreams get at most their zone's share of traffic, which protects a zone's last few.
    long localCount = members.stream().filter(this::isLocal).count();
    long zones = members.stream().map(u -> u.listed.zone()).distinct().count();
    localFraction = Math.min(1.0 / Math.max(1, localCount), (double) zones / Math.max(1, ready));
    if (weightUnit == 0 && ready > 0) {
      // Fixed for the instance's life: a list change moves only the changed upstream's keys.
      weightUnit =
          members.stream().mapToDouble(u -> u.listed.weight()).sorted().toArray()[ready / 2];
    }
    boolean sized =
        settings.weightKind() == WeightKind.NOMINAL || settings.weightKind() == WeightKind.ROUGH;
    ring = new Ring(
        members,
        u -> Math.round(RING_POINTS
            * (!sized || weightUnit <= 0
                ? 1
                : Math.min(MAX_WEIGHT, Math.max(1 / MAX_WEIGHT, u.listed.weight() / weightUnit)))));
  }

  /** Returns the first suitable upstream from the key's position on the ring, own zone first, or null. */
  private Upstream place(PendingRequest r) {
    Upstream drawn = ready == 0 ? null : drawColdUpstream(r);
    if (drawn != null || allAtCapacity) {
      return drawn;
    }
    int start = ring.positionOf(r.request.key() == null ? "" + random.nextLong() : r.request.key());
    double totalHistory = inFlightTime.total(now, Metric.SUM) / meanLatency + 1;
    double maxLocal = Math.ceil((1 + HISTORY_SLACK) * totalHistory * localFraction);
    double maxRemote = Math.ceil((1 + HISTORY_SLACK) * totalHistory / Math.max(1, ready));
    // Limits a key's moves to other upstreams under load: each costs work and adds load.
    double keyShare =
        r.key.total(now, Metric.OFFERED) / Math.max(1, fleet.total(now, Metric.OFFERED));
    double maxTried = isSparse() || !settings.warmKeys()
        ? ready
        : MIN_KEY_UPSTREAMS + Math.ceil(KEY_FACTOR * ready * keyShare);
    Upstream remote = null;
    Upstream loaded = null;
    walks++;
    for (int i = 0, visited = 0, tried = 0; visited < ready && tried < maxTried; i++) {
      Upstream u = ring.owner(start + i);
      boolean again = u.lastWalk == walks;
      u.lastWalk = walks;
      visited += again ? 0 : 1;
      if (!again && maySendTo(r, u) && isUsable(u)) {
        boolean hasCapacity = u.load < loadBound(u);
        double history = u.inFlightTime.total(now, Metric.SUM) / meanLatency + 0.5;
        boolean fits =
            hasCapacity && (!isSparse() || history < (isLocal(u) ? maxLocal : maxRemote));
        if (isLocal(u) && fits) {
          return u;
        }
        tried += isLocal(u) ? 1 : 0;
        remote = remote == null && fits ? u : remote;
        loaded = loaded == null && hasCapacity ? u : loaded;
      }
    }
    Upstream found = remote == null ? loaded : remote;
    if (found == null && !capacityChecked) {
      // Within one event load only grows, so the remaining held requests need no ring walk.
      capacityChecked = true;
      allAtCapacity = upstreams.values().stream()
          .noneMatch(u -> u.listed.state() == State.READY && isUsable(u) && u.load < loadBound(u));
    }
    return found;
  }

  long walks() {
    return walks;
  }

  private boolean isSparse() {
    double sparse =
        Math.min(MAX_SPARSE, Math.max(MIN_SPARSE, SPARSE_PER_INSTANCE * settings.groupSize()));
    return inFlightTime.total(now, Metric.SUM) < sparse * ready * HISTORY_NANOS;
  }

  private boolean isLocal(Upstream u) {
    return settings.prices().crossZone() == 0 || u.listed.zone().equals(settings.zone());
  }

  private boolean isUsable(Upstream u) {
    return isHealthy(u) && (warmth(u) >= 1 || !usesLottery(u) && coldTokens(u) >= 1);
  }

  private boolean isHealthy(Upstream u) {
    return panic || u.ejectedUntil <= now && !u.onProbation && !u.isSilent(now, shortestAim);
  }

  private double loadBound(Upstream u) {
    return Math.min(
        Math.max(1, Math.ceil((1 + LOAD_SLACK) * (readyLoad + 1) / ready)), capacity(u));
  }

  /** Little's law: answers per second times the intended latency plus the overhead in this balancer.
   * Prevents queues longer than the aim. No limit before enough answers, or a restarted balancer would
   * starve itself; overhead is included, or a slow balancer would too. */
  private double capacity(Upstream u) {
    if (u.firstServed == 0
        || now - u.firstServed < window / 4 && u.window.total(now, Metric.SAMPLES) < MIN_SAMPLES) {
      return Double.MAX_VALUE;
    }
    long served = Math.min(window / 2, Math.max(SWEEP_NANOS, now - u.firstServed));
    return Math.max(
        MIN_CAPACITY,
        (CAPACITY_PART * u.window.total(now, Metric.AIMS) * SECOND_NANOS
                + u.window.total(now, Metric.OVERHEAD))
            / served);
  }

  // Retries without repeated effects: where a request may still be sent

  private boolean maySendTo(PendingRequest r, Upstream u) {
    if (!r.priorAttemptsAllow(u.listed, now + settings.tickNanos())) {
      return false;
    }
    for (Attempt a : r.attempts) {
      if (a.upstream == u && (a.inFlight || ready > r.attempts.size())) {
        return false;
      }
      if (a.mayHaveRun && r.type.effect() != Effect.SAFE) {
        // One tick of margin, for a balancer that sends slightly after the event.
        if (r.type.effect() == Effect.UNSAFE
            || !r.type.dedupScope().covers(a.upstream.listed, u.listed)
            || now - a.sentAt >= r.type.dedupWindowNanos() - settings.tickNanos()) {
          return false;
        }
      }
    }
    return true;
  }

  private boolean mayRefuse(PendingRequest r) {
    return r.type.effect() == Effect.SAFE
        || !r.mayHaveRun()
        || r.type.effect() == Effect.KEYED && r.type.dedupScope() == DedupScope.ALL;
  }

  // Cold upstreams

  /** Returns the capacity fraction of an upstream: it grows linearly from cold-from to 1 as it warms up. */
  private double warmth(Upstream u) {
    double part =
        Math.max(0, now - u.started) / (double) Math.max(1, settings.contract().warmWithinNanos());
    return u.started <= 0 || part >= 1 ? 1 : settings.contract().coldFrom() * (1 - part) + part;
  }

  /** Returns the sends left to a cold upstream: its warmth times a warm one's usual rate. The minimum rate
   * prevents a deadlock if the whole fleet is cold and waits for traffic; it is 0 while any upstream is warm,
   * since balancers that do not know how many they are would each send all of it. */
  private double coldTokens(Upstream u) {
    double minRate = anyWarm() ? 0 : MIN_COLD_RATE / settings.groupSize();
    double rate = Math.max(minRate, warmth(u) * usualSendRate);
    double seconds = COLD_BURST_FRACTION * settings.contract().fallWindowNanos() / SECOND_NANOS;
    return u.coldBudget.fill(now, rate, Math.max(1, rate * seconds));
  }

  private boolean anyWarm() {
    if (anyWarm == null) {
      anyWarm = upstreams.values().stream()
          .anyMatch(u -> u.listed.state() == State.READY && warmth(u) >= 1);
    }
    return anyWarm;
  }

  /** With hardly a request per upstream, a balancer would save up a cold one's budget until it is warm, and
   * if all did so it would stay idle. Instead each request draws one upstream by its id, not its key (a
   * hot key's upstream would get too much); a cold one gets its warmth's part. The draw of an id is fixed. */
  private Upstream drawColdUpstream(PendingRequest r) {
    Upstream u = ring.owner(ring.positionOf(r.request.id()));
    double part = warmth(u) * ready / Math.max(ready, usualReady * MIN_READY_PART);
    return usesLottery(u)
            && coldTokens(u) > -MAX_COLD_DEBT
            && Ring.drawOf(r.request.id()) < part
            && maySendTo(r, u)
            && isHealthy(u)
            && u.load < loadBound(u)
        ? u
        : null;
  }

  private boolean usesLottery(Upstream u) {
    double warmth = warmth(u);
    return warmth < 1
        && warmth * usualSendRate * settings.contract().fallWindowNanos() / SECOND_NANOS
            < COLD_LOTTERY_SENDS;
  }

  // Attempts and outcomes

  /** Sends a request without an attempt in flight, or ends or holds it; true if it was sent or ended. */
  private boolean advance(PendingRequest r) {
    boolean first = r.attempts.isEmpty();
    boolean noMoreAttempts = r.attempts.size() >= maxAttempts(r)
        || !first && (retryTokens < 1 || r.bodyConsumed)
        || r.mayNotBeSentAgain(now + settings.tickNanos())
        || now >= r.deadline - 2 * SWEEP_NANOS;
    Upstream u = noMoreAttempts ? null : place(r);
    if (u != null) {
      retryTokens -= first ? 0 : 1;
      held.remove(r);
      send(r, u);
    } else if (noMoreAttempts || first && now >= heldUntil(r) || !first && ready == 0) {
      finish(r);
    } else {
      held.add(r);
      scheduleSweep(now + SWEEP_NANOS);
      return false;
    }
    return true;
  }

  private static double heldUntil(PendingRequest r) {
    return r.arrived + HOLD_AIMS * r.type.aimNanos();
  }

  private void send(PendingRequest r, Upstream u) {
    Attempt a = new Attempt(u, now);
    r.attempts.add(a);
    r.inFlight++;
    u.onProbation = u.ejections > 0;
    u.coldBudget.tokens -= warmth(u) < 1 ? 1 : 0;
    if (!r.bodyPending) {
      startWork(r, a);
    }
    out.accept(new Send(r.request.id(), u.id, r.deadline - now));
    scheduleCheck(r);
  }

  /** Marks an attempt as started: the upstream may work on it from now on. */
  private void startWork(PendingRequest r, Attempt a) {
    Upstream u = a.upstream;
    a.started = true;
    a.counted = true;
    a.mayHaveRun = true;
    a.sentAt = now;
    a.charged = meanLatency * r.load;
    u.inFlightTime.add(now, Metric.SUM, a.charged);
    inFlightTime.add(now, Metric.SUM, a.charged);
    u.lastAnswerAt = u.inFlight == 0 ? now : u.lastAnswerAt;
    u.inFlight++;
    u.load += r.load;
    readyLoad += u.listed.state() == State.READY ? r.load : 0;
  }

  /** The body of a request admitted at its headers is complete: latencies and its deadline count from now. */
  private void onBodyReceived(PendingRequest r, long deadline) {
    r.bodyPending = false;
    r.arrived = now;
    r.deadline = deadline;
    r.attempts.stream().filter(a -> a.inFlight).forEach(a -> startWork(r, a));
    if (r.inFlight > 0 && !r.ended) {
      scheduleCheck(r);
    }
  }

  /** An answer has started to reach the client: cancels all other attempts. */
  private void onAnswerStarted(PendingRequest r, int attempt) {
    r.streaming = true;
    for (int i = 0; i < r.attempts.size() && settings.limits().cancel(); i++) {
      if (i != attempt && r.attempts.get(i).inFlight) {
        out.accept(new Cancel(r.request.id(), i));
      }
    }
  }

  private void onAnswerArriving(PendingRequest r, AnswerArriving e) {
    r.attempts.get(e.attempt()).arriving = true;
    r.answerDeadline = Math.max(r.answerDeadline, e.deadlineNanos());
    scheduleCheck(r);
  }

  /** Counts an answer that may have stopped as a failure and no longer as load, and makes another attempt;
   * one that is being passed on is only no longer load. */
  private void onAnswerStalled(PendingRequest r, int attempt) {
    Attempt a = r.attempts.get(attempt);
    if (r.streaming) {
      releaseLoad(r, a);
    }
    if (!a.inFlight || a.suspected || r.ended || r.streaming) {
      return;
    }
    a.suspected = true;
    releaseLoad(r, a);
    addFailureSample(r, Status.RESET, 0);
    a.upstream.recordFailure(now, random);
    copySuspected(r);
  }

  /** Sends a copy if all answers of the request may have stopped. At most two attempts are out: the older is
   * given up for a third only where such answers have not come lately. */
  private void copySuspected(PendingRequest r) {
    boolean mayCopy = r.onlySuspectedInFlight()
        && (r.inFlight == 1 || suspicions.mostlyStopped())
        && settings.limits().secondCopies()
        && settings.limits().cancel()
        && r.attempts.size() < maxAttempts(r)
        && retryTokens >= 1
        && !r.bodyConsumed
        && !r.mayNotBeSentAgain(now + settings.tickNanos())
        && now < r.deadline - 2 * SWEEP_NANOS;
    Upstream u = mayCopy ? place(r) : null;
    if (u != null) {
      retryTokens--;
      if (r.inFlight > 1) {
        out.accept(new Cancel(r.request.id(), r.firstInFlight()));
      }
      send(r, u);
    }
  }

  /** Sends a copy if the upstream is silent, unless latencies exceed the threshold: copies add load. */
  private void hedge(PendingRequest r) {
    boolean mayCopy = r.inFlight == 1
        && !r.request.bodyPending()
        && settings.limits().secondCopies()
        && settings.limits().cancel()
        && r.attempts.size() < maxAttempts(r)
        && hedgeTokens >= 1
        && r.attempts.get(r.attempts.size() - 1).upstream.isSilent(now, shortestAim)
        && now - r.arrived <= r.type.aimNanos()
        && fleet.mean(now, MIN_SAMPLES) <= MIN_RATIO;
    Upstream u = mayCopy ? place(r) : null;
    if (u != null) {
      hedgeTokens--;
      send(r, u);
    }
  }

  private void finish(PendingRequest r) {
    out.accept(mayRefuse(r) ? new Refuse(r.request.id(), retryAfter()) : new Fail(r.request.id()));
    endRequest(r);
  }

  /** Ends a request that has its final answer: cancels its attempts, removes it when none is in flight. */
  private void endRequest(PendingRequest r) {
    r.ended = true;
    held.remove(r);
    if (r.inFlight == 0) {
      open.remove(r.request.id());
    }
    for (int i = 0; i < r.attempts.size() && settings.limits().cancel(); i++) {
      if (r.attempts.get(i).inFlight) {
        out.accept(new Cancel(r.request.id(), i));
      }
    }
  }

  private void onOutcome(Outcome o) {
    PendingRequest r = open.get(o.id());
    if (r == null || o.attempt() >= r.attempts.size() || !r.attempts.get(o.attempt()).inFlight) {
      return;
    }
    Attempt a = r.attempts.get(o.attempt());
    a.inFlight = false;
    a.mayHaveRun &= !o.status().provesNotRun();
    r.bodyConsumed |= o.bodyConsumed();
    r.inFlight--;
    releaseLoad(r, a);
    double minimum =
        o.status() == Status.SERVED || o.staleConnection() ? 0 : FAILURE_AIMS * r.type.aimNanos();
    double correction = Math.max(minimum, a.started ? o.latencyNanos() : 0) - a.charged;
    a.upstream.inFlightTime.add(now, Metric.SUM, correction);
    inFlightTime.add(now, Metric.SUM, correction);
    recordOutcome(r, a, o);
    if (r.ended && r.inFlight == 0) {
      open.remove(o.id());
    } else if (!r.ended && o.finished()) {
      hedgeTokens = Math.min(
          MAX_HEDGE_TOKENS, hedgeTokens + (r.inFlight > 0 && o.attempt() > 0 ? HEDGE_PER_WIN : 0));
      endRequest(r);
    } else if (!r.ended && r.inFlight == 0) {
      advance(r);
    }
    int triesLeft = OUTCOME_TRIES;
    for (var h = held.isEmpty() ? null : held.first();
        h != null && triesLeft > 0;
        h = held.higher(h)) {
      triesLeft -= advance(h) ? 0 : 1;
    }
  }

  /** Stops counting an attempt as work of its upstream; only the first call has an effect. */
  private void releaseLoad(PendingRequest r, Attempt a) {
    if (a.counted) {
      a.counted = false;
      a.upstream.inFlight--;
      a.upstream.load -= a.upstream.inFlight == 0 ? a.upstream.load : r.load;
      a.upstream.lastAnswerAt = now;
      readyLoad -= a.upstream.listed.state() == State.READY ? r.load : 0;
    }
  }

  private void recordOutcome(PendingRequest r, Attempt a, Outcome o) {
    Upstream u = a.upstream;
    u.onProbation = false;
    long overhead = overhead(a, o);
    if (o.status() == Status.SERVED) {
      u.failures = 0;
      u.ejections = 0;
      u.firstServed = u.firstServed == 0 ? now : u.firstServed;
      u.window.add(now, Metric.AIMS, r.load * r.type.aimNanos() / SECOND_NANOS);
      u.window.add(now, Metric.SAMPLES, 1);
      u.window.add(now, Metric.SUM, r.load * o.latencyNanos());
      u.window.add(now, Metric.OVERHEAD, r.load * overhead);
      if (a.suspected) {
        // It was slow and has not stopped; its failure was counted.
        suspicions.answerCame();
        u.ejectedUntil = Math.min(u.ejectedUntil, now);
      } else {
        addSample(r, (double) (now - r.arrived - overhead) / r.type.aimNanos());
      }
      meanLatency += (o.latencyNanos() - meanLatency) * EWMA_STEP;
    } else if (o.staleConnection()) {
      // Says nothing of the upstream: kept connections break several at a time, three would eject a
      // healthy one. If it crashed, the next connects are refused, which counts.
      addSample(r, (double) (now - r.arrived - overhead) / r.type.aimNanos());
    } else if (a.suspected && o.status() != Status.CANCELLED) {
      suspicions.answerStopped();
    } else if (o.status() != Status.CANCELLED
        && o.status() != Status.NOT_SENT
        && o.status() != Status.FULL) {
      if (!r.bodyPending) {
        // With the body still arriving, the elapsed time is the client's and says nothing of load.
        addFailureSample(r, o.status(), r.streaming ? overhead : 0);
      }
      u.recordFailure(now, random);
    }
  }

  /** Adds a sample of a failure; {@code overhead} is the time that is not its upstream's latency. */
  private void addFailureSample(PendingRequest r, Status status, long overhead) {
    if (status == Status.RESET || status == Status.ERROR) {
      // Its latency, but at least one aim, for errors the critical ratio. More would count broken
      // connections, corrupt answers or one upstream's errors as load.
      double minimum = status == Status.RESET ? 1 : MAX_RATIO;
      addSample(r, Math.max(minimum, (double) (now - r.arrived - overhead) / r.type.aimNanos()));
    } else if (status != Status.CONNECT_FAILED) {
      // A time-out counts as its class's deadline.
      addSample(r, (double) r.type.deadlineNanos() / r.type.aimNanos());
    }
  }

  /** Returns an attempt's time in this balancer outside its latency, in which no upstream worked: neither
   * thresholds nor capacity may include it. A few ticks are clock rounding. */
  private long overhead(Attempt a, Outcome o) {
    long rest = now - a.sentAt - o.latencyNanos();
    return rest <= MIN_OVERHEAD_TICKS * settings.tickNanos() ? 0 : rest;
  }

  private void addSample(PendingRequest r, double part) {
    count(r, Metric.SAMPLES, 1);
    count(r, Metric.SUM, part);
  }

  private void onSweep() {
    double elapsed = Math.min(SECOND_NANOS, now - lastSweepAt);
    lastSweepAt = now;
    if (fleet.mean(now, MIN_SAMPLES) <= MIN_RATIO) {
      usualInFlight +=
          (readyLoad / Math.max(1, ready) - usualInFlight) * elapsed / (EWMA_WINDOWS * window);
    }
    // Divides by at least half of those recently ready: a release removes a part of them, but the
    // rate of many does not show what the last one can handle.
    usualReady = Math.max(ready, usualReady * (1 - elapsed / SEND_DECAY_NANOS));
    double divisor = Math.max(1, Math.max(ready, usualReady * MIN_READY_PART));
    usualSendRate = Math.max(
        usualSendRate * (1 - elapsed / SEND_DECAY_NANOS),
        fleet.total(now, Metric.ADMITTED) * SECOND_NANOS / window / divisor);
    long unhealthy = upstreams.values().stream()
        .filter(u -> u.listed.state() == State.READY
            && (u.ejectedUntil > now || u.isSilent(now, shortestAim)))
        .count();
    panic = unhealthy > PANIC_FRACTION * ready;
    for (PendingRequest r : List.copyOf(open.values())) {
      if (r.inFlight > 0 && !r.ended && !r.streaming) {
        if (now >= r.finalDeadline() + settings.contract().answerSlackNanos() / 2) {
          finish(r);
        } else {
          hedge(r);
          copySuspected(r);
          scheduleCheck(r);
        }
      }
    }
    int triesLeft = SWEEP_TRIES;
    for (PendingRequest r : List.copyOf(held)) {
      if (triesLeft > 0 || now >= Math.min(r.deadline - 2 * SWEEP_NANOS, heldUntil(r))) {
        triesLeft -= advance(r) ? 0 : 1;
      }
    }
    if (now >= listRetryAt) {
      listRetryAt = Long.MAX_VALUE;
      out.accept(new Watch(true));
    }
    scheduleSweep(listRetryAt);
  }

  // List updates

  private void onList(ListUpdate update) {
    if (update.kind() == ListKind.FAILED) {
      listRetryAt = now + listBackoff.failed(random);
      scheduleSweep(listRetryAt);
      return;
    }
    if (update.kind() != ListKind.CACHED) {
      listBackoff.succeeded();
    } else if (settings.listOnRequest()) {
      out.accept(new Watch(true));
    }
    Map<Long, ListedUpstream> entries = new LinkedHashMap<>();
    update.entries().forEach(e -> entries.put(e.upstream(), e));
    if (update.kind() != ListKind.DELTA) {
      // An upstream missing from a complete list has departed.
      upstreams.forEach((id, u) -> entries.putIfAbsent(
          id,
          new ListedUpstream(
              id, u.listed.zone(), u.listed.cell(), State.GONE, u.started, u.listed.weight())));
    }
    for (ListedUpstream e : entries.values()) {
      Upstream u = upstreams.computeIfAbsent(
          e.upstream(),
          id -> new Upstream(id, new Window(window / 2, now), new Window(HISTORY_NANOS, now)));
      if (e.startedNanos() > u.started) {
        u.started = e.startedNanos();
        u.failures = 0;
        u.ejections = 0;
        u.ejectedUntil = 0;
        // Random: all balancers learn of it at once and would send their first request at once.
        u.coldBudget.tokens = -random.nextDouble();
        u.coldBudget.filledAt = now;
      }
      u.listed = e;
    }
    rebuildRing();
    upstreams.values().removeIf(u -> u.listed.state() == State.GONE && u.inFlight == 0);
  }
}
