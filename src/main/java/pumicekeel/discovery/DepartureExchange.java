package pumicekeel.discovery;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.NavigableSet;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;

/**
 * Exchanges upstream departures among balancers in broadcast datagrams, so that a balancer that receives discovery's lists late, or not
 * at all, sends nothing to departed upstreams. No I/O; times are nanoseconds of one monotonic clock, and the seed is its only source of
 * randomness.
 *
 * <p>A report names the upstreams that departed, or were away for a while, between two versions of the list. An upstream that serves
 * again may receive requests only once its return counts as announced here as well: when the own list says so, or 6 s after another
 * balancer's list did. A balancer whose list is old sends a query; one with a current list replies. A report that reaches back to the
 * version that is known here also confirms the list as of the time at which its sender last received data from discovery.
 *
 * <p>Reports and queries are broadcast after a random delay, and suppressed if an equal one was received meanwhile, so that their
 * number does not grow with the fleet. Each change is reported twice, against loss. A reported departure is kept until a list covers it.
 * If discovery still sends older versions {@link #REPORT_RETENTION_NANOS} later, it is dropped: then the versions here are unrelated to
 * those of its sender.
 */
public final class DepartureExchange {

  private static final long REPORT_JITTER_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
  private static final long REPORT_REPEAT_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);
  private static final long REPLY_JITTER_NANOS = TimeUnit.MILLISECONDS.toNanos(300);
  private static final long QUERY_PERIOD_NANOS = TimeUnit.MILLISECONDS.toNanos(1_000);
  /** Maximum delivery time of a datagram; a later one counts as lost. */
  private static final long MAX_DELIVERY_NANOS = TimeUnit.MILLISECONDS.toNanos(100);
  /** Far longer than one balancer can be ahead of another that discovery sends lists to. */
  private static final long REPORT_RETENTION_NANOS = TimeUnit.SECONDS.toNanos(30);
  /** Departures are reported for this long. */
  private static final long HISTORY_RETENTION_NANOS = TimeUnit.SECONDS.toNanos(120);
  /** Balancers that discovery reaches learn of one return at times that differ by up to this much. */
  private static final long SAME_RETURN_TOLERANCE_NANOS = TimeUnit.SECONDS.toNanos(4);
  /** Maximum number of departures kept from other balancers' reports. */
  private static final int MAX_REPORTED_DEPARTURES = 10_000;

  /** Maximum number of versions that are answered in one go. */
  private static final int MAX_QUERIED_VERSIONS = 8;
  /** Up to this age of the list a query is left to another balancer with an older version. */
  private static final long MAX_DEFERRED_QUERY_AGE_NANOS = TimeUnit.SECONDS.toNanos(4);

  private static final long NEVER = Long.MAX_VALUE;
  /** Earlier than any reading of the clock, and far from an overflow. */
  private static final long IMMEDIATELY = Long.MIN_VALUE / 4;

  /**
   * A departure reported for one upstream: the version, when the report was received, and when another balancer's list reported the
   * return, {@link #NEVER} for not yet.
   */
  private record ReportedDeparture(long toVersion, long receivedAt, long returnedAt) {}

  /**
   * An upstream that serves again according to other balancers, whose return counts as announced by now; it started at
   * {@code startedNanos} at the latest.
   */
  public record ReturnedUpstream(long id, long startedNanos) {}

  /** The datagrams received so far of one report that consists of several; all state the same age. */
  private record PartialReport(
      long from, long to, int ageMillis, int parts, Set<Integer> receivedParts) {

    private static PartialReport of(DepartureMessage message) {
      return new PartialReport(
          message.from(), message.to(), message.ageMillis(), message.parts(), new HashSet<>());
    }

    private boolean includes(DepartureMessage message) {
      return from == message.from()
          && to == message.to()
          && ageMillis == message.ageMillis()
          && parts == message.parts();
    }
  }

  private final ListCurrency currency;
  private final SplittableRandom random;
  /** Steepness of the distribution of suppression delays: the larger the fleet, the fewer delays are short. */
  private final double delaySteepness;

  private final DepartureHistory history = new DepartureHistory();

  private final Map<Long, ReportedDeparture> reportedDepartures = new HashMap<>();
  /** Returns reported by others that counted as announced: the upstream's ID, and when it returned. */
  private final Map<Long, Long> reportedReturns = new HashMap<>();

  private final Map<Integer, PartialReport> partialReports = new HashMap<>();
  /** Version of the own list. */
  private long listVersion;

  /** The version up to which departures are known, from the own list or other balancers' reports. */
  private long knownVersion;
  /** The version up to which all departures have been reported. */
  private long sharedVersion;

  /**
   * The next report of the latest change: when it is due, whether it is the first or the second, from which version on, and whether
   * another balancer has reported the same since.
   */
  private long reportAt = NEVER;

  private int reportRound;
  private long reportFrom;
  private boolean reportedByPeer;
  private long replyAt = NEVER;
  /** Versions from other balancers' queries that are still to be answered. */
  private final NavigableSet<Long> queriedVersions = new TreeSet<>();

  private long queryAt = NEVER;
  private long queriesSent;
  private long reportsSent;
  private long queriesReceived;
  private long reportsReceived;
  /** Reports sent and received that are still to be logged. */
  private final List<String> logLines = new ArrayList<>();

  /** Creates the exchange of one balancer in a tier of {@code size}; {@code currency} belongs to its list. */
  public DepartureExchange(ListCurrency currency, int size, long seed) {
    this.currency = currency;
    delaySteepness = 1 + Math.log(Math.max(1, size));
    random = new SplittableRandom(seed);
  }

  /** Starts with the version of the initial list; other balancers are queried at once for what it has missed. */
  void start(long version) {
    listVersion = version;
    knownVersion = version;
    sharedVersion = version;
    history.restart(version);
    queryAt = IMMEDIATELY;
  }

  /**
   * Returns a random delay within a span, of which few members of a large fleet draw a short one: the first of them spare the others the
   * datagram (Nonnenmacher and Biersack, "Scalable Feedback for Large Groups", 1999).
   */
  private long suppressionDelay(long spanNanos) {
    double fraction = Math.log1p(random.nextDouble() * Math.expm1(delaySteepness)) / delaySteepness;
    return (long) (spanNanos * fraction);
  }

  /** Returns whether an upstream has departed according to other balancers. */
  boolean hasDeparted(long id) {
    return reportedDepartures.containsKey(id);
  }

  /**
   * Records that the own list has reached a version, by a snapshot or by changes to the previous one. Returns the upstreams whose
   * reported departure this version covers.
   */
  Set<Long> listUpdated(long version, boolean snapshot, HostTable.Changes changes, long now) {
    if (version < listVersion) {
      // The version count of another discovery service: what was known of the previous one does not
      // apply to it.
      history.restart(version);
      reportAt = NEVER;
      knownVersion = version;
      sharedVersion = version;
    }
    listVersion = version;
    knownVersion = Math.max(knownVersion, version);
    history.listUpdated(version, snapshot, changes, now);
    if (!changes.departed().isEmpty()) {
      reportFrom = reportAt == NEVER ? sharedVersion : Math.min(reportFrom, sharedVersion);
      reportRound = 1;
      reportedByPeer = false;
      reportAt = now + suppressionDelay(REPORT_JITTER_NANOS);
    }
    Set<Long> cleared = new LinkedHashSet<>();
    reportedDepartures.forEach((id, reported) -> {
      if (reported.toVersion() <= version) {
        cleared.add(id);
      }
    });
    reportedDepartures.keySet().removeAll(cleared);
    return cleared;
  }

  /** Returns the upstreams that serve again according to other balancers and whose return now counts as announced here; each once. */
  public List<ReturnedUpstream> pollReturned(long now) {
    List<ReturnedUpstream> returned = new ArrayList<>();
    reportedDepartures.forEach((id, reported) -> {
      if (reported.returnedAt() != NEVER
          && now - reported.returnedAt()
              > ListCurrency.CHANGE_NOTICE_NANOS + 2 * MAX_DELIVERY_NANOS) {
        returned.add(new ReturnedUpstream(id, reported.returnedAt()));
      }
    });
    for (ReturnedUpstream upstream : returned) {
      reportedDepartures.remove(upstream.id());
      reportedReturns.put(upstream.id(), upstream.startedNanos());
    }
    return returned;
  }

  /**
   * Processes a datagram from the balancer with this number; returns the upstreams that departed according to it and were not known to
   * have.
   */
  public Set<Long> receive(int from, byte[] bytes, long now) {
    DepartureMessage message = DepartureMessage.decode(bytes);
    if (message == null) {
      return Set.of();
    }
    if (message.kind() == DepartureMessage.Kind.ASK) {
      receiveQuery(message, now);
      return Set.of();
    }
    return receiveReport(from, message, now);
  }

  private void receiveQuery(DepartureMessage message, long now) {
    queriesReceived++;
    if (missesHeartbeat(message)) {
      currency.peerQueried(now);
    }
    if (hasFreshList(now)) {
      if (queriedVersions.size() < MAX_QUERIED_VERSIONS) {
        queriedVersions.add(message.from());
      }
      replyAt = Math.min(replyAt, now + suppressionDelay(REPLY_JITTER_NANOS));
    } else if (queryAt != NEVER && replyServesThisToo(message, now)) {
      queryAt =
          Math.max(queryAt, now + QUERY_PERIOD_NANOS / 2 + suppressionDelay(QUERY_PERIOD_NANOS));
    }
  }

  /** Each balancer queries once at its start; only a later query shows that its sender gets no answer from discovery. */
  private static boolean missesHeartbeat(DepartureMessage query) {
    long age = TimeUnit.MILLISECONDS.toNanos(query.ageMillis());
    return age >= ListCurrency.MAX_HEARTBEAT_DELAY_NANOS;
  }

  /** A reply to a query from an older version serves this balancer too, unless its sender's list skipped the version here. */
  private boolean replyServesThisToo(DepartureMessage query, long now) {
    return query.from() == knownVersion
        || query.from() < knownVersion && currency.age(now) < MAX_DEFERRED_QUERY_AGE_NANOS;
  }

  /** Returns whether data from discovery itself arrived recently. */
  private boolean hasFreshList(long now) {
    return now - currency.lastContactAt() <= ListCurrency.MAX_HEARTBEAT_DELAY_NANOS;
  }

  private Set<Long> receiveReport(int from, DepartureMessage message, long now) {
    reportsReceived++;
    long senderContactAt =
        now - TimeUnit.MILLISECONDS.toNanos(message.ageMillis()) - MAX_DELIVERY_NANOS;
    currency.peerReported(senderContactAt);
    Set<Long> newlyDeparted = new LinkedHashSet<>();
    if (reportedDepartures.size() > MAX_REPORTED_DEPARTURES) {
      return newlyDeparted;
    }
    if (message.to() > listVersion) {
      for (DepartureMessage.Departure departure : message.departures()) {
        if (recordDeparture(departure, message.to(), now)) {
          newlyDeparted.add(departure.id());
        }
      }
    }
    if (!allPartsReceived(from, message)) {
      return newlyDeparted;
    }
    if (message.to() >= listVersion) {
      reportedByPeer |= message.covers(reportFrom);
      if (message.covers(sharedVersion)) {
        sharedVersion = message.to();
      }
      queriedVersions.removeIf(message::covers);
      if (queriedVersions.isEmpty()) {
        replyAt = NEVER;
      }
    }
    boolean covers = message.covers(knownVersion);
    logReceived(from, message, covers);
    if (covers) {
      knownVersion = message.to();
      currency.confirmedByPeer(senderContactAt);
    }
    return newlyDeparted;
  }

  private void logReceived(int from, DepartureMessage message, boolean covers) {
    logLines.add("report of balancer " + from + " from version " + message.from() + " to "
        + message.to() + ", " + message.ageMillis() + " ms old, "
        + (covers ? "confirms" : "does not confirm") + " list " + listVersion + ", known to "
        + knownVersion);
  }

  /** Returns a line for the log for each report sent or received since the last call. */
  public List<String> pollLogLines() {
    List<String> lines = List.copyOf(logLines);
    logLines.clear();
    return lines;
  }

  /** Records the departure of one upstream; returns whether it was unknown. An older report changes nothing. */
  private boolean recordDeparture(DepartureMessage.Departure departure, long to, long now) {
    ReportedDeparture before = reportedDepartures.get(departure.id());
    if (before != null && before.toVersion() > to) {
      return false;
    }
    long returnedAt = departure.returnedMillisAgo() == DepartureMessage.AWAY
        ? NEVER
        : now - TimeUnit.MILLISECONDS.toNanos(departure.returnedMillisAgo());
    Long known = before == null && returnedAt != NEVER ? reportedReturns.get(departure.id()) : null;
    if (known != null && Math.abs(known - returnedAt) < SAME_RETURN_TOLERANCE_NANOS) {
      // A repeated report, sent because other balancers queried.
      return false;
    }
    if (before != null && before.returnedAt() != NEVER && returnedAt != NEVER) {
      // The same return from another balancer's list: the earliest report counts.
      returnedAt = Math.min(before.returnedAt(), returnedAt);
    }
    reportedDepartures.put(departure.id(), new ReportedDeparture(to, now, returnedAt));
    return before == null;
  }

  private boolean allPartsReceived(int from, DepartureMessage message) {
    if (message.parts() == 1) {
      return true;
    }
    PartialReport partial = partialReports.get(from);
    if (partial == null || !partial.includes(message)) {
      partial = PartialReport.of(message);
      partialReports.put(from, partial);
    }
    partial.receivedParts().add(message.part());
    return partial.receivedParts().size() == message.parts();
  }

  /** Returns the latest time at which {@link #tick} has something to send. */
  public long nextTickAt() {
    long due = Math.min(reportAt, Math.min(replyAt, queryAt));
    return queryAt == NEVER
        ? Math.min(due, currency.asOf() + ListCurrency.MAX_HEARTBEAT_DELAY_NANOS)
        : due;
  }

  /** Returns the datagrams to broadcast that are due. */
  public List<byte[]> tick(long now) {
    evictExpired(now);
    List<byte[]> out = new ArrayList<>();
    if (now >= reportAt) {
      sendScheduledReport(now, out);
    }
    if (now >= replyAt) {
      replyAt = NEVER;
      if (hasFreshList(now)) {
        appendReplies(now, out);
      }
      queriedVersions.clear();
    }
    appendQueryIfDue(now, out);
    return out;
  }

  /** Two reports of each change suffice, whoever sends them. */
  private void sendScheduledReport(long now, List<byte[]> out) {
    if (!reportedByPeer && hasFreshList(now)) {
      appendReport(reportFrom, now, out);
    }
    reportedByPeer = false;
    reportAt = reportRound == 1
        ? now + REPORT_REPEAT_DELAY_NANOS + suppressionDelay(REPORT_JITTER_NANOS)
        : NEVER;
    reportRound++;
  }

  /** Appends replies to all queries; one that covers every version from the oldest queried one on is enough. */
  private void appendReplies(long now, List<byte[]> out) {
    for (long version : queriedVersions) {
      boolean coversLater = appendReport(version, now, out);
      if (coversLater) {
        return;
      }
    }
  }

  /** Appends a report of all departures after a version, as far as they are known; returns whether it covers later versions too. */
  private boolean appendReport(long afterVersion, long now, List<byte[]> out) {
    DepartureHistory.Report report = history.after(afterVersion, now);
    int age = toMillis(now - currency.lastContactAt());
    DepartureMessage.report(report.kind(), report.from(), listVersion, age, report.departures())
        .forEach(m -> out.add(m.encode()));
    sharedVersion = Math.max(sharedVersion, listVersion);
    reportsSent++;
    boolean coversLater = report.kind() == DepartureMessage.Kind.TELL;
    logLines.add("reports " + report.departures().size() + " changes after version "
        + report.from() + (coversLater ? " and any later one" : " exactly") + ", up to "
        + listVersion + ", asked for those after " + afterVersion);
    return coversLater;
  }

  private static int toMillis(long nanos) {
    return (int) Math.min(Integer.MAX_VALUE, TimeUnit.NANOSECONDS.toMillis(Math.max(0, nanos)));
  }

  private void appendQueryIfDue(long now, List<byte[]> out) {
    if (queryAt == NEVER && now - currency.asOf() > ListCurrency.MAX_HEARTBEAT_DELAY_NANOS) {
      queryAt = now + suppressionDelay(REPLY_JITTER_NANOS);
    }
    if (now < queryAt) {
      return;
    }
    boolean first = queryAt == IMMEDIATELY;
    if (!first && now - currency.asOf() <= ListCurrency.MAX_HEARTBEAT_DELAY_NANOS) {
      queryAt = NEVER;
      return;
    }
    out.add(DepartureMessage.query(knownVersion, toMillis(currency.age(now))).encode());
    queriesSent++;
    queryAt = now + QUERY_PERIOD_NANOS / 2 + suppressionDelay(QUERY_PERIOD_NANOS);
  }

  private void evictExpired(long now) {
    reportedDepartures
        .values()
        .removeIf(
            reported -> currency.lastContactAt() - reported.receivedAt() > REPORT_RETENTION_NANOS);
    reportedReturns.values().removeIf(at -> now - at > HISTORY_RETENTION_NANOS);
    history.evict(now - HISTORY_RETENTION_NANOS);
  }

  /** Returns the exchange's state and counters in one line for operators. */
  public String statusLine() {
    return "departures known to version " + knownVersion + ", by others' word "
        + reportedDepartures.size()
        + ", words sent " + reportsSent + " heard " + reportsReceived + ", questions sent "
        + queriesSent + " heard "
        + queriesReceived;
  }
}
