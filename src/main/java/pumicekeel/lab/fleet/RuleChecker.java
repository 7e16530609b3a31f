package pumicekeel.lab.fleet;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import pumicekeel.Balancer.Contract;
import pumicekeel.Balancer.Effect;
import pumicekeel.lab.world.Server;

/** Checks the four serving rules against what reaches the upstreams and the clients. */
final class RuleChecker {

  private record SentWork(long at, double work) {}

  /** The work that was sent to a cold upstream within the window of its budget. */
  private static final class ColdUpstream {
    private final ArrayDeque<SentWork> sent = new ArrayDeque<>();
    private long startedAt;
    private double work;
  }

  /**
   * Tolerated excess over a cold budget, in mean requests times the square root of their number: the work of a request is random, so the
   * sum may exceed the budget by chance.
   */
  private static final double RANDOM_EXCESS_FACTOR = 3;

  private final Contract contract;
  private final double meanWork;
  private final Map<Long, ColdUpstream> coldUpstreams = new HashMap<>();
  private final Map<String, Long> violations = new TreeMap<>();
  private String firstViolation;
  private double coldShare;

  RuleChecker(Contract contract, double meanWork) {
    this.contract = contract;
    this.meanWork = meanWork;
  }

  /** Records a violation of a rule. */
  void recordViolation(String rule, long now, String description) {
    violations.merge(rule, 1L, Long::sum);
    if (firstViolation == null) {
      firstViolation = rule + " at " + now / 1_000_000 + " ms: " + description;
    }
  }

  /** Returns the number of violations by rule. */
  Map<String, Long> violations() {
    return violations;
  }

  /** Returns the first violation, or null. */
  String firstViolation() {
    return firstViolation;
  }

  /** Returns the maximum share of its budget that any cold upstream was sent. */
  double coldShare() {
    return coldShare;
  }

  /** Checks a send to an upstream whose drain the balancer has known for {@code drainKnownForNanos}; 0 for no drain. */
  void checkDrain(long server, long drainKnownForNanos, long now) {
    if (drainKnownForNanos > contract.drainGraceNanos()) {
      recordViolation(
          "drain",
          now,
          "sent to " + server + " " + drainKnownForNanos / 1_000_000
              + " ms after its drain was known");
    }
  }

  /** Accounts for work sent to an upstream whose start the balancer knows. Returns whether the work exceeds its cold budget. */
  boolean overloadsCold(Server server, double work, long now) {
    if (server.warmth(now) >= 1) {
      coldUpstreams.remove(server.id);
      return false;
    }
    ColdUpstream upstream = coldUpstreams.computeIfAbsent(server.id, k -> new ColdUpstream());
    if (upstream.startedAt != server.startedAt()) {
      upstream.sent.clear();
      upstream.work = 0;
      upstream.startedAt = server.startedAt();
    }
    upstream.sent.add(new SentWork(now, work));
    upstream.work += work;
    while (now - upstream.sent.peek().at() > contract.fallWindowNanos()) {
      upstream.work -= upstream.sent.poll().work();
    }
    double budget = contract.fallMultiple()
        * server.warmth(now)
        * server.spec().capacity()
        * contract.fallWindowNanos()
        / 1e9;
    coldShare = Math.max(coldShare, upstream.work / budget);
    boolean overloaded =
        upstream.work > budget + RANDOM_EXCESS_FACTOR * Math.sqrt(upstream.sent.size()) * meanWork;
    if (overloaded) {
      recordViolation(
          "cold",
          now,
          server.id + " got " + Math.round(100 * upstream.work / budget) + " % of its budget");
    }
    return overloaded;
  }

  /** Checks the start of an attempt in a cell. */
  void checkStart(ClientTry clientTry, int cell, long now) {
    if (clientTry.refused && clientTry.arrival.kind().requestClass().effect() != Effect.SAFE) {
      recordViolation("twice", now, clientTry.id + " ran after it was refused");
    }
    if (clientTry.arrival.kind().requestClass().effect() == Effect.KEYED) {
      if (clientTry.cell >= 0 && clientTry.cell != cell) {
        recordViolation("twice", now, clientTry.id + " ran in two cells");
      }
      clientTry.cell = cell;
    } else if (clientTry.arrival.kind().requestClass().effect() == Effect.UNSAFE
        && clientTry.cell >= 0) {
      recordViolation("twice", now, clientTry.id + " ran twice");
    }
    clientTry.cell = cell;
  }
}
