package pumicekeel.lab.policy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.function.Function;
import pumicekeel.Balancer;

/**
 * A common policy behind the same serving rules as the project's own module: one final answer in time, retries only if the class allows
 * them, no sends to a draining upstream, and slow start for a cold one (as in Envoy: it is used with a probability equal to its warmth).
 * It refuses a request only if no upstream is ready or too many requests are open, and makes at most three attempts.
 */
public final class TextbookBalancer implements Balancer {

  private static final int MAX_ATTEMPTS = 3;

  private static final class OpenRequest {
    private final Request request;
    private final RequestClass requestClass;
    private final Set<Long> tried = new HashSet<>();
    private int attempts;
    private int inFlight;
    private boolean mayHaveRun;
    private ListedUpstream firstRunEntry;
    private long firstRunSince;
    private boolean answered;

    private OpenRequest(Request request, RequestClass requestClass) {
      this.request = request;
      this.requestClass = requestClass;
    }
  }

  private final Settings settings;
  private final SelectionStrategy strategy;
  private final SplittableRandom random;
  private final Map<Long, UpstreamState> upstreams = new LinkedHashMap<>();
  private final List<UpstreamState> ready = new ArrayList<>();
  private final Map<String, OpenRequest> open = new HashMap<>();
  /** The upstreams of a request's attempts, by the attempt's number. */
  private final Map<String, List<UpstreamState>> attemptTargets = new HashMap<>();

  private final Map<String, RequestClass> classes = new HashMap<>();
  private long now;
  private Consumer<Action> actions;

  TextbookBalancer(
      Settings settings, long seed, Function<SplittableRandom, SelectionStrategy> strategy) {
    this.settings = settings;
    random = new SplittableRandom(seed);
    this.strategy = strategy.apply(random);
    settings.classes().forEach(requestClass -> classes.put(requestClass.name(), requestClass));
  }

  @Override
  public void handle(long nowNanos, Event event, Consumer<Action> out) {
    now = nowNanos;
    actions = out;
    if (event instanceof Request request) {
      request(request);
    } else if (event instanceof Outcome result) {
      outcome(result);
    } else if (event instanceof ListUpdate update) {
      list(update);
    } else if (event instanceof TimerFired timer && open.containsKey(timer.token())) {
      giveUp(open.get(timer.token()));
    } else if (event instanceof ClientDisconnected gone && open.containsKey(gone.id())) {
      open.get(gone.id()).answered = true;
      removeRequest(open.get(gone.id()));
    }
  }

  private void list(ListUpdate update) {
    if (update.kind() == ListKind.FULL) {
      upstreams
          .keySet()
          .retainAll(update.entries().stream().map(ListedUpstream::upstream).toList());
    }
    for (ListedUpstream entry : update.entries()) {
      if (entry.state() == State.GONE) {
        upstreams.remove(entry.upstream());
      } else {
        upstreams.computeIfAbsent(entry.upstream(), UpstreamState::new).entry = entry;
      }
    }
    ready.clear();
    upstreams.values().stream()
        .filter(upstream -> upstream.entry.state() == State.READY)
        .forEach(ready::add);
  }

  private void request(Request request) {
    OpenRequest openRequest = new OpenRequest(request, classes.get(request.className()));
    if (openRequest.requestClass == null || open.size() >= settings.limits().maxOpen()) {
      actions.accept(new Refuse(request.id(), 0));
      return;
    }
    open.put(request.id(), openRequest);
    actions.accept(new SetTimer(request.id(), request.deadlineNanos()));
    send(openRequest);
  }

  private void send(OpenRequest openRequest) {
    UpstreamState target = select(openRequest);
    if (target == null
        || openRequest.attempts >= Math.min(MAX_ATTEMPTS, settings.limits().maxAttempts())
        || now >= openRequest.request.deadlineNanos()) {
      giveUp(openRequest);
      return;
    }
    openRequest.attempts++;
    openRequest.inFlight++;
    openRequest.tried.add(target.id);
    target.inFlight++;
    attemptTargets
        .computeIfAbsent(openRequest.request.id(), id -> new ArrayList<>(1))
        .add(target);
    actions.accept(new Send(
        openRequest.request.id(),
        target.id,
        Math.max(1, openRequest.request.deadlineNanos() - now)));
  }

  private UpstreamState select(OpenRequest openRequest) {
    List<UpstreamState> candidates = openRequest.firstRunEntry == null
        ? ready
        : ready.stream().filter(upstream -> allowsRepeat(openRequest, upstream)).toList();
    UpstreamState selected = null;
    for (int i = 0; i < 4 && !candidates.isEmpty(); i++) {
      selected = strategy.of(candidates, now);
      boolean cold = random.nextDouble() > warmth(selected.entry);
      if (!cold && !openRequest.tried.contains(selected.id)) {
        return selected;
      }
    }
    // No untried upstream was accepted: use a fully warm one, tried or not.
    for (int i = 0; i < candidates.size(); i++) {
      UpstreamState upstream = candidates.get(random.nextInt(candidates.size()));
      if (warmth(upstream.entry) >= 1) {
        return upstream;
      }
    }
    return selected;
  }

  private boolean allowsRepeat(OpenRequest openRequest, UpstreamState upstream) {
    return openRequest.requestClass.effect() == Effect.SAFE
        || openRequest.requestClass.dedupScope().covers(openRequest.firstRunEntry, upstream.entry)
            && now - openRequest.firstRunSince < openRequest.requestClass.dedupWindowNanos();
  }

  private double warmth(ListedUpstream entry) {
    Contract contract = settings.contract();
    return entry.startedNanos() == 0
        ? 1
        : Math.min(
            1,
            contract.coldFrom()
                + (1 - contract.coldFrom())
                    * (now - entry.startedNanos())
                    / Math.max(1, contract.warmWithinNanos()));
  }

  private void outcome(Outcome outcome) {
    List<UpstreamState> targets = attemptTargets.get(outcome.id());
    UpstreamState upstream = targets == null || outcome.attempt() >= targets.size()
        ? null
        : targets.get(outcome.attempt());
    if (upstream != null) {
      upstream.inFlight--;
      if (outcome.status() != Status.NOT_SENT && outcome.status() != Status.CANCELLED) {
        upstream.recordLatency(outcome.latencyNanos(), now);
      }
    }
    OpenRequest openRequest = open.get(outcome.id());
    if (openRequest == null) {
      return;
    }
    openRequest.inFlight--;
    if (outcome.finished() || outcome.status() == Status.SERVED) {
      openRequest.answered = true;
      removeRequest(openRequest);
      return;
    }
    if (!outcome.status().provesNotRun() && upstream != null && openRequest.firstRunEntry == null) {
      openRequest.mayHaveRun = true;
      openRequest.firstRunEntry = upstream.entry;
      openRequest.firstRunSince = now - outcome.latencyNanos();
    }
    if (openRequest.mayHaveRun && openRequest.requestClass.effect() == Effect.UNSAFE) {
      giveUp(openRequest);
    } else if (!openRequest.answered) {
      send(openRequest);
    }
  }

  private void giveUp(OpenRequest openRequest) {
    if (!openRequest.answered) {
      openRequest.answered = true;
      boolean mayRun = openRequest.mayHaveRun || openRequest.inFlight > 0;
      actions.accept(
          mayRun && openRequest.requestClass.effect() != Effect.SAFE
              ? new Fail(openRequest.request.id())
              : new Refuse(openRequest.request.id(), 0));
    }
    removeRequest(openRequest);
  }

  private void removeRequest(OpenRequest openRequest) {
    open.remove(openRequest.request.id());
    if (openRequest.inFlight <= 0) {
      attemptTargets.remove(openRequest.request.id());
    }
  }
}
