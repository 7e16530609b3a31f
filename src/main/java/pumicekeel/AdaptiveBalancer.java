package pumicekeel;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.function.Consumer;
import pumicekeel.Window.Metric;

/**
 * Every decision of a balancer; its interface is in Balancer.java. Ordinary path: {@link #admit} refuses what
 * exceeds the key's allowed rate, {@link #place} picks an upstream by bounded load, {@link #send} starts the
 * attempt, {@link #learn} takes its latency.
 */
public final class AdaptiveBalancer implements Balancer {

  private static final long MS = 1_000_000L;
  private static final long SECOND = 1000 * MS;
  /** The window in longest aims, a second at least: long enough for a mean, short enough to see it change. */
  private static final double WINDOW_AIMS = 2;
  /** The line, in parts of the class's aim: half an aim is healthy, one and a half critical. */
  private static final double MIN_VALUE = 0.5;

  private static final double MAX_VALUE = 1.5;
  /** maxRate is what the key was offered in the window and a tenth more; minRate this part of it. */
  private static final double HEADROOM = 1.1;

  private static final double MIN_PART = 0.02;
  /** The line of worthless excess lies at this part of the latencies: gone before in-share work suffers. */
  private static final double EXCESS_EARLY = 0.2;
  /** A key with fewer samples goes by its endpoint (class, tenant, inside or over the quota), that one by all
   * work inside or over quotas, so many windows back: few samples would let every window's first one pass. */
  private static final int ENOUGH = 10;

  private static final int REACH = 5;
  /** Requests that a tenant's bucket holds at least: chance alone would call a small share's work excess. */
  private static final double QUOTA_LEAST = 3;
  /** Keys kept; the one idle longest goes first. */
  private static final int MAX_KEYS = 20_000;
  /** Windows that teach the usual in-flight (a crowd forms faster); step of usual latency and hint. */
  private static final double USUAL_WINDOWS = 2;

  private static final double USUAL_STEP = 0.005;
  /** Bounded load: an upstream may hold half more than the mean of in-flight requests. */
  private static final double SLACK = 0.5;
  /** Bounded load also counts in-flight time over this long: hundreds of balancers with hardly one request
   * out each are bound by nothing, and all would crowd the same keys' upstreams. */
  private static final long HISTORY = 10 * SECOND;

  private static final double HISTORY_SLACK = 1;
  /** Mean of in-flight requests an upstream under which the view is sparse and history counts. A failed or
   * full attempt counts this many aims: a crowded upstream rests, a failing one does not look idle. */
  private static final double SPARSE = 0.12;
  /** With many balancers the view is sparse sooner: each may have one request at an upstream whatever the
   * bound says, and all would have it at the same keys' ones. So much for each balancer, and the most. */
  private static final double SPARSE_EACH = 0.05;

  private static final double SPARSE_MOST = 1;
  private static final double FAILED_AIMS = 4;
  /** A key goes to this many upstreams, and to this many times its share of all as well. */
  private static final int KEY_SPREAD = 2;

  private static final double KEY_PARTS = 2;
  /** Room: in-flight requests at which the mean latency would be this part of the aim (Little's law); never
   * below the least, or no upstream could show that it is idle. */
  private static final double ROOM_PART = 0.36;

  private static final int ROOM_LEAST = 2;
  /** Time out of a balancer's hands that is not the attempt's latency counts from so many ticks on. */
  private static final int OURS_TICKS = 3;
  /** A request without an upstream is held for this part of its aim, then refused: still early. And held ones
   * tried in vain after an outcome and in a sweep: bounds the work where nothing has room, or a balancer that
   * is asked too much has no time for its answers either. */
  private static final double HOLD_PART = 0.3;

  private static final int HELD_TRIES = 4;
  private static final int SWEEP_TRIES = 64;
  /** Silent: no answer for this many usual gaps between its answers and this part of the shortest aim. */
  private static final double SILENT_GAPS = 8;

  private static final double SILENT_PART = 0.3;
  /** And so many times what attempts at it usually spend in this balancer: pauses are seldom even. */
  private static final double SILENT_OWN = 2;
  /** Second copies earned by an admission and by a copy that wins, and the most saved: losing ones stop. */
  private static final double HEDGE_SHARE = 0.01;

  private static final double HEDGE_WIN = 1.3;
  private static final double HEDGE_MOST = 20;
  /** Retries earned by a request admitted: failures may add a fifth to the load. */
  private static final double RETRY_SHARE = 0.2;
  /** A hinted request counts for this many mean ones at most, and no less than its inverse. */
  private static final double HINT_MOST = 4;
  /** Ring points of an upstream of ordinary weight: within some 15% of an even spread, the bound does more.
   * A weight counts for this many times the median at most, and no less than its inverse. */
  private static final int POINTS = 50;

  private static final double WEIGHT_MOST = 4;
  /** Period of the sweep while requests are held: short against any aim, long against a tick. And while
   * attempts are out, in parts of the shortest aim: a timer costs as much as a request. */
  private static final long SWEEP = 10 * MS;

  private static final int SWEEPS_PER_AIM = 8;
  /** Failures in a row that eject an upstream, the first and the longest ejection. With more than this share
   * of the ready upstreams ejected or silent, both are ignored (panic threshold). */
  private static final int EJECT_AFTER = 3;

  private static final long EJECT_FIRST = SECOND / 2;
  private static final long EJECT_MOST = 8 * SECOND;
  private static final double PANIC_SHARE = 0.5;
  /** Back-off of calls for the list. */
  private static final long ASK_FIRST = SECOND / 2;

  private static final long ASK_MOST = 2 * SECOND;
  /** Share of the cold budget's window that may be sent at once; sends a second that a cold upstream may
   * always get from all balancers together; how long usual sends are kept: longer than most outages. */
  private static final double COLD_BURST = 0.25;

  private static final double COLD_TRICKLE = 2;
  /** Under so many sends in the budget's window a balancer draws lots for a cold upstream instead of saving
   * up; and none for one that has had so many more than its part. */
  private static final double COLD_THIN = 1;

  private static final double COLD_DEBT = 1;
  private static final long SENDS_KEPT = 30 * SECOND;
  /** With less than this part of the usual ready ones left, usual sends no longer grow by what is left. */
  private static final double LEAST_READY = 0.5;

  private Settings settings;
  private final SplittableRandom random;
  private final long window;
  private long shortestAim;
  private final Map<String, RequestClass> classes = new HashMap<>();
  private final Map<String, RequestClass> formerClasses = new HashMap<>();
  private final Map<String, Double> quotas = new HashMap<>();
  private final Map<String, TokenBucket> quotaTokens = new HashMap<>();
  private final Map<Long, Upstream> upstreams = new LinkedHashMap<>();
  private final Map<String, PendingRequest> open = new LinkedHashMap<>();
  /** Requests without an attempt out, the most valuable first, then the oldest. */
  private final TreeSet<PendingRequest> held =
      new TreeSet<>(Comparator.<PendingRequest>comparingDouble(r -> -value(r))
          .thenComparingLong(r -> r.arrived)
          .thenComparing(r -> r.request.id()));

  private final Map<String, Window> windows = new LinkedHashMap<>(64, 0.75f, true);
  private final Window fleet;
  private final Window within;
  private final Window over;
  private final Window busy = new Window(HISTORY, 0);
  private double usualLatency;
  private double nearPart;
  private double usualInFlight = 1;
  private double usualSends;
  private double usualReady;
  private Ring ring = new Ring(List.of(), u -> 0);
  private int ready;
  private double readyLoad;
  private double usualHint;
  private double weightUnit;
  private long visits;
  /** In this event: no upstream has room for anything, and whether that was asked. */
  private boolean full;

  private boolean looked;
  /** In this event: whether a warm upstream is ready; null while that was not asked. */
  private Boolean someWarm;

  private double retryTokens = 1;
  private double hedgeTokens = HEDGE_MOST;
  private long sweepAt = Long.MAX_VALUE;
  private long sweptAt;
  private boolean panic;
  private int askFailures;
  private long askAt = Long.MAX_VALUE;
  private long now;
  private Consumer<Action> out;

  /** Makes the decisions of one balancer; the seed is its only source of randomness. */
  public AdaptiveBalancer(Settings settings, long seed) {
    random = new SplittableRandom(seed);
    tune(settings);
    long longest =
        settings.classes().stream().mapToLong(RequestClass::aimNanos).max().getAsLong();
    window = Math.max(SECOND, (long) (WINDOW_AIMS * longest));
    fleet = new Window(window, REACH, 0);
    within = new Window(window, REACH, 0);
    over = new Window(window, REACH, 0);
    usualLatency = shortestAim / 2.0;
  }

  @Override
  public void handle(long nowNanos, Event event, Consumer<Action> actions) {
    now = nowNanos;
    out = actions;
    full = false;
    looked = false;
    someWarm = null;
    if (event instanceof Request e) {
      onRequest(e);
    } else if (event instanceof Outcome e) {
      onOutcome(e);
    } else if (event instanceof TimerFired && now >= sweepAt - MS) {
      // A balancer's timers may be coarser than the clock; one fired a little early must not end
      // the sweeps.
      sweepAt = Long.MAX_VALUE;
      onSweep();
    } else if (event instanceof ListUpdate e) {
      onList(e);
    } else if (event instanceof ClientDisconnected e
        && open.containsKey(e.id())
        && !open.get(e.id()).ended) {
      release(open.get(e.id()));
    } else if (event instanceof AnswerStarted e && open.get(e.id()) != null) {
      started(open.get(e.id()), e.attempt());
    } else if (event instanceof RequestBodyReceived e && open.get(e.id()) != null) {
      came(open.get(e.id()), e.deadlineNanos());
    } else if (event instanceof SettingsChanged e) {
      tune(e.settings());
    } else if (event instanceof QuotaAllocation e) {
      quotas.putAll(e.perSecond());
    }
  }

  /** Takes settings over. The window stays as it was made: it holds parts of each class's aim. */
  private void tune(Settings next) {
    settings = next;
    formerClasses.clear();
    formerClasses.putAll(classes);
    classes.clear();
    quotas.clear();
    next.classes().forEach(c -> classes.put(c.name(), c));
    next.tenants().forEach(t -> quotas.put(t.name(), t.quotaPerSecond() / next.groupSize()));
    shortestAim =
        next.classes().stream().mapToLong(RequestClass::aimNanos).min().getAsLong();
  }

  private int maxAttempts(PendingRequest r) {
    return Math.min(r.maxAttempts, settings.limits().maxAttempts());
  }

  private void sweepBy(long at) {
    if (at < sweepAt) {
      sweepAt = at;
      out.accept(new SetTimer("sweep", at));
    }
  }

  /** The next look at a request with an attempt out: to see silence, and in time for its end. */
  private void watch(PendingRequest r) {
    long end = r.deadline + settings.contract().answerSlackNanos() / 2;
    sweepBy(Math.max(now + MS, Math.min(end, now + Math.max(SWEEP, shortestAim / SWEEPS_PER_AIM))));
  }

  // Admission: the straight line

  /** The published line: from maxRate at or below minValue down to minRate at or above maxValue. */
  static double allowedRate(
      double mean, double minValue, double maxValue, double maxRate, double minRate) {
    double part = Math.min(1, Math.max(0, (mean - minValue) / (maxValue - minValue)));
    return maxRate + part * (minRate - maxRate);
  }

  private void onRequest(Request request) {
    RequestClass type =
        (request.usesPreviousSettings() ? formerClasses : classes).get(request.className());
    if (type == null) {
      out.accept(new Log("refused a request of unknown class " + request.className()));
      out.accept(new Refuse(request.id(), retryAfter()));
      return;
    }
    boolean excess = overQuota(request.tenant());
    String endpoint = request.className() + ' ' + request.tenant() + (excess ? " over" : "");
    PendingRequest r = new PendingRequest(
        request,
        type,
        now,
        excess,
        excess ? over : within,
        windowOf(endpoint),
        windowOf(endpoint + ' ' + request.key()),
        load(request.workHintNanos()),
        settings.limits().maxAttempts());
    if (open.size() >= settings.limits().maxOpen() || !admit(r)) {
      out.accept(new Refuse(request.id(), retryAfter()));
      return;
    }
    open.put(request.id(), r);
    // No more saved than a window earns: a fixed number at hundreds of balancers would be the
    // overload.
    double saved = Math.max(1, RETRY_SHARE * fleet.total(now, Metric.OFFERED));
    retryTokens = Math.min(saved, retryTokens + RETRY_SHARE);
    hedgeTokens = Math.min(HEDGE_MOST, hedgeTokens + HEDGE_SHARE);
    advance(r);
  }

  /** This balancer's part of a tenant's quota is a bucket of a second; what finds it empty is excess. */
  private boolean overQuota(String tenant) {
    double rate = tenant == null ? 0 : quotas.getOrDefault(tenant, 0.0);
    if (rate == 0) {
      return false;
    }
    TokenBucket quota = quotaTokens.computeIfAbsent(tenant, k -> new TokenBucket());
    boolean over = quota.fill(now, rate, Math.max(QUOTA_LEAST, rate)) < 1;
    quota.tokens -= over ? 0 : 1;
    return over;
  }

  /** Guards the memory where most keys are new: a window that has forgotten all it counted is dropped. */
  private Window windowOf(String name) {
    Window w = windows.computeIfAbsent(name, k -> new Window(window, now));
    Iterator<Window> idlest = windows.values().iterator();
    for (Window idle = idlest.next();
        idle != w && (idle.empty(now) || windows.size() > MAX_KEYS);
        idle = idlest.next()) {
      idlest.remove();
    }
    return w;
  }

  int windowsKept() {
    return windows.size();
  }

  /** Refuses at the allowed rate. A fleet-wide overload is nobody's key: the worse of the key's and all means
   * counts. Work over a quota is worth less, so its line falls sooner: a tenant throttles itself first. */
  private boolean admit(PendingRequest r) {
    count(r, Metric.OFFERED, 1);
    Window own = r.key.total(now, Metric.SAMPLES) >= ENOUGH
        ? r.key
        : !sparse() || r.endpoint.total(now, Metric.SAMPLES) >= ENOUGH ? r.endpoint : r.share;
    double mean = Math.max(own.mean(now, ENOUGH), fleet.mean(now, ENOUGH));
    double maxRate = own.reach(now, Metric.OFFERED, ENOUGH) * HEADROOM;
    double early = r.excess ? EXCESS_EARLY + (1 - EXCESS_EARLY) * settings.overShareWorth() : 1;
    double allowed =
        allowedRate(mean, MIN_VALUE * early, MAX_VALUE * early, maxRate, maxRate * MIN_PART);
    // Guards work inside a quota from what this balancer did not cause: no more is out than while
    // healthy.
    boolean idle = quotaTokens.containsKey(r.request.tenant()) && readyLoad < usualInFlight * ready;
    if (own.reach(now, Metric.ADMITTED, ENOUGH) >= allowed && (r.excess || !idle)) {
      return false;
    }
    count(r, Metric.ADMITTED, 1);
    return true;
  }

  private void count(PendingRequest r, Metric metric, double amount) {
    r.key.add(now, metric, amount);
    r.endpoint.add(now, metric, amount);
    r.share.add(now, metric, amount);
    fleet.add(now, metric, amount);
  }

  private double value(PendingRequest r) {
    return r.type.worth() * (r.excess ? settings.overShareWorth() : 1);
  }

  /** Load in mean requests by the hint: a few heavy ones fill an upstream that a count calls half empty. */
  private double load(long hint) {
    usualHint += hint <= 0 ? 0 : (hint - usualHint) * (usualHint == 0 ? 1 : USUAL_STEP);
    return hint <= 0 ? 1 : Math.min(HINT_MOST, Math.max(1 / HINT_MOST, hint / usualHint));
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
    // Guards a zone left with few upstreams: near ones get no more traffic than the zone is of the
    // fleet.
    long near = members.stream().filter(this::near).count();
    long zones = members.stream().map(u -> u.listed.zone()).distinct().count();
    nearPart = Math.min(1.0 / Math.max(1, near), (double) zones / Math.max(1, ready));
    if (weightUnit == 0 && ready > 0) {
      // Kept for life, so that a change of the list moves the changed upstream's keys only.
      weightUnit =
          members.stream().mapToDouble(u -> u.listed.weight()).sorted().toArray()[ready / 2];
    }
    boolean sized =
        settings.weightKind() == WeightKind.NOMINAL || settings.weightKind() == WeightKind.ROUGH;
    ring = new Ring(
        members,
        u -> Math.round(POINTS
            * (!sized || weightUnit <= 0
                ? 1
                : Math.min(
                    WEIGHT_MOST, Math.max(1 / WEIGHT_MOST, u.listed.weight() / weightUnit)))));
  }

  /** The first upstream from the key's place on the ring that may take it, own zone first; or null. */
  private Upstream place(PendingRequest r) {
    Upstream lot = ready == 0 ? null : drawn(r);
    if (lot != null || full) {
      return lot;
    }
    int start = ring.placeOf(r.request.key() == null ? "" + random.nextLong() : r.request.key());
    double all = busy.total(now, Metric.SUM) / usualLatency + 1;
    double nearMost = Math.ceil((1 + HISTORY_SLACK) * all * nearPart);
    double awayMost = Math.ceil((1 + HISTORY_SLACK) * all / Math.max(1, ready));
    // Guards against keys that leave their warm upstreams in a crowd: each move is work, and so
    // more crowd.
    double part = r.key.total(now, Metric.OFFERED) / Math.max(1, fleet.total(now, Metric.OFFERED));
    double most =
        sparse() || !settings.warmKeys() ? ready : KEY_SPREAD + Math.ceil(KEY_PARTS * ready * part);
    Upstream away = null;
    Upstream crowded = null;
    visits++;
    for (int i = 0, seen = 0, tried = 0; seen < ready && tried < most; i++) {
      Upstream u = ring.owner(start + i);
      boolean again = u.visit == visits;
      u.visit = visits;
      seen += again ? 0 : 1;
      if (!again && mayGoTo(r, u) && usable(u)) {
        boolean hasRoom = u.load < bound(u);
        double taken = u.busy.total(now, Metric.SUM) / usualLatency + 0.5;
        boolean fits = hasRoom && (!sparse() || taken < (near(u) ? nearMost : awayMost));
        if (near(u) && fits) {
          return u;
        }
        tried += near(u) ? 1 : 0;
        away = away == null && fits ? u : away;
        crowded = crowded == null && hasRoom ? u : crowded;
      }
    }
    Upstream found = away == null ? crowded : away;
    if (found == null && !looked) {
      // Only sends follow within one event, so what is full stays full: the rest of those held need
      // no walk.
      looked = true;
      full = upstreams.values().stream()
          .noneMatch(u -> u.listed.state() == State.READY && usable(u) && u.load < bound(u));
    }
    return found;
  }

  long walks() {
    return visits;
  }

  private boolean sparse() {
    double sparse = Math.min(SPARSE_MOST, Math.max(SPARSE, SPARSE_EACH * settings.groupSize()));
    return busy.total(now, Metric.SUM) < sparse * ready * HISTORY;
  }

  private boolean near(Upstream u) {
    return settings.prices().crossZone() == 0 || u.listed.zone().equals(settings.zone());
  }

  private boolean usable(Upstream u) {
    return well(u) && (warmth(u) >= 1 || !thin(u) && coldTokens(u) >= 1);
  }

  private boolean well(Upstream u) {
    return panic || u.ejectedUntil <= now && !u.onTrial && !silent(u);
  }

  private double bound(Upstream u) {
    return Math.min(Math.max(1, Math.ceil((1 + SLACK) * (readyLoad + 1) / ready)), room(u));
  }

  /** Little's law: answers a second times the latency wanted and the time that they spend in this balancer.
   * Guards against bursts that wait in a queue past their aim; no bound before enough answers, or a restarted
   * balancer would starve itself; nor without its own time, or a slow balancer would. */
  private double room(Upstream u) {
    if (u.firstServed == 0
        || now - u.firstServed < window / 4 && u.window.total(now, Metric.SAMPLES) < ENOUGH) {
      return Double.MAX_VALUE;
    }
    long served = Math.min(window / 2, Math.max(SWEEP, now - u.firstServed));
    return Math.max(
        ROOM_LEAST,
        (ROOM_PART * u.window.total(now, Metric.AIMS) * SECOND + u.window.total(now, Metric.OURS))
            / served);
  }

  /** Nothing heard for far longer than its answers usually lie apart: frozen or dead, before a time-out. What
   * attempts spend in this balancer is its own silence: a slow one would copy and shut out what is well, and
   * be slower still. Hurts where it is slow and an upstream dies at once: seen so much later. */
  private boolean silent(Upstream u) {
    if (u.inFlight == 0) {
      // First, as most are: a sweep looks at all of them.
      return false;
    }
    double gap = u.window.mean(now, 1) / u.inFlight;
    double own =
        u.window.total(now, Metric.OURS) / Math.max(1, u.window.total(now, Metric.SAMPLES));
    return gap > 0
        && now - u.heardAt
            > Math.max(SILENT_GAPS * gap, SILENT_PART * shortestAim) + SILENT_OWN * own;
  }

  // Rule 2: where a request may still go

  private boolean mayGoTo(PendingRequest r, Upstream u) {
    if (!r.earlierAllows(u.listed, now + settings.tickNanos())) {
      return false;
    }
    for (Attempt a : r.attempts) {
      if (a.upstream == u && (a.out || ready > r.attempts.size())) {
        return false;
      }
      if (a.mayHaveRun && r.type.effect() != Effect.SAFE) {
        // The window is cut by a tick, against a balancer that carries the sending out a moment
        // later.
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

  // Rule 4: cold upstreams

  /** The part of its capacity that an upstream surely has: from cold-from, evenly, to the whole. */
  private double warmth(Upstream u) {
    double part =
        Math.max(0, now - u.started) / (double) Math.max(1, settings.contract().warmWithinNanos());
    return u.started <= 0 || part >= 1 ? 1 : settings.contract().coldFrom() * (1 - part) + part;
  }

  /** Sends that a cold upstream may still get: its warmth's part of what a warm one usually gets. The trickle
   * guards against a fleet that is cold all at once and would wait for traffic to be allowed any. None beside
   * a warm one: balancers that do not know how many they are would each send all of it. */
  private double coldTokens(Upstream u) {
    double trickle = someWarm() ? 0 : COLD_TRICKLE / settings.groupSize();
    double rate = Math.max(trickle, warmth(u) * usualSends);
    double seconds = COLD_BURST * settings.contract().fallWindowNanos() / SECOND;
    return u.cold.fill(now, rate, Math.max(1, rate * seconds));
  }

  private boolean someWarm() {
    if (someWarm == null) {
      someWarm = upstreams.values().stream()
          .anyMatch(u -> u.listed.state() == State.READY && warmth(u) >= 1);
    }
    return someWarm;
  }

  /** A balancer with hardly a request for each upstream would save up for a send to a cold one until long
   * after its warm-up, and all such together would leave it idle. Theirs is a lot: each request draws
   * one upstream, whatever its key (a hot one's home would get too much), and a cold one takes its warmth's
   * part of those. The same lot each time that the request is looked at. */
  private Upstream drawn(PendingRequest r) {
    Upstream u = ring.owner(ring.placeOf(r.request.id()));
    double part = warmth(u) * ready / Math.max(ready, usualReady * LEAST_READY);
    return thin(u)
            && coldTokens(u) > -COLD_DEBT
            && Ring.lot(r.request.id()) < part
            && mayGoTo(r, u)
            && well(u)
            && u.load < bound(u)
        ? u
        : null;
  }

  private boolean thin(Upstream u) {
    double warmth = warmth(u);
    return warmth < 1
        && warmth * usualSends * settings.contract().fallWindowNanos() / SECOND < COLD_THIN;
  }

  // Life of a request

  /** Sends a request that has no attempt out, or ends it, or holds it; true if it was sent or ended. */
  private boolean advance(PendingRequest r) {
    boolean first = r.attempts.isEmpty();
    boolean over = r.attempts.size() >= maxAttempts(r)
        || !first && (retryTokens < 1 || r.spent)
        || r.mayNotRunAgain(now + settings.tickNanos())
        || now >= r.deadline - 2 * SWEEP;
    Upstream u = over ? null : place(r);
    if (u != null) {
      retryTokens -= first ? 0 : 1;
      held.remove(r);
      send(r, u);
    } else if (over || first && now >= heldUntil(r) || !first && ready == 0) {
      finish(r);
    } else {
      held.add(r);
      sweepBy(now + SWEEP);
      return false;
    }
    return true;
  }

  private static double heldUntil(PendingRequest r) {
    return r.arrived + HOLD_PART * r.type.aimNanos();
  }

  private void send(PendingRequest r, Upstream u) {
    Attempt a = new Attempt(u, now);
    r.attempts.add(a);
    r.out++;
    u.onTrial = u.ejections > 0;
    u.cold.tokens -= warmth(u) < 1 ? 1 : 0;
    if (!r.coming) {
      begins(r, a);
    }
    out.accept(new Send(r.request.id(), u.id, r.deadline - now));
    watch(r);
  }

  /** An upstream may work on an attempt from now on. */
  private void begins(PendingRequest r, Attempt a) {
    Upstream u = a.upstream;
    a.works = true;
    a.mayHaveRun = true;
    a.sentAt = now;
    a.charged = usualLatency * r.load;
    u.busy.add(now, Metric.SUM, a.charged);
    busy.add(now, Metric.SUM, a.charged);
    u.heardAt = u.inFlight == 0 ? now : u.heardAt;
    u.inFlight++;
    u.load += r.load;
    readyLoad += u.listed.state() == State.READY ? r.load : 0;
  }

  /** A request that was taken at its head has come whole: its own time, and its upstream's, begin now. */
  private void came(PendingRequest r, long deadline) {
    r.coming = false;
    r.arrived = now;
    r.deadline = deadline;
    r.attempts.stream().filter(a -> a.out).forEach(a -> begins(r, a));
    if (r.out > 0 && !r.ended) {
      watch(r);
    }
  }

  /** One answer has begun to go to the client: it is the only one. */
  private void started(PendingRequest r, int attempt) {
    r.streaming = true;
    for (int i = 0; i < r.attempts.size() && settings.limits().cancel(); i++) {
      if (i != attempt && r.attempts.get(i).out) {
        out.accept(new Cancel(r.request.id(), i));
      }
    }
  }

  /** A second copy past a silent upstream; none with the fleet above minValue: they would be its overload. */
  private void hedge(PendingRequest r) {
    boolean mayCopy = r.out == 1
        && !r.request.bodyPending()
        && settings.limits().secondCopies()
        && settings.limits().cancel()
        && r.attempts.size() < maxAttempts(r)
        && hedgeTokens >= 1
        && silent(r.attempts.get(r.attempts.size() - 1).upstream)
        && now - r.arrived <= r.type.aimNanos()
        && fleet.mean(now, ENOUGH) <= MIN_VALUE;
    Upstream u = mayCopy ? place(r) : null;
    if (u != null) {
      hedgeTokens--;
      send(r, u);
    }
  }

  private void finish(PendingRequest r) {
    out.accept(mayRefuse(r) ? new Refuse(r.request.id(), retryAfter()) : new Fail(r.request.id()));
    release(r);
  }

  /** The request has its final answer: stops what it still has out, forgets it once nothing is. */
  private void release(PendingRequest r) {
    r.ended = true;
    held.remove(r);
    if (r.out == 0) {
      open.remove(r.request.id());
    }
    for (int i = 0; i < r.attempts.size() && settings.limits().cancel(); i++) {
      if (r.attempts.get(i).out) {
        out.accept(new Cancel(r.request.id(), i));
      }
    }
  }

  private void onOutcome(Outcome o) {
    PendingRequest r = open.get(o.id());
    if (r == null || o.attempt() >= r.attempts.size() || !r.attempts.get(o.attempt()).out) {
      return;
    }
    Attempt a = r.attempts.get(o.attempt());
    a.out = false;
    a.mayHaveRun &= !o.status().provesNotRun();
    r.spent |= o.bodyConsumed();
    r.out--;
    if (a.works) {
      a.upstream.inFlight--;
      a.upstream.load -= a.upstream.inFlight == 0 ? a.upstream.load : r.load;
      a.upstream.heardAt = now;
      readyLoad -= a.upstream.listed.state() == State.READY ? r.load : 0;
    }
    double least =
        o.status() == Status.SERVED || o.staleConnection() ? 0 : FAILED_AIMS * r.type.aimNanos();
    double taken = Math.max(least, a.works ? o.latencyNanos() : 0) - a.charged;
    a.upstream.busy.add(now, Metric.SUM, taken);
    busy.add(now, Metric.SUM, taken);
    learn(r, a, o);
    if (r.ended && r.out == 0) {
      open.remove(o.id());
    } else if (!r.ended && o.finished()) {
      hedgeTokens =
          Math.min(HEDGE_MOST, hedgeTokens + (r.out > 0 && o.attempt() > 0 ? HEDGE_WIN : 0));
      release(r);
    } else if (!r.ended && r.out == 0) {
      advance(r);
    }
    int tries = HELD_TRIES;
    for (var h = held.isEmpty() ? null : held.first(); h != null && tries > 0; h = held.higher(h)) {
      tries -= advance(h) ? 0 : 1;
    }
  }

  private void learn(PendingRequest r, Attempt a, Outcome o) {
    Upstream u = a.upstream;
    u.onTrial = false;
    long ours = ours(a, o);
    if (o.status() == Status.SERVED) {
      u.failures = 0;
      u.ejections = 0;
      u.firstServed = u.firstServed == 0 ? now : u.firstServed;
      u.window.add(now, Metric.AIMS, r.load * r.type.aimNanos() / SECOND);
      u.window.add(now, Metric.SAMPLES, 1);
      u.window.add(now, Metric.SUM, r.load * o.latencyNanos());
      u.window.add(now, Metric.OURS, r.load * ours);
      sample(r, (double) (now - r.arrived - ours) / r.type.aimNanos());
      usualLatency += (o.latencyNanos() - usualLatency) * USUAL_STEP;
    } else if (o.staleConnection()) {
      // No sign of the upstream: kept connections break in a row, and three would eject one that is
      // well.
      // A crash breaks them too, but then the next connects are refused, which counts.
      sample(r, (double) (now - r.arrived - ours) / r.type.aimNanos());
    } else if (o.status() != Status.CANCELLED
        && o.status() != Status.NOT_SENT
        && o.status() != Status.FULL) {
      if (!r.coming) {
        // One whose body still came took its client's time so far, which tells of no load.
        sampleFailure(r, o.status());
      }
      if (++u.failures >= EJECT_AFTER && u.ejectedUntil <= now) {
        long backoff = Math.min(EJECT_MOST, EJECT_FIRST << Math.min(u.ejections++, 10));
        u.ejectedUntil = now + (long) (backoff * (0.5 + random.nextDouble() / 2));
      }
    }
  }

  private void sampleFailure(PendingRequest r, Status status) {
    if (status == Status.RESET || status == Status.ERROR) {
      // Its latency, but no less than the aim that it missed, and for an error than what is
      // critical. More
      // would take connections that break, spoilt answers, or one upstream's errors for load.
      double least = status == Status.RESET ? 1 : MAX_VALUE;
      sample(r, Math.max(least, (double) (now - r.arrived) / r.type.aimNanos()));
    } else if (status != Status.CONNECT_FAILED) {
      // A time-out is charged its class's limit.
      sample(r, (double) r.type.deadlineNanos() / r.type.aimNanos());
    }
  }

  /** What an attempt spent in this balancer, beside its latency: no upstream's work, so neither the line nor
   * the room may take it for that. A few ticks are the clock's own rounding. */
  private long ours(Attempt a, Outcome o) {
    long rest = now - a.sentAt - o.latencyNanos();
    return rest <= OURS_TICKS * settings.tickNanos() ? 0 : rest;
  }

  private void sample(PendingRequest r, double part) {
    count(r, Metric.SAMPLES, 1);
    count(r, Metric.SUM, part);
  }

  private void onSweep() {
    double past = Math.min(SECOND, now - sweptAt);
    sweptAt = now;
    if (fleet.mean(now, ENOUGH) <= MIN_VALUE) {
      usualInFlight +=
          (readyLoad / Math.max(1, ready) - usualInFlight) * past / (USUAL_WINDOWS * window);
    }
    // By half of those ready a while ago at least: a release takes a part of them, but what was
    // asked
    // of many is no sign of what the last one can take.
    usualReady = Math.max(ready, usualReady * (1 - past / SENDS_KEPT));
    double among = Math.max(1, Math.max(ready, usualReady * LEAST_READY));
    usualSends = Math.max(
        usualSends * (1 - past / SENDS_KEPT),
        fleet.total(now, Metric.ADMITTED) * SECOND / window / among);
    long bad = upstreams.values().stream()
        .filter(u -> u.listed.state() == State.READY && (u.ejectedUntil > now || silent(u)))
        .count();
    panic = bad > PANIC_SHARE * ready;
    for (PendingRequest r : List.copyOf(open.values())) {
      if (r.out > 0 && !r.ended && !r.streaming) {
        if (now >= r.deadline + settings.contract().answerSlackNanos() / 2) {
          finish(r);
        } else {
          hedge(r);
          watch(r);
        }
      }
    }
    int tries = SWEEP_TRIES;
    for (PendingRequest r : List.copyOf(held)) {
      if (tries > 0 || now >= Math.min(r.deadline - 2 * SWEEP, heldUntil(r))) {
        tries -= advance(r) ? 0 : 1;
      }
    }
    if (now >= askAt) {
      askAt = Long.MAX_VALUE;
      out.accept(new Watch(true));
    }
    sweepBy(askAt);
  }

  // Following the list

  private void onList(ListUpdate news) {
    if (news.kind() == ListKind.FAILED) {
      // Full jitter, or all balancers would come back to the list service at once.
      long backoff = Math.min(ASK_MOST, ASK_FIRST << Math.min(askFailures++, 10));
      askAt = now + (long) (backoff * random.nextDouble());
      sweepBy(askAt);
      return;
    }
    if (news.kind() != ListKind.CACHED) {
      askFailures = 0;
    } else if (settings.listOnRequest()) {
      out.accept(new Watch(true));
    }
    Map<Long, Listed> entries = new LinkedHashMap<>();
    news.entries().forEach(e -> entries.put(e.upstream(), e));
    if (news.kind() != ListKind.DELTA) {
      // One that is absent from a full list is gone.
      upstreams.forEach((id, u) -> entries.putIfAbsent(
          id,
          new Listed(
              id, u.listed.zone(), u.listed.cell(), State.GONE, u.started, u.listed.weight())));
    }
    for (Listed e : entries.values()) {
      Upstream u = upstreams.computeIfAbsent(
          e.upstream(),
          id -> new Upstream(id, new Window(window / 2, now), new Window(HISTORY, now)));
      if (e.startedNanos() > u.started) {
        u.started = e.startedNanos();
        u.failures = 0;
        u.ejections = 0;
        u.ejectedUntil = 0;
        // Not in step: all hear of it at once, and would all have saved up for their first send at
        // once.
        u.cold.tokens = -random.nextDouble();
        u.cold.filledAt = now;
      }
      u.listed = e;
    }
    rebuildRing();
    upstreams.values().removeIf(u -> u.listed.state() == State.GONE && u.inFlight == 0);
  }
}
