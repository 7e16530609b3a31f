package pumicekeel.lab.fleet;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;
import pumicekeel.Balancer.Contract;
import pumicekeel.Balancer.Effect;
import pumicekeel.lab.world.Server;

/** Holds the four rules against what reaches the upstreams and the clients. */
final class Judge {

  private record Sent(long at, double work) {}

  /** What a cold one was sent lately. */
  private static final class Cold {
    private final ArrayDeque<Sent> sent = new ArrayDeque<>();
    private long startedAt;
    private double work;
  }

  /** RandomStream: so many roots of the number of requests, in mean ones, may come beyond a budget. */
  private static final double ROOTS = 3;

  private final Contract contract;
  private final double meanWork;
  private final Map<Long, Cold> cold = new HashMap<>();
  private final Map<String, Long> broken = new TreeMap<>();
  private String first;
  private double coldShare;

  Judge(Contract contract, double meanWork) {
    this.contract = contract;
    this.meanWork = meanWork;
  }

  void broken(String rule, long now, String what) {
    broken.merge(rule, 1L, Long::sum);
    if (first == null) {
      first = rule + " at " + now / 1_000_000 + " ms: " + what;
    }
  }

  Map<String, Long> all() {
    return broken;
  }

  String first() {
    return first;
  }

  /** Of a cold one's budget, the most that was used. */
  double coldShare() {
    return coldShare;
  }

  /** New work goes to an upstream whose leaving this balancer was told of so long ago; negative for never. */
  void sent(long server, long toldFor, long now) {
    if (toldFor > contract.drainGraceNanos()) {
      broken(
          "drain",
          now,
          "sent to " + server + " " + toldFor / 1_000_000 + " ms after its leaving was told");
    }
  }

  /** Work goes to one whose start is known; whether it falls over by it. */
  boolean pushesOver(Server server, double work, long now) {
    if (server.warmth(now) >= 1) {
      cold.remove(server.id);
      return false;
    }
    Cold c = cold.computeIfAbsent(server.id, k -> new Cold());
    if (c.startedAt != server.startedAt()) {
      c.sent.clear();
      c.work = 0;
      c.startedAt = server.startedAt();
    }
    c.sent.add(new Sent(now, work));
    c.work += work;
    while (now - c.sent.peek().at() > contract.fallWindowNanos()) {
      c.work -= c.sent.poll().work();
    }
    double budget = contract.fallMultiple()
        * server.warmth(now)
        * server.spec().capacity()
        * contract.fallWindowNanos()
        / 1e9;
    coldShare = Math.max(coldShare, c.work / budget);
    boolean falls = c.work > budget + ROOTS * Math.sqrt(c.sent.size()) * meanWork;
    if (falls) {
      broken(
          "cold",
          now,
          server.id + " got " + Math.round(100 * c.work / budget) + " % of its budget");
    }
    return falls;
  }

  /** An attempt of one try begins to run in a cell. */
  void runs(ClientAttempt t, int cell, long now) {
    if (t.refused && t.ask.kind().requestClass().effect() != Effect.SAFE) {
      broken("twice", now, t.id + " ran after it was refused");
    }
    if (t.ask.kind().requestClass().effect() == Effect.KEYED) {
      if (t.cell >= 0 && t.cell != cell) {
        broken("twice", now, t.id + " ran in two cells");
      }
      t.cell = cell;
    } else if (t.ask.kind().requestClass().effect() == Effect.UNSAFE && t.cell >= 0) {
      broken("twice", now, t.id + " ran twice");
    }
    t.cell = cell;
  }
}
