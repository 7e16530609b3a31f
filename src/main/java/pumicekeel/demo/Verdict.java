package pumicekeel.demo;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.Supplier;
import pumicekeel.load.LoadResults;
import pumicekeel.standin.StandInRpcServer;
import pumicekeel.standin.StandInUpstream;

/**
 * Checks the four rules of the balancer: each request gets exactly one answer, correct and in time; no keyed request runs in two cells;
 * nothing is sent to a draining upstream after its grace; no cold upstream gets more than its budget. Uses the logs of the stand-ins and
 * of their clients, never those of the balancer.
 */
public final class Verdict {

  /** A request that an upstream received; {@code key} is null if the request has none or the upstream rejected it as not run. */
  public record Execution(String name, String key, String className, long atNanos) {}

  private final Map<String, Supplier<List<Execution>>> upstreams;
  private final Map<String, Integer> cells;
  private final List<String> lines = new ArrayList<>();
  private boolean passed = true;

  private Verdict(Map<String, Integer> cells, Map<String, Supplier<List<Execution>>> upstreams) {
    this.upstreams = upstreams;
    this.cells = cells;
  }

  /** Creates a check of HTTP upstreams by name, with the cell of each: an upstream drops repeats of what ran in its cell. */
  public static Verdict ofUpstreams(
      Map<String, StandInUpstream> upstreams, Map<String, Integer> cells) {
    Map<String, Supplier<List<Execution>>> logs = new TreeMap<>();
    upstreams.forEach((name, u) -> logs.put(
        name,
        () -> u.received().stream()
            .map(s -> new Execution(
                s.id(),
                s.mode() == StandInUpstream.Mode.FULL ? null : s.key(),
                s.className(),
                s.atNanos()))
            .toList()));
    return new Verdict(cells, logs);
  }

  /** Creates a check of JSON-RPC servers by name; {@code name} returns a call's name, which is also its key for quote.issue. */
  public static Verdict ofServers(
      Map<String, StandInRpcServer> servers,
      Map<String, Integer> cells,
      Function<StandInRpcServer.ReceivedCall, String> name) {
    Map<String, Supplier<List<Execution>>> logs = new TreeMap<>();
    servers.forEach((server, s) -> logs.put(
        server,
        () -> s.received().stream()
            .map(c -> new Execution(
                name.apply(c),
                c.method().equals("quote.issue") ? name.apply(c) : null,
                c.method(),
                c.atNanos()))
            .toList()));
    return new Verdict(cells, logs);
  }

  public boolean passed() {
    return passed;
  }

  public List<String> lines() {
    return List.copyOf(lines);
  }

  private void addResult(String rule, boolean held, String detail) {
    passed &= held;
    lines.add((held ? "held    " : "BROKEN  ") + rule + ": " + detail);
  }

  /** Rule 1: each request or call received exactly one final answer, in time and correct. */
  public void checkAllAnswered(String subject, LoadResults results) {
    checkAllAnswered(subject, List.of(results));
  }

  /** Rule 1 for the clients of several balancers together. */
  public void checkAllAnswered(String subject, List<LoadResults> all) {
    long sent = all.stream().mapToLong(LoadResults::sent).sum();
    long abandoned = all.stream().mapToLong(LoadResults::abandoned).sum();
    long wrong = all.stream().mapToLong(LoadResults::violations).sum();
    long pending = all.stream().mapToLong(LoadResults::pending).sum();
    List<String> faults =
        all.stream().flatMap(c -> c.faults().stream()).limit(5).toList();
    addResult(
        "no request lost",
        wrong == 0 && pending == 0 && sent > 0,
        sent + " " + subject + " sent"
            + (all.size() == 1 ? "" : " at " + all.size() + " instances")
            + (abandoned == 0 ? "" : ", " + abandoned + " abandoned by their clients") + ", "
            + wrong
            + " lost, late or wrong, " + pending + " still pending"
            + (faults.isEmpty() ? "" : " " + faults));
  }

  /** Checks that each call that a client counts as served was received by a server. */
  public void checkServedWasReceived(LoadResults clients, Function<Execution, String> name) {
    Set<String> seen = new HashSet<>();
    upstreams.values().forEach(u -> u.get().forEach(r -> seen.add(name.apply(r))));
    long missing = clients.served().stream().filter(n -> !seen.contains(n)).count();
    addResult(
        "logs agree",
        missing == 0,
        clients.served().size() + " served, " + missing + " of them received by no server");
  }

  /**
   * Checks that no server received a refused keyed call: its client may repeat it, and servers of another cell would not drop the repeat.
   */
  public void checkRefusedNeverRan(LoadResults clients) {
    Set<String> ran = new HashSet<>();
    upstreams.values().forEach(u -> u.get().forEach(r -> ran.add(r.key())));
    long ranCount = clients.refused().stream().filter(ran::contains).count();
    addResult(
        "refusals are true",
        ranCount == 0,
        clients.refused().size() + " refused, " + ranCount + " of them received by a server");
  }

  /** Rule 2: no key ran in two cells, since only upstreams of the same cell drop a repeat. */
  public void checkNoDuplicateEffect() {
    Map<String, Set<Integer>> ran = new HashMap<>();
    long keyed = 0;
    for (Map.Entry<String, Supplier<List<Execution>>> u : upstreams.entrySet()) {
      for (Execution s : u.getValue().get()) {
        if (s.key() != null) {
          keyed++;
          ran.computeIfAbsent(s.key(), k -> new HashSet<>()).add(cells.get(u.getKey()));
        }
      }
    }
    long duplicated = ran.values().stream().filter(c -> c.size() > 1).count();
    addResult(
        "no effect twice",
        duplicated == 0,
        keyed + " keyed requests received by upstreams, " + duplicated + " keys in two cells");
  }

  /** Rule 3: no request of a class reaches a draining upstream later than the grace after its drain was announced. */
  public void checkDrain(String upstream, String className, long announcedAt, long graceMillis) {
    long end = announcedAt + TimeUnit.MILLISECONDS.toNanos(graceMillis);
    long late =
        executions(upstream, className).filter(s -> s.atNanos() - end > 0).count();
    long before =
        executions(upstream, className).filter(s -> s.atNanos() - end <= 0).count();
    addResult(
        "drains kept",
        late == 0 && before > 0,
        before + " " + className + " at " + upstream + " until " + graceMillis
            + " ms after the announcement, " + late + " later");
  }

  /** Checks that a drain in one pool does not stop the other pool's requests to the upstream. */
  public void checkStillServing(String upstream, String className, long announcedAt) {
    long after = executions(upstream, className)
        .filter(s -> s.atNanos() - announcedAt > 0)
        .count();
    addResult(
        "a drain in one pool only",
        after > 0,
        after + " " + className + " at " + upstream + " after the announcement");
  }

  /**
   * Rule 4: in no window did all pools together send a cold upstream more than its budget, which is the multiple times its current share
   * of capacity times the average that a warm upstream received in the same window. A few more requests are allowed for chance.
   */
  public void checkColdBudget(
      String cold,
      long startedAt,
      double coldFrom,
      double warmSeconds,
      double multiple,
      double windowSeconds) {
    long step = TimeUnit.MILLISECONDS.toNanos(100);
    long window = (long) (windowSeconds * 1e9);
    Map<String, long[]> times = new HashMap<>();
    upstreams.forEach((name, u) ->
        times.put(name, u.get().stream().mapToLong(Execution::atNanos).toArray()));
    long last =
        times.values().stream().flatMapToLong(java.util.Arrays::stream).max().orElse(0);
    double maxUsed = 0;
    boolean withinBudget = true;
    for (long at = startedAt; at + window <= Math.max(last, startedAt + window); at += step) {
      long from = at;
      double received = countWithin(times.get(cold), from, window);
      double averageOfWarm = upstreams.keySet().stream()
          .filter(n -> !n.equals(cold))
          .mapToLong(n -> countWithin(times.get(n), from, window))
          .filter(n -> n > 0)
          .average()
          .orElse(0);
      double capacityShare =
          Math.min(1, coldFrom + (1 - coldFrom) * (from - startedAt) / 1e9 / warmSeconds);
      double budget = multiple * capacityShare * averageOfWarm;
      maxUsed = Math.max(maxUsed, budget == 0 ? 0 : received / budget);
      withinBudget &= received <= budget + 3 * Math.sqrt(budget);
    }
    long all = times.get(cold).length;
    addResult(
        "no cold upstream overloaded",
        withinBudget && all > 0,
        all + " requests at " + cold + ", at most " + Math.round(maxUsed * 100)
            + " % of its budget in any " + windowSeconds + " s");
  }

  private static long countWithin(long[] times, long from, long window) {
    long count = 0;
    for (long at : times) {
      count += at >= from && at < from + window ? 1 : 0;
    }
    return count;
  }

  private java.util.stream.Stream<Execution> executions(String upstream, String className) {
    return upstreams.get(upstream).get().stream().filter(s -> s.className().equals(className));
  }
}
