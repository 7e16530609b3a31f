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
import pumicekeel.Balancer;

/**
 * A policy as a user would pick it elsewhere, behind the same serving rules as the project's own module: one final answer in time, a
 * retry only where the class allows, nothing to one that drains, slow start for a cold one (Envoy's: its chance is its warmth). It
 * refuses only where nothing is ready or too much is open, and tries a request three times.
 */
public final class TextbookBalancer implements Balancer {

  private static final int TRIES = 3;

  private static final class Open {
    private final Request request;
    private final RequestClass type;
    private final Set<Long> tried = new HashSet<>();
    private int attempts;
    private int out;
    private boolean mayHaveRun;
    private ListedUpstream ranAt;
    private long ranSince;
    private boolean answered;

    private Open(Request request, RequestClass type) {
      this.request = request;
      this.type = type;
    }
  }

  private final Settings settings;
  private final Choice choice;
  private final SplittableRandom random;
  private final Map<Long, Peer> peers = new LinkedHashMap<>();
  private final List<Peer> ready = new ArrayList<>();
  private final Map<String, Open> open = new HashMap<>();
  private final Map<String, List<Peer>> sent = new HashMap<>();
  private final Map<String, RequestClass> classes = new HashMap<>();
  private long now;
  private Consumer<Action> actions;

  TextbookBalancer(
      Settings settings, long seed, java.util.function.Function<SplittableRandom, Choice> choice) {
    this.settings = settings;
    random = new SplittableRandom(seed);
    this.choice = choice.apply(random);
    settings.classes().forEach(c -> classes.put(c.name(), c));
  }

  @Override
  public void handle(long nowNanos, Event event, Consumer<Action> out) {
    now = nowNanos;
    actions = out;
    if (event instanceof Request r) {
      request(r);
    } else if (event instanceof Outcome o) {
      outcome(o);
    } else if (event instanceof ListUpdate news) {
      list(news);
    } else if (event instanceof TimerFired t && open.containsKey(t.token())) {
      giveUp(open.get(t.token()));
    } else if (event instanceof ClientDisconnected gone && open.containsKey(gone.id())) {
      open.get(gone.id()).answered = true;
      forget(open.get(gone.id()));
    }
  }

  private void list(ListUpdate news) {
    if (news.kind() == ListKind.FULL) {
      peers
          .keySet()
          .retainAll(news.entries().stream().map(ListedUpstream::upstream).toList());
    }
    for (ListedUpstream l : news.entries()) {
      if (l.state() == State.GONE) {
        peers.remove(l.upstream());
      } else {
        peers.computeIfAbsent(l.upstream(), Peer::new).listed = l;
      }
    }
    ready.clear();
    peers.values().stream().filter(p -> p.listed.state() == State.READY).forEach(ready::add);
  }

  private void request(Request request) {
    Open o = new Open(request, classes.get(request.className()));
    if (o.type == null || open.size() >= settings.limits().maxOpen()) {
      actions.accept(new Refuse(request.id(), 0));
      return;
    }
    open.put(request.id(), o);
    actions.accept(new SetTimer(request.id(), request.deadlineNanos()));
    send(o);
  }

  private void send(Open o) {
    Peer to = pick(o);
    if (to == null
        || o.attempts >= Math.min(TRIES, settings.limits().maxAttempts())
        || now >= o.request.deadlineNanos()) {
      giveUp(o);
      return;
    }
    o.attempts++;
    o.out++;
    o.tried.add(to.id);
    to.out++;
    sent.computeIfAbsent(o.request.id(), k -> new ArrayList<>(1)).add(to);
    actions.accept(new Send(o.request.id(), to.id, Math.max(1, o.request.deadlineNanos() - now)));
  }

  private Peer pick(Open o) {
    List<Peer> may =
        o.ranAt == null ? ready : ready.stream().filter(p -> mayRepeat(o, p)).toList();
    Peer found = null;
    for (int i = 0; i < 4 && !may.isEmpty(); i++) {
      found = choice.of(may, now);
      boolean cold = random.nextDouble() > warmth(found.listed);
      if (!cold && !o.tried.contains(found.id)) {
        return found;
      }
    }
    // Twice in vain: any that is warm, tried or not.
    for (int i = 0; i < may.size(); i++) {
      Peer p = may.get(random.nextInt(may.size()));
      if (warmth(p.listed) >= 1) {
        return p;
      }
    }
    return found;
  }

  private boolean mayRepeat(Open o, Peer p) {
    return o.type.effect() == Effect.SAFE
        || o.type.dedupScope().covers(o.ranAt, p.listed)
            && now - o.ranSince < o.type.dedupWindowNanos();
  }

  private double warmth(ListedUpstream l) {
    Contract c = settings.contract();
    return l.startedNanos() == 0
        ? 1
        : Math.min(
            1,
            c.coldFrom()
                + (1 - c.coldFrom()) * (now - l.startedNanos()) / Math.max(1, c.warmWithinNanos()));
  }

  private void outcome(Outcome e) {
    List<Peer> to = sent.get(e.id());
    Peer peer = to == null || e.attempt() >= to.size() ? null : to.get(e.attempt());
    if (peer != null) {
      peer.out--;
      if (e.status() != Status.NOT_SENT && e.status() != Status.CANCELLED) {
        peer.learn(e.latencyNanos(), now);
      }
    }
    Open o = open.get(e.id());
    if (o == null) {
      return;
    }
    o.out--;
    if (e.finished() || e.status() == Status.SERVED) {
      o.answered = true;
      forget(o);
      return;
    }
    if (!e.status().provesNotRun() && peer != null && o.ranAt == null) {
      o.mayHaveRun = true;
      o.ranAt = peer.listed;
      o.ranSince = now - e.latencyNanos();
    }
    if (o.mayHaveRun && o.type.effect() == Effect.UNSAFE) {
      giveUp(o);
    } else if (!o.answered) {
      send(o);
    }
  }

  private void giveUp(Open o) {
    if (!o.answered) {
      o.answered = true;
      boolean runs = o.mayHaveRun || o.out > 0;
      actions.accept(
          runs && o.type.effect() != Effect.SAFE
              ? new Fail(o.request.id())
              : new Refuse(o.request.id(), 0));
    }
    forget(o);
  }

  private void forget(Open o) {
    open.remove(o.request.id());
    if (o.out <= 0) {
      sent.remove(o.request.id());
    }
  }
}
