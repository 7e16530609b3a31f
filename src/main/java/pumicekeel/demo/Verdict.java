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

/** The four rules, held against the logs of the stand-ins and of their clients, never against the balancer's own. */
public final class Verdict {

  /** Something that an upstream ran, or may have run; {@code key} is null where it has none, or surely did not run. */
  public record Execution(String name, String key, String className, long atNanos) {}

  private final Map<String, Supplier<List<Execution>>> upstreams;
  private final Map<String, Integer> cells;
  private final List<String> lines = new ArrayList<>();
  private boolean passed = true;

  private Verdict(Map<String, Integer> cells, Map<String, Supplier<List<Execution>>> upstreams) {
    this.upstreams = upstreams;
    this.cells = cells;
  }

  /** HTTP upstreams by name, and the cell of each: those of one cell drop each other's repeats. */
  public static Verdict ofUpstreams(
      Map<String, StandInUpstream> upstreams, Map<String, Integer> cells) {
    Map<String, Supplier<List<Execution>>> logs = new TreeMap<>();
    upstreams.forEach((name, u) -> logs.put(
        name,
        () -> u.seen().stream()
            .map(s -> new Execution(
                s.id(),
                s.mode() == StandInUpstream.Mode.FULL ? null : s.key(),
                s.className(),
                s.atNanos()))
            .toList()));
    return new Verdict(cells, logs);
  }

  /** JSON-RPC servers by name; {@code name} tells a call's own, which is its key where its method is quote.issue. */
  public static Verdict ofServers(
      Map<String, StandInRpcServer> servers,
      Map<String, Integer> cells,
      Function<StandInRpcServer.Seen, String> name) {
    Map<String, Supplier<List<Execution>>> logs = new TreeMap<>();
    servers.forEach((server, s) -> logs.put(
        server,
        () -> s.seen().stream()
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

  private void rule(String what, boolean held, String detail) {
    passed &= held;
    lines.add((held ? "held    " : "BROKEN  ") + what + ": " + detail);
  }

  /** Rule 1: each request or call got exactly one final answer in time, and the right one. */
  public void checkAllAnswered(String what, LoadResults results) {
    checkAllAnswered(what, List.of(results));
  }

  /** Rule 1 for clients of many balancers together. */
  public void checkAllAnswered(String what, List<LoadResults> all) {
    long sent = all.stream().mapToLong(LoadResults::sent).sum();
    long left = all.stream().mapToLong(LoadResults::abandoned).sum();
    long wrong = all.stream().mapToLong(LoadResults::violations).sum();
    long pending = all.stream().mapToLong(LoadResults::pending).sum();
    List<String> faults =
        all.stream().flatMap(c -> c.faults().stream()).limit(5).toList();
    rule(
        "no request lost",
        wrong == 0 && pending == 0 && sent > 0,
        sent + " " + what + " asked"
            + (all.size() == 1 ? "" : " at " + all.size() + " instances")
            + (left == 0 ? "" : ", " + left + " left by their clients") + ", " + wrong
            + " lost, late or wrong, " + pending + " without an end"
            + (faults.isEmpty() ? "" : " " + faults));
  }

  /** Each call that its client holds for served was seen by a server. */
  public void checkServedWasReceived(LoadResults clients, Function<Execution, String> name) {
    Set<String> seen = new HashSet<>();
    upstreams.values().forEach(u -> u.get().forEach(r -> seen.add(name.apply(r))));
    long never = clients.served().stream().filter(n -> !seen.contains(n)).count();
    rule(
        "logs agree",
        never == 0,
        clients.served().size() + " served, " + never + " of them unknown to every server");
  }

  /** A keyed call that its client was told to be refused, where only servers of one cell drop repeats, never ran. */
  public void checkRefusedNeverRan(LoadResults clients) {
    Set<String> ran = new HashSet<>();
    upstreams.values().forEach(u -> u.get().forEach(r -> ran.add(r.key())));
    long untrue = clients.refused().stream().filter(ran::contains).count();
    rule(
        "refusals are true",
        untrue == 0,
        clients.refused().size() + " refused, " + untrue + " of them seen by a server");
  }

  /** Rule 2: no key ran in two cells, since only upstreams of one cell drop a repeat. */
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
    long twice = ran.values().stream().filter(c -> c.size() > 1).count();
    rule(
        "no effect twice",
        twice == 0,
        keyed + " keyed requests seen by upstreams, " + twice + " keys in two cells");
  }

  /** Rule 3: nothing of a class reaches a draining upstream so long after the word of it was written. */
  public void checkDrain(String upstream, String className, long toldAt, long graceMillis) {
    long end = toldAt + TimeUnit.MILLISECONDS.toNanos(graceMillis);
    long late = of(upstream, className).filter(s -> s.atNanos() - end > 0).count();
    long before = of(upstream, className).filter(s -> s.atNanos() - end <= 0).count();
    rule(
        "drains kept",
        late == 0 && before > 0,
        before + " " + className + " at " + upstream + " until " + graceMillis
            + " ms after the word, " + late + " later");
  }

  /** A drain in one pool leaves the other's work alone. */
  public void checkStillServing(String upstream, String className, long toldAt) {
    long after = of(upstream, className).filter(s -> s.atNanos() - toldAt > 0).count();
    rule(
        "a drain in one pool only",
        after > 0,
        after + " " + className + " at " + upstream + " after that");
  }

  /**
   * Rule 4: in no window did all pools together send a cold upstream more than the multiple of its present part of what
   * a warm one got on average in the same window; a few requests more are chance.
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
    double worst = 0;
    boolean held = true;
    for (long at = startedAt; at + window <= Math.max(last, startedAt + window); at += step) {
      long from = at;
      double got = within(times.get(cold), from, window);
      double warm = upstreams.keySet().stream()
          .filter(n -> !n.equals(cold))
          .mapToLong(n -> within(times.get(n), from, window))
          .filter(n -> n > 0)
          .average()
          .orElse(0);
      double part = Math.min(1, coldFrom + (1 - coldFrom) * (from - startedAt) / 1e9 / warmSeconds);
      double budget = multiple * part * warm;
      worst = Math.max(worst, budget == 0 ? 0 : got / budget);
      held &= got <= budget + 3 * Math.sqrt(budget);
    }
    long all = times.get(cold).length;
    rule(
        "no cold upstream pushed over",
        held && all > 0,
        all + " requests at " + cold + ", at most " + Math.round(worst * 100)
            + " % of its budget in any " + windowSeconds + " s");
  }

  private static long within(long[] times, long from, long window) {
    long count = 0;
    for (long at : times) {
      count += at >= from && at < from + window ? 1 : 0;
    }
    return count;
  }

  private java.util.stream.Stream<Execution> of(String upstream, String className) {
    return upstreams.get(upstream).get().stream().filter(s -> s.className().equals(className));
  }
}
