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
import pumicekeel.Balancer.AnswerArriving;
import pumicekeel.Balancer.AnswerStalled;
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
import pumicekeel.guard.AttemptEnd;
import pumicekeel.guard.Denial;
import pumicekeel.guard.SendContext;
import pumicekeel.guard.ServingGuard;
import pumicekeel.runtime.Clock;
import pumicekeel.runtime.Log;
import pumicekeel.runtime.LoopLag;
import pumicekeel.runtime.Reactor;
import pumicekeel.upstream.PassOnReason;
import pumicekeel.upstream.UpstreamAttempt;
import pumicekeel.upstream.UpstreamLinks;
import pumicekeel.upstream.UpstreamTable;

/** The table of open requests: reports socket events to the decision module and carries out its actions. */
public final class BalancerCore {

  /**
   * An answer is sent this long before the client stops waiting, so that it arrives in time even when the CPU is busy.
   */
  public static final long ANSWER_MARGIN_NANOS = 60_000_000L;
  /**
   * Upper bound of the margin against stalls of the process. Of the time beyond 1.25 times a class's aim, the share in
   * which an answer has no worth is split between waiting and answering, so that a process that stalls at the end of
   * it loses no request, whatever the request's time limit. The bound exists because a late answer is still an answer,
   * and no margin helps against stalls of a second or more.
   */
  private static final long STALL_MARGIN_NANOS = 1_000_000_000L;

  private static final double STALL_MARGIN_PART = 0.5;
  private static final double LATE_AIMS = 1.25;
  /** How long after the module's deadline the core itself answers a request that the module left unanswered. */
  private static final long MODULE_GRACE_NANOS = 20_000_000L;
  /**
   * How long streams may outlast the deadline of a stop: SIGKILL comes 0.7 s after it at the earliest, and a process may be held up for
   * 0.15 s.
   */
  private static final long STREAM_STOP_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
  /** Time for the largest body at half the minimum rate of clients; the front ends slower uploads. */
  private static final long MAX_UPLOAD_NANOS = TimeUnit.MINUTES.toNanos(20);

  private final ActiveSettings activeSettings;
  private final Balancer module;
  private final Clock clock;
  private final EventLoop loop;
  private final ServingGuard guard;
  private final LoopLag lag;
  private final Consumer<RuntimeException> onDefect;
  private final Map<String, OpenRequest> table = new HashMap<>();
  private final EndedRequests endedRequests = new EndedRequests();
  private final UpstreamTable upstreams;
  private final StreamCounters streams = new StreamCounters();
  private final Queue<Event> events = new ArrayDeque<>();
  private final List<OpenRequest> finished = new ArrayList<>();
  private Consumer<Boolean> watch = on -> {};
  private boolean handling;
  private QuotaSource quotaSource;
  /** Tracks whether the list is outdated; null if it cannot be. */
  private ListCurrency listCurrency;

  private long processEndsAt = Long.MAX_VALUE;

  /** Creates a core around a module; {@code onDefect} gets the exceptions that the module throws. */
  public BalancerCore(
      Settings settings,
      Balancer module,
      Reactor reactor,
      LoopLag lag,
      UpstreamLinks links,
      Consumer<RuntimeException> onDefect) {
    activeSettings = new ActiveSettings(settings);
    this.module = module;
    clock = reactor.clock();
    loop = reactor.loop();
    guard = reactor.guard();
    this.lag = lag;
    upstreams = new UpstreamTable(links);
    this.onDefect = onDefect;
  }

  /** Sets the source that tells whether the list is outdated; while it is, nothing is sent. */
  public void setListCurrency(ListCurrency currency) {
    listCurrency = currency;
  }

  private boolean listOutdated(long now) {
    return listCurrency != null && !listCurrency.sendable(now);
  }

  /** Starts with the last known list; {@code watch} is called when the module starts or stops watching the list. */
  public void start(HostList known, Consumer<Boolean> watch) {
    this.watch = watch;
    updateList(ListKind.CACHED, known);
  }

  /** Returns the settings in force. */
  public Settings settings() {
    return activeSettings.current();
  }

  /** Returns the previous settings while clients may still use them; null otherwise. */
  public Settings previousSettings() {
    return activeSettings.previous(clock.now());
  }

  /** Applies new settings: open requests keep their class, later ones use the new settings. */
  public void applySettings(Settings next) {
    if (activeSettings.replace(next, clock.now())) {
      dispatch(new SettingsChanged(next));
    }
  }

  /** Sets the source of this instance's share of tenants' quotas; null for an even share. */
  public void setQuotaSource(QuotaSource source) {
    if (quotaSource != null && source == null) {
      dispatch(new SettingsChanged(settings()));
    }
    quotaSource = source;
  }

  /** Reports changed quota rates to the module before it decides on a request of this tenant. */
  public void refreshQuotas(String tenant, long now) {
    Map<String, Double> rates =
        quotaSource == null || tenant == null ? null : quotaSource.requestArrived(tenant, now);
    if (rates != null) {
      dispatch(new QuotaAllocation(rates));
    }
  }

  // Clients

  /** Submits a request; returns false if its id is already open, since it must not replace the first one. */
  public boolean submit(ClientRequest request, Client client) {
    return submit(request, client, List.of(), null);
  }

  /** Submits a request that {@code recorded} attempts may have run; {@code log} records its attempts, null for no record. */
  public boolean submit(
      ClientRequest request, Client client, List<PriorAttempt> recorded, AttemptLog log) {
    long now = clock.now();
    List<PriorAttempt> priorAttempts = new ArrayList<>(recorded);
    priorAttempts.addAll(endedRequests.attemptsOf(request.id(), now));
    long left = Math.max(0, Math.min(serviceTimeNanos(request), processEndsAt - now));
    OpenRequest r = new OpenRequest(
        request, client, now + left, priorAttempts, log, settings().limits().maxAttempts());
    if (table.putIfAbsent(request.id(), r) != null) {
      return false;
    }
    if (!guard.mayAdmit(listOutdated(now))) {
      table.remove(request.id(), r);
      r.ended = true;
      if (!client.handOver(left)) {
        refuseOrFail(r, retryAfterNanos());
      }
      return true;
    }
    r.clientDeadline = now + request.leftNanos();
    boolean bodyIncomplete = r.bodyIncomplete();
    if (bodyIncomplete) {
      // The time limit starts at the last byte of the body; until then the front ends slow
      // uploads.
      r.deadline = Math.min(now + MAX_UPLOAD_NANOS, processEndsAt);
      request.upload().onComplete(() -> bodyReceived(r));
    } else {
      r.deadlineTimer =
          loop.schedule(() -> answerForModule(r), left + MODULE_GRACE_NANOS, TimeUnit.NANOSECONDS);
    }
    refreshQuotas(request.tenant(), now);
    dispatch(new Request(
        request.id(),
        request.type().name(),
        request.tenant(),
        request.key(),
        r.deadline,
        request.hintNanos(),
        request.retry(),
        priorAttempts,
        usesPreviousSettings(request),
        bodyIncomplete));
    return true;
  }

  /** The longest wait that clients accept, since it is not known when a list will arrive. */
  private long retryAfterNanos() {
    var limits = settings().limits();
    return limits.retryAfter() ? limits.maxRetryAfterNanos() : 0;
  }

  /** Returns the part of the client's time, in nanoseconds, that the module may use; 0 or less for none. */
  public static long serviceTimeNanos(ClientRequest request) {
    long left = request.leftNanos();
    // The aim is not known here if it scales with the request's work.
    double worthlessPart =
        request.type().aimStretch() > 0 ? 0 : Math.max(0, 1 - request.type().lateWorth());
    double pastAim = left - LATE_AIMS * request.type().aimNanos();
    long margin = (long) Math.min(STALL_MARGIN_NANOS, STALL_MARGIN_PART * worthlessPart * pastAim);
    return left - Math.max(ANSWER_MARGIN_NANOS, margin);
  }

  /** Starts the time limit of an already submitted request whose body is now complete. */
  private void bodyReceived(OpenRequest r) {
    if (r.ended) {
      return;
    }
    long now = clock.now();
    long clientNanos = Math.max(0, r.request.leftNanos() - r.request.upload().waitedNanos(now));
    ClientRequest complete = r.request.withTimeLeft(clientNanos);
    long left = Math.max(0, Math.min(serviceTimeNanos(complete), processEndsAt - now));
    r.deadline = now + left;
    r.clientDeadline = now + clientNanos;
    r.deadlineTimer =
        loop.schedule(() -> answerForModule(r), left + MODULE_GRACE_NANOS, TimeUnit.NANOSECONDS);
    long clientLeft = Math.max(left, answerDeadline(r) - now);
    List<UpstreamAttempt> open =
        r.attempts.stream().filter(UpstreamAttempt::inFlight).toList();
    open.forEach(a -> a.bodyReceived(left, clientLeft));
    dispatch(new RequestBodyReceived(r.request.id(), r.deadline));
    open.stream().filter(UpstreamAttempt::answerBegun).forEach(a -> answerArriving(r, a));
  }

  private boolean usesPreviousSettings(ClientRequest request) {
    return previousSettings() != null && !settings().classes().contains(request.type());
  }

  /** Limits the deadlines of open and future requests to the process's remaining time. */
  public void limitDeadlines(long nanos) {
    processEndsAt = clock.now() + nanos;
    if (!streams.isEmpty()) {
      Log.line(streams.logLine());
    }
    table.values().stream()
        .filter(r -> !r.ended && Math.max(r.deadline, r.clientDeadline) > processEndsAt)
        .forEach(r -> loop.schedule(() -> answerForModule(r), nanos, TimeUnit.NANOSECONDS));
    loop.schedule(this::abortStreams, nanos + STREAM_STOP_NANOS, TimeUnit.NANOSECONDS);
  }

  /** Ends streamed answers: they have no deadline of their own, and the process cannot wait longer for them. */
  private void abortStreams() {
    List.copyOf(table.values()).stream()
        .filter(r -> r.streamingAttempt != null)
        .forEach(r -> r.streamingAttempt.end(AttemptEnd.STOPPING, Status.CANCELLED, null));
  }

  /** Ends a request whose client has disconnected, or its streamed answer. */
  public void clientDisconnected(String id) {
    OpenRequest r = table.get(id);
    if (r != null && finish(r)) {
      dispatch(new ClientDisconnected(id));
    } else if (r != null && r.streamingAttempt != null) {
      r.streamingAttempt.end(AttemptEnd.CLIENT_LEFT, Status.CANCELLED, null);
    }
  }

  /** Answers a request whose client's time is up before its body is complete; no upstream has begun it. */
  public void timeUp(String id) {
    OpenRequest r = table.get(id);
    if (r != null && !r.ended) {
      answer(
          r, "time up before its body was complete, " + r.request.upload().describe(clock.now()));
      r.attempts.forEach(a -> a.end(AttemptEnd.TIME_UP, Status.CANCELLED, null));
    }
  }

  /** Answers a request that the module left unanswered until its deadline. */
  private void answerForModule(OpenRequest r) {
    if (!passOnBegunAnswer(r)) {
      answer(r, "answered in place of the module");
    }
  }

  /** Passes on an answer that has begun, in place of a final answer made here; returns false if there is none. */
  private static boolean passOnBegunAnswer(OpenRequest r) {
    while (!r.ended) {
      UpstreamAttempt likeliest = r.likeliestToEnd(null);
      if (likeliest == null) {
        return false;
      }
      if (likeliest.startPassingOn(PassOnReason.TIME_ALMOST_UP)) {
        return true;
      }
    }
    return false;
  }

  private void answer(OpenRequest r, String reason) {
    if (finish(r)) {
      Log.rateLimited("request " + r.request.id() + ": " + reason);
      refuseOrFail(r, 0);
      dispatch(new ClientDisconnected(r.request.id()));
    }
  }

  /** Returns until when an answer that has begun may arrive: an early answer is worth nothing in its place. */
  private long answerDeadline(OpenRequest r) {
    return Math.min(r.clientDeadline, processEndsAt);
  }

  /** Gives a request whose answer has begun its client's whole time; without the body's end, that has not started. */
  private void answerArriving(OpenRequest r, UpstreamAttempt attempt) {
    if (r.ended || r.bodyIncomplete()) {
      return;
    }
    long deadline = answerDeadline(r);
    if (r.deadlineTimer != null) {
      r.deadlineTimer.cancel(false);
    }
    r.deadlineTimer = loop.schedule(
        () -> answerForModule(r),
        deadline - clock.now() + MODULE_GRACE_NANOS,
        TimeUnit.NANOSECONDS);
    dispatch(new AnswerArriving(r.request.id(), attempt.number, deadline));
  }

  private static void refuseOrFail(OpenRequest r, long retryAfterNanos) {
    if (r.mayRefuse()) {
      r.client.refused(retryAfterNanos);
    } else {
      r.client.failed();
    }
  }

  /** Answers all open requests at once, for a stop that leaves no time. */
  public void answerAll() {
    for (OpenRequest r : List.copyOf(table.values())) {
      if (finish(r)) {
        refuseOrFail(r, 0);
      }
    }
  }

  /** Marks a request as finished; returns true only once, and the caller then has to send the only final answer. */
  private boolean finish(OpenRequest r) {
    if (r.ended) {
      return false;
    }
    r.ended = true;
    if (r.deadlineTimer != null) {
      r.deadlineTimer.cancel(false);
    }
    finished.add(r);
    return true;
  }

  // The list of upstreams

  /** Applies an update of the list of upstreams. */
  public void updateList(HostList list) {
    updateList(list.snapshot() ? ListKind.FULL : ListKind.DELTA, list);
  }

  private void updateList(ListKind kind, HostList list) {
    upstreams.applyList(kind != ListKind.DELTA, list.hosts());
    dispatch(
        new ListUpdate(kind, list.hosts().stream().map(HostList.Host::listed).toList()));
  }

  /** Returns the number of upstreams that the list has as ready. */
  public int readyUpstreams() {
    return upstreams.readyCount();
  }

  /** Returns whether no request is open and no attempt is in flight. */
  public boolean isEmpty() {
    return table.isEmpty();
  }

  // The module

  /**
   * Queues an event and handles the queue unless an event is being handled: an action may cause another event at once.
   */
  private void dispatch(Event event) {
    events.add(event);
    if (handling) {
      return;
    }
    handling = true;
    try {
      for (Event next = events.poll(); next != null; next = events.poll()) {
        module.handle(clock.now(), next, this::perform);
      }
      finished.stream().filter(OpenRequest::isComplete).forEach(this::remove);
      finished.clear();
    } catch (RuntimeException e) {
      onDefect.accept(e);
    } finally {
      handling = false;
    }
  }

  private void remove(OpenRequest r) {
    if (!table.remove(r.request.id(), r)) {
      return;
    }
    List<PriorAttempt> attempts = r.harmfulAttempts();
    if (!attempts.isEmpty()) {
      endedRequests.add(r.request.id(), attempts, clock.now());
    }
  }

  /** Carries out an action; an action of a kind that this core does not support is an error that names it. */
  private void perform(Action action) {
    if (action instanceof Send a) {
      send(a);
    } else if (action instanceof Cancel a) {
      cancel(a);
    } else if (action instanceof Refuse a) {
      refuse(a);
    } else if (action instanceof Fail a) {
      OpenRequest r = table.get(a.id());
      if (r != null && !passOnBegunAnswer(r) && finish(r)) {
        r.client.failed();
      }
    } else if (action instanceof SetTimer a) {
      loop.schedule(
          () -> dispatch(new TimerFired(a.token())),
          Math.max(0, a.atNanos() - clock.now()),
          TimeUnit.NANOSECONDS);
    } else if (action instanceof Watch a) {
      watch.accept(a.on());
    } else if (action instanceof Balancer.Log a) {
      Log.rateLimited("module: " + a.text());
    } else {
      throw new IllegalStateException(
          "unsupported action of the module: " + action.getClass().getSimpleName());
    }
  }

  private void refuse(Refuse a) {
    OpenRequest r = table.get(a.id());
    if (r == null || r.ended || passOnBegunAnswer(r)) {
      return;
    }
    // Removed from the table first: what takes the request over may submit it here again under the
    // same id.
    boolean untouched = !r.mayHaveRun()
        && (r.request.upload() == null || !r.request.upload().isConsumed())
        && r.attempts.stream().noneMatch(UpstreamAttempt::inFlight);
    finish(r);
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
          "the module sent an unknown request or used an unknown upstream");
    }
    UpstreamAttempt attempt = upstream
        .link()
        .attempt(r.attempts.size(), a.upstream(), clock.now(), new UpstreamAttempt.Observer() {
          @Override
          public void ended(UpstreamAttempt ended, Status status, Answer answer) {
            upstreams.attemptEnded(upstream);
            if (r.streamingAttempt == ended) {
              streams.countEnd(ended.endReason(), clock.now() > r.clientDeadline);
            }
            BalancerCore.this.attemptEnded(r, ended, status, answer);
          }

          @Override
          public BodySink answerStarted(
              UpstreamAttempt begun, AnswerStart start, FlowControl source, PassOnReason reason) {
            BodySink sink = BalancerCore.this.answerStarted(r, begun, start, source);
            if (sink != null) {
              streams.countStart(reason);
            }
            return sink;
          }

          @Override
          public UpstreamAttempt likeliestToEnd(UpstreamAttempt due) {
            return r.likeliestToEnd(due);
          }

          @Override
          public void answerArriving(UpstreamAttempt arriving) {
            BalancerCore.this.answerArriving(r, arriving);
          }

          @Override
          public void answerStalled(UpstreamAttempt stalled) {
            dispatch(new AnswerStalled(r.request.id(), stalled.number));
          }
        });
    upstreams.attemptStarted(upstream);
    // Checked when the attempt's first byte is sent, which may be one connect later than the
    // decision.
    boolean withinAttemptLimit =
        r.attempts.size() < Math.min(r.maxAttempts, settings().limits().maxAttempts());
    r.addAttempt(attempt, upstream.host().listed());
    if (r.attemptLog == null) {
      start(a, r, attempt, upstream, withinAttemptLimit);
      return;
    }
    attempt.onWritten(() -> r.attemptLog.requestWritten(r.request, attempt.number));
    r.attemptLog.beforeAttempt(
        r.request,
        attempt.number,
        upstream.host(),
        () -> {
          if (attempt.inFlight()) {
            start(a, r, attempt, upstream, withinAttemptLimit);
          }
        },
        () -> attempt.end(AttemptEnd.NOT_RECORDED, Status.NOT_SENT, null));
  }

  private void start(
      Send a,
      OpenRequest r,
      UpstreamAttempt attempt,
      UpstreamTable.Entry upstream,
      boolean withinAttemptLimit) {
    long left = r.deadline - clock.now();
    attempt.start(
        r.request,
        a.timeoutNanos() == 0 ? left : Math.min(a.timeoutNanos(), left),
        Math.max(left, answerDeadline(r) - clock.now()),
        () -> maySend(r, attempt, upstream, withinAttemptLimit),
        clock,
        loop);
  }

  private boolean maySend(
      OpenRequest r,
      UpstreamAttempt attempt,
      UpstreamTable.Entry upstream,
      boolean withinAttemptLimit) {
    long now = clock.now();
    // Nothing is sent to an upstream that is known to be leaving: its grace began with its
    // announcement, which may be long before the list arrived here.
    Denial denial = guard.checkSend(new SendContext(
        r.request.id(),
        r.ended,
        r.ended || r.client.isConnected(),
        upstream.leaving(),
        listOutdated(now),
        r.repeatIsHarmless(attempt, now),
        withinAttemptLimit,
        r.bodyIncomplete() ? Long.MAX_VALUE : r.clientDeadline - now,
        attempt.remainingNanos()));
    if (denial != null) {
      Log.rateLimited("request " + r.request.id() + ": attempt " + attempt.number + " not sent, "
          + denial + listAge(now));
    }
    return denial == null;
  }

  private String listAge(long now) {
    return listCurrency == null
        ? ""
        : ", list " + TimeUnit.NANOSECONDS.toMillis(listCurrency.age(now)) + " ms old";
  }

  private void cancel(Cancel a) {
    OpenRequest r = table.get(a.id());
    if (r == null || a.attempt() >= r.attempts.size()) {
      return;
    }
    UpstreamAttempt attempt = r.attempts.get(a.attempt());
    if (attempt != r.streamingAttempt) {
      attempt.end(AttemptEnd.CANCELLED, Status.CANCELLED, null);
    }
  }

  /** Starts a streamed answer, which from now on is the request's only answer. */
  private BodySink answerStarted(
      OpenRequest r, UpstreamAttempt attempt, AnswerStart start, FlowControl source) {
    BodySink sink = r.ended ? null : r.client.beginStream(start, source);
    if (sink != null) {
      finish(r);
      r.streamingAttempt = attempt;
      dispatch(new AnswerStarted(
          r.request.id(),
          attempt.number,
          attempt.upstream,
          attempt.latencyNanos(clock.now() - lag.averageReadDelayNanos())));
    }
    return sink;
  }

  private void attemptEnded(OpenRequest r, UpstreamAttempt attempt, Status status, Answer answer) {
    if (status == Status.SERVED && finish(r)) {
      r.client.served(answer);
    }
    if (r.attemptLog != null) {
      boolean firstByteSent = attempt.mayHaveRun() || status.provesNotRun();
      r.attemptLog.attemptEnded(
          r.request, attempt.number, firstByteSent ? status : Status.NOT_SENT);
    }
    finished.add(r);
    dispatch(new Outcome(
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
