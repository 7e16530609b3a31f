package pumicekeel.core;

import io.netty.channel.EventLoop;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import pumicekeel.Balancer;
import pumicekeel.Balancer.Action;
import pumicekeel.Balancer.AnswerStarted;
import pumicekeel.Balancer.Cancel;
import pumicekeel.Balancer.ClientDisconnected;
import pumicekeel.Balancer.Event;
import pumicekeel.Balancer.Fail;
import pumicekeel.Balancer.ListKind;
import pumicekeel.Balancer.ListUpdate;
import pumicekeel.Balancer.Outcome;
import pumicekeel.Balancer.PriorAttempt;
import pumicekeel.Balancer.QuotaAllocation;
import pumicekeel.Balancer.Refuse;
import pumicekeel.Balancer.Request;
import pumicekeel.Balancer.RequestBodyReceived;
import pumicekeel.Balancer.Send;
import pumicekeel.Balancer.SetTimer;
import pumicekeel.Balancer.Settings;
import pumicekeel.Balancer.SettingsChanged;
import pumicekeel.Balancer.Status;
import pumicekeel.Balancer.TimerFired;
import pumicekeel.Balancer.Watch;
import pumicekeel.call.Answer;
import pumicekeel.call.AnswerStart;
import pumicekeel.call.BodySink;
import pumicekeel.call.Client;
import pumicekeel.call.ClientRequest;
import pumicekeel.call.FlowControl;
import pumicekeel.discovery.HostList;
import pumicekeel.discovery.ListCurrency;
import pumicekeel.guard.Denial;
import pumicekeel.guard.SendContext;
import pumicekeel.guard.ServingGuard;
import pumicekeel.runtime.Clock;
import pumicekeel.runtime.Log;
import pumicekeel.runtime.LoopLag;
import pumicekeel.runtime.Reactor;
import pumicekeel.upstream.UpstreamAttempt;
import pumicekeel.upstream.UpstreamLinks;
import pumicekeel.upstream.UpstreamTable;

/** The table of open requests: tells the module what happens on the sockets and carries out what it decides. */
public final class BalancerCore {

  /** An answer goes out this long before the client stops waiting, so that a busy core still is in time. */
  public static final long ANSWER_MARGIN_NANOS = 60_000_000L;
  /**
   * Of the time past a class's aim by a quarter, that part which earns nothing is parted between waiting and answering, so that a process
   * that stands still at its end loses no request, however short or long its time is. Not more than this, though: an answer that earns
   * nothing is still one, and a process that stands still for a second and more is beyond help.
   */
  private static final long STALL_MARGIN_NANOS = 1_000_000_000L;

  private static final double STALL_PART = 0.5;
  private static final double PAST_AIM = 1.25;
  /** The node's own answer where the module gave none in time, after the module's deadline. */
  private static final long GUARD_NANOS = 20_000_000L;
  /** The largest body at half the rate that clients have at least; what is slower is ended by its front. */
  private static final long LONGEST_UPLOAD_NANOS = TimeUnit.MINUTES.toNanos(20);

  private final ActiveSettings activeSettings;
  private final Balancer module;
  private final Clock clock;
  private final EventLoop loop;
  private final ServingGuard guard;
  private final LoopLag lag;
  private final Consumer<RuntimeException> defect;
  private final Map<String, OpenRequest> table = new HashMap<>();
  private final UpstreamTable upstreams;
  private final Queue<Event> events = new ArrayDeque<>();
  private final List<OpenRequest> over = new ArrayList<>();
  private Consumer<Boolean> watch = on -> {};
  private boolean handling;
  private QuotaSource setQuotaSource;
  /** How current the list is; null where it can't be outdated. */
  private ListCurrency setListCurrency;

  private long endsAt = Long.MAX_VALUE;

  public BalancerCore(
      Settings settings,
      Balancer module,
      Reactor on,
      LoopLag lag,
      UpstreamLinks links,
      Consumer<RuntimeException> defect) {
    activeSettings = new ActiveSettings(settings);
    this.module = module;
    clock = on.clock();
    loop = on.loop();
    guard = on.guard();
    this.lag = lag;
    upstreams = new UpstreamTable(links);
    this.defect = defect;
  }

  /** From now on nothing is sent while the list by which it would be is outdated. */
  public void setListCurrency(ListCurrency of) {
    setListCurrency = of;
  }

  private boolean listOutdated(long now) {
    return setListCurrency != null && !setListCurrency.sendable(now);
  }

  /** Starts with the list as last held; {@code watch} carries out the module's wish to follow it. */
  public void start(HostList known, Consumer<Boolean> watch) {
    this.watch = watch;
    updateList(ListKind.CACHED, known);
  }

  public Settings settings() {
    return activeSettings.current();
  }

  /** The settings until a moment ago, which clients may still go by; null where there are none. */
  public Settings previousSettings() {
    return activeSettings.previous(clock.now());
  }

  /** Takes over other settings: what is open keeps its class, what comes from now on goes by the new ones. */
  public void applySettings(Settings next) {
    if (activeSettings.replace(next, clock.now())) {
      tell(new SettingsChanged(next));
    }
  }

  /** From now on what this instance may admit of tenants' quotas is said by somebody else; null for its even part. */
  public void setQuotaSource(QuotaSource source) {
    if (setQuotaSource != null && source == null) {
      tell(new SettingsChanged(settings()));
    }
    setQuotaSource = source;
  }

  /** Has the rates in force told to the module, before a request of this tenant is judged by them. */
  public void refreshQuotas(String tenant, long now) {
    Map<String, Double> rates = setQuotaSource == null || tenant == null
        ? null
        : setQuotaSource.requestArrived(tenant, now);
    if (rates != null) {
      tell(new QuotaAllocation(rates));
    }
  }

  // Clients

  /** Takes a request; false where its id is open already, which must not replace the first one. */
  public boolean submit(ClientRequest request, Client client) {
    return submit(request, client, List.of(), null);
  }

  /** Takes one of which something may have run before, and whose attempts somebody may put on record ({@code log}). */
  public boolean submit(
      ClientRequest request, Client client, List<PriorAttempt> earlier, AttemptLog log) {
    long now = clock.now();
    long left = Math.max(0, Math.min(serviceTimeNanos(request), endsAt - now));
    OpenRequest r = new OpenRequest(
        request, client, now + left, earlier, log, settings().limits().maxAttempts());
    if (table.putIfAbsent(request.id(), r) != null) {
      return false;
    }
    if (!guard.mayAdmit(listOutdated(now))) {
      table.remove(request.id(), r);
      r.ended = true;
      if (!client.handOver(left)) {
        giveUp(r, retryAfterNanos());
      }
      return true;
    }
    r.clientDeadline = now + request.leftNanos();
    boolean coming = r.bodyIncomplete();
    if (coming) {
      // Its time counts from its last byte; until then the front ends what does not come.
      r.deadline = Math.min(now + LONGEST_UPLOAD_NANOS, endsAt);
      request.upload().onComplete(() -> came(r));
    } else {
      r.deadlineTimer =
          loop.schedule(() -> answerForModule(r), left + GUARD_NANOS, TimeUnit.NANOSECONDS);
    }
    refreshQuotas(request.tenant(), now);
    tell(new Request(
        request.id(),
        request.type().name(),
        request.tenant(),
        request.key(),
        r.deadline,
        request.hintNanos(),
        request.retry(),
        earlier,
        former(request),
        coming));
    return true;
  }

  /** When a list comes is not known: the longest that clients heed. */
  private long retryAfterNanos() {
    var limits = settings().limits();
    return limits.retryAfter() ? limits.maxRetryAfterNanos() : 0;
  }

  /** Of a client's time, what the module has, in nanoseconds; 0 or less for none. */
  public static long serviceTimeNanos(ClientRequest request) {
    long left = request.leftNanos();
    // How long a class's aim is for a request is not known where it goes by its work.
    double earnsNothing =
        request.type().aimStretch() > 0 ? 0 : Math.max(0, 1 - request.type().lateWorth());
    double pastAim = left - PAST_AIM * request.type().aimNanos();
    long kept = (long) Math.min(STALL_MARGIN_NANOS, STALL_PART * earnsNothing * pastAim);
    return left - Math.max(ANSWER_MARGIN_NANOS, kept);
  }

  /** The last byte of a request has come that was taken before: its time begins. */
  private void came(OpenRequest r) {
    if (r.ended) {
      return;
    }
    long now = clock.now();
    long left = Math.max(0, Math.min(serviceTimeNanos(r.request), endsAt - now));
    r.deadline = now + left;
    r.clientDeadline = now + r.request.leftNanos();
    r.deadlineTimer =
        loop.schedule(() -> answerForModule(r), left + GUARD_NANOS, TimeUnit.NANOSECONDS);
    r.attempts.stream().filter(UpstreamAttempt::inFlight).forEach(a -> a.bodyReceived(left, loop));
    tell(new RequestBodyReceived(r.request.id(), r.deadline));
  }

  private boolean former(ClientRequest request) {
    return previousSettings() != null && !settings().classes().contains(request.type());
  }

  /** The process ends after so long: no request that is open or taken from now on may last longer. */
  public void limitDeadlines(long nanos) {
    endsAt = clock.now() + nanos;
    table.values().stream()
        .filter(r -> !r.ended && r.deadline > endsAt)
        .forEach(r -> loop.schedule(() -> answerForModule(r), nanos, TimeUnit.NANOSECONDS));
    loop.schedule(this::cutStreams, nanos, TimeUnit.NANOSECONDS);
  }

  /** Answers that are still being passed on have no time limit of the request's; the process can't wait for them longer. */
  private void cutStreams() {
    List.copyOf(table.values()).stream()
        .filter(r -> r.streamingAttempt != null)
        .forEach(r -> r.streamingAttempt.end(Status.CANCELLED, null));
  }

  public void clientDisconnected(String id) {
    OpenRequest r = table.get(id);
    if (r != null && end(r)) {
      tell(new ClientDisconnected(id));
    } else if (r != null && r.streamingAttempt != null) {
      r.streamingAttempt.end(Status.CANCELLED, null);
    }
  }

  /** Guards against a module that leaves a request without its answer until the client's time is up. */
  private void answerForModule(OpenRequest r) {
    if (end(r)) {
      Log.caused("answered for the module: " + r.request.id());
      giveUp(r, 0);
      tell(new ClientDisconnected(r.request.id()));
    }
  }

  private static void giveUp(OpenRequest r, long retryAfterNanos) {
    if (r.mayRefuse()) {
      r.client.refused(retryAfterNanos);
    } else {
      r.client.failed();
    }
  }

  /** Answers all that is open, for an end that leaves no time. */
  public void answerAll() {
    for (OpenRequest r : List.copyOf(table.values())) {
      if (end(r)) {
        giveUp(r, 0);
      }
    }
  }

  /** True once: the caller then owes the client the only final answer. */
  private boolean end(OpenRequest r) {
    if (r.ended) {
      return false;
    }
    r.ended = true;
    if (r.deadlineTimer != null) {
      r.deadlineTimer.cancel(false);
    }
    over.add(r);
    return true;
  }

  // The list of upstreams

  public void updateList(HostList list) {
    updateList(list.snapshot() ? ListKind.FULL : ListKind.DELTA, list);
  }

  private void updateList(ListKind kind, HostList list) {
    upstreams.applyList(kind != ListKind.DELTA, list.hosts());
    tell(new ListUpdate(kind, list.hosts().stream().map(HostList.Host::listed).toList()));
  }

  /** How many upstreams are ready, as the list tells. */
  public int readyUpstreams() {
    return upstreams.readyCount();
  }

  /** Whether no request is open and no attempt is out. */
  public boolean isEmpty() {
    return table.isEmpty();
  }

  // The module

  /** Events wait in line while one is handled: an action may end at once in an event of its own. */
  private void tell(Event event) {
    events.add(event);
    if (handling) {
      return;
    }
    handling = true;
    try {
      for (Event next = events.poll(); next != null; next = events.poll()) {
        module.handle(clock.now(), next, this::perform);
      }
      over.stream().filter(OpenRequest::isComplete).forEach(r -> table.remove(r.request.id(), r));
      over.clear();
    } catch (RuntimeException e) {
      defect.accept(e);
    } finally {
      handling = false;
    }
  }

  /** Exhaustive over the kinds of action; those that this module never emits are an error that names them. */
  private void perform(Action action) {
    if (action instanceof Send a) {
      send(a);
    } else if (action instanceof Cancel a) {
      cancel(a);
    } else if (action instanceof Refuse a) {
      refuse(a);
    } else if (action instanceof Fail a) {
      OpenRequest r = table.get(a.id());
      if (r != null && end(r)) {
        r.client.failed();
      }
    } else if (action instanceof SetTimer a) {
      loop.schedule(
          () -> tell(new TimerFired(a.token())),
          Math.max(0, a.atNanos() - clock.now()),
          TimeUnit.NANOSECONDS);
    } else if (action instanceof Watch a) {
      watch.accept(a.on());
    } else if (action instanceof Balancer.Log a) {
      Log.caused("module: " + a.text());
    } else {
      throw new IllegalStateException("the module asked for what this balancer has no use of: "
          + action.getClass().getSimpleName());
    }
  }

  private void refuse(Refuse a) {
    OpenRequest r = table.get(a.id());
    if (r == null || r.ended) {
      return;
    }
    // Out of the table first: what takes it over may come back here with the same id.
    boolean untouched = !r.mayHaveRun()
        && (r.request.upload() == null || !r.request.upload().isConsumed())
        && r.attempts.stream().noneMatch(UpstreamAttempt::inFlight);
    end(r);
    if (untouched) {
      table.remove(a.id(), r);
    }
    if (untouched && r.client.handOver(r.deadline - clock.now())) {
      return;
    }
    if (guard.mayRefuse(a.id(), r.mayRefuse())) {
      r.client.refused(a.retryAfterNanos());
    } else {
      r.client.failed();
    }
  }

  private void send(Send a) {
    OpenRequest r = table.get(a.id());
    UpstreamTable.Entry upstream = upstreams.get(a.upstream());
    if (r == null || upstream == null) {
      throw new IllegalStateException(
          "the module sent an unknown request or to an unknown upstream");
    }
    UpstreamAttempt attempt = upstream
        .link()
        .attempt(r.attempts.size(), a.upstream(), clock.now(), new UpstreamAttempt.Observer() {
          @Override
          public void ended(UpstreamAttempt ended, Status status, Answer answer) {
            upstreams.attemptEnded(upstream);
            BalancerCore.this.ended(r, ended, status, answer);
          }

          @Override
          public BodySink answerStarted(
              UpstreamAttempt begun, AnswerStart start, FlowControl source) {
            return BalancerCore.this.begins(r, begun, start, source);
          }
        });
    upstreams.attemptStarted(upstream);
    // Checked where the attempt's first byte goes out, which may be a connect later than the
    // decision.
    boolean counts =
        r.attempts.size() < Math.min(r.maxAttempts, settings().limits().maxAttempts());
    r.attempts.add(attempt);
    if (r.attemptLog == null) {
      start(a, r, attempt, upstream, counts);
      return;
    }
    attempt.onWritten(() -> r.attemptLog.requestWritten(r.request, attempt.number));
    r.attemptLog.beforeAttempt(
        r.request,
        attempt.number,
        upstream.host(),
        () -> {
          if (attempt.inFlight()) {
            start(a, r, attempt, upstream, counts);
          }
        },
        () -> attempt.end(Status.NOT_SENT, null));
  }

  private void start(
      Send a,
      OpenRequest r,
      UpstreamAttempt attempt,
      UpstreamTable.Entry upstream,
      boolean counts) {
    long left = r.deadline - clock.now();
    attempt.start(
        r.request,
        a.timeoutNanos() == 0 ? left : Math.min(a.timeoutNanos(), left),
        () -> maySend(r, attempt, upstream, counts),
        clock,
        loop);
  }

  private boolean maySend(
      OpenRequest r, UpstreamAttempt attempt, UpstreamTable.Entry upstream, boolean counts) {
    long now = clock.now();
    // None to one that is known to leave: its grace began when it was told, which may be long
    // before the list came here.
    Denial denial = guard.checkSend(new SendContext(
        r.request.id(),
        r.ended,
        r.ended || r.client.isConnected(),
        upstream.leaving(),
        listOutdated(now),
        r.retryIsSafe(now),
        counts,
        r.bodyIncomplete() ? Long.MAX_VALUE : r.clientDeadline - now,
        attempt.remainingNanos()));
    if (denial != null) {
      Log.caused("request " + r.request.id() + ": attempt " + attempt.number + " not sent, "
          + denial + listAge(now));
    }
    return denial == null;
  }

  private String listAge(long now) {
    return setListCurrency == null
        ? ""
        : ", list " + TimeUnit.NANOSECONDS.toMillis(setListCurrency.age(now)) + " ms old";
  }

  private void cancel(Cancel a) {
    OpenRequest r = table.get(a.id());
    if (r != null && a.attempt() < r.attempts.size()) {
      r.attempts.get(a.attempt()).end(Status.CANCELLED, null);
    }
  }

  /** An answer begins that is passed on while it comes: from now on it is the request's only one. */
  private BodySink begins(
      OpenRequest r, UpstreamAttempt attempt, AnswerStart start, FlowControl source) {
    BodySink sink = r.ended ? null : r.client.beginStream(start, source);
    if (sink != null) {
      end(r);
      r.streamingAttempt = attempt;
      tell(new AnswerStarted(
          r.request.id(),
          attempt.number,
          attempt.upstream,
          attempt.latencyNanos(clock.now() - lag.averageReadDelayNanos())));
    }
    return sink;
  }

  private void ended(OpenRequest r, UpstreamAttempt attempt, Status status, Answer answer) {
    if (status == Status.SERVED && end(r)) {
      r.client.served(answer);
    }
    if (r.attemptLog != null) {
      boolean left = attempt.mayHaveRun() || status.provesNotRun();
      r.attemptLog.attemptEnded(r.request, attempt.number, left ? status : Status.NOT_SENT);
    }
    over.add(r);
    tell(new Outcome(
        r.request.id(),
        attempt.number,
        attempt.upstream,
        status,
        attempt.latencyNanos(clock.now() - lag.averageReadDelayNanos()),
        r.ended && (r.streamingAttempt == null || r.streamingAttempt == attempt),
        Map.of(),
        attempt.stale(),
        r.request.upload() != null && r.request.upload().isConsumed()));
  }
}
