package pumicekeel.lab.program;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import pumicekeel.Balancer.Contract;
import pumicekeel.Balancer.Effect;

/**
 * The truth about a run, reported by the clients and the upstreams around the program, and checked against the four rules and against what
 * a client may read. The first violation is kept; a checksum of all events tells two runs apart.
 */
final class RunVerifier {

  /** Rules on sockets are that much longer than in the simulator. */
  private static final long SOCKET_SLACK = 50_000_000L;

  private static final int ROOTS = 3;
  private static final int REFUSED = 429;
  private static final int UNAVAILABLE = 503;

  private record Run(int server, int cell, long at) {}

  /** One request. */
  private static final class Entry {
    private final RequestScenario scenario;
    private final List<Run> runs = new ArrayList<>();
    private int answers;
    private int status;
    private boolean spoilt;

    private Entry(RequestScenario scenario) {
      this.scenario = scenario;
    }
  }

  private final VirtualLoop loop;
  private final Contract contract;
  private final long windowNanos;
  private final Map<String, Entry> entries = new HashMap<>();
  private final Map<Integer, Long> toldAt = new HashMap<>();
  private final Map<Integer, List<Long>> firstBytes = new HashMap<>();
  private final Consumer<String> trace;
  private long sum = 1;
  private String breach;
  private int served;
  private int refused;

  RunVerifier(VirtualLoop loop, Contract contract, long windowNanos, Consumer<String> trace) {
    this.trace = trace;
    this.loop = loop;
    this.contract = contract;
    this.windowNanos = windowNanos;
  }

  /** Something that must not be. */
  void broken(String what) {
    if (breach == null) {
      note("BROKEN: " + what, 0);
      breach = what + " at " + String.format("%.3f ms", loop.now() / 1e6);
    }
  }

  String breach() {
    return breach;
  }

  /** A number that differs where anything happened otherwise, or at another time. */
  long sum() {
    return sum;
  }

  int asked() {
    return entries.size();
  }

  int served() {
    return served;
  }

  int refused() {
    return refused;
  }

  void note(String what, long number) {
    sum = (sum * 31 + what.hashCode()) * 31 + number;
    sum = sum * 31 + loop.now();
    if (trace != null) {
      trace.accept(String.format("%10.3f ms  %s %d", loop.now() / 1e6, what, number));
    }
  }

  // Clients

  void asked(RequestScenario scenario) {
    entries.put(scenario.id, new Entry(scenario));
    note(
        "asked " + scenario.id + " " + scenario.type + " " + scenario.breach + " "
            + scenario.leaving + ", body",
        scenario.bodySize);
  }

  void sentWhole(RequestScenario scenario) {
    note("sent whole", scenario.number);
  }

  /** Whether a request has run anywhere. */
  boolean ran(RequestScenario scenario) {
    return !entries.get(scenario.id).runs.isEmpty();
  }

  void answered(RequestScenario scenario, int status, byte[] body) {
    Entry e = entries.get(scenario.id);
    note("answered " + scenario.id + ", status", status);
    e.answers++;
    if (e.answers > 1) {
      broken("two answers to " + scenario.id);
    }
    e.status = status;
    if (status == 200) {
      served++;
      if (!Messages.isOf(scenario.id, body)) {
        broken(scenario.id + " got a body that is not its own: "
            + new String(body, 0, Math.min(20, body.length)));
      }
      if (e.runs.isEmpty()) {
        broken(scenario.id + " was served, and ran nowhere");
      }
    } else if (status == REFUSED || status == UNAVAILABLE) {
      refused++;
      judgeRefused(e);
    }
  }

  private void judgeRefused(Entry e) {
    if (e.scenario.effect != Effect.SAFE && !e.runs.isEmpty()) {
      broken(e.scenario.id + " was refused, and ran");
    }
  }

  /** What came on a client's connection is no answer, or one that nobody waits for. */
  void nonsense(String what) {
    broken(what);
  }

  /** It will have no answer. */
  void lost(RequestScenario scenario, String how) {
    if (scenario.owed()) {
      broken("lost " + scenario.id + ": " + how);
    }
  }

  /** An answer that had begun did not come whole, which its client can tell. */
  void cutShort(RequestScenario scenario) {
    note("cut the answer to " + scenario.id + ", status", entries.get(scenario.id).status);
    if (scenario.owed() && !scenario.slowReader && !entries.get(scenario.id).spoilt) {
      broken("the answer to " + scenario.id + " was cut, and its upstream's was not");
    }
  }

  // Upstreams

  /** A request's first byte has come. */
  void begins(int server) {
    firstBytes.computeIfAbsent(server, k -> new ArrayList<>()).add(loop.now());
    long told = toldAt.getOrDefault(server, Long.MAX_VALUE);
    if (loop.now() - told > contract.drainGraceNanos() + SOCKET_SLACK && told != Long.MAX_VALUE) {
      broken("upstream " + server + " was sent to " + (loop.now() - told) / 1_000_000
          + " ms after its leaving was told");
    }
  }

  /** A request's last byte has come, and it runs; what is known of it is null for one that nobody asked. */
  void runs(String id, int server, int cell, byte[] body) {
    note("runs " + id + " at upstream", server);
    Entry e = entries.get(id);
    if (e == null) {
      if (id == null || !id.startsWith("p")) {
        broken("upstream " + server + " was asked what no client asked: " + id);
      }
      return;
    }
    if (body.length > 0 && !Messages.isOf(id, body)) {
      broken(id + " reached its upstream with another body");
    }
    long now = loop.now();
    if (e.scenario.effect == Effect.UNSAFE && !e.runs.isEmpty()) {
      broken(id + " is unsafe and ran twice");
    }
    if (e.scenario.effect == Effect.KEYED
        && e.runs.stream().anyMatch(r -> r.cell() != cell || now - r.at() > windowNanos)) {
      broken(id + " is keyed and had its effect twice");
    }
    if (e.answers > 0
        && (e.status == REFUSED || e.status == UNAVAILABLE)
        && e.scenario.effect != Effect.SAFE) {
      broken(id + " ran after it was refused");
    }
    e.runs.add(new Run(server, cell, now));
  }

  /** An upstream breaks off its answer to it, or never ends it. */
  void spoilt(String id) {
    Entry e = entries.get(id);
    if (e != null) {
      e.spoilt = true;
    }
  }

  /** The list has told the program that an upstream leaves. */
  void told(int server) {
    toldAt.putIfAbsent(server, loop.now());
    note("told that it leaves:", server);
  }

  // The end

  /** Its budget in any window: the multiple of what it can do by then, and a little for chance. */
  void judgeCold(int server, long startedAt, double capacityPerSecond) {
    List<Long> at = firstBytes.getOrDefault(server, List.of());
    for (int i = 0; i < at.size(); i++) {
      long from = at.get(i);
      double warmth = Math.min(
          1,
          contract.coldFrom()
              + (1 - contract.coldFrom()) * (from - startedAt) / contract.warmWithinNanos());
      double budget =
          contract.fallMultiple() * warmth * capacityPerSecond * contract.fallWindowNanos() / 1e9;
      long got = at.stream()
          .filter(t -> t >= from && t < from + contract.fallWindowNanos())
          .count();
      if (got > budget + ROOTS * Math.sqrt(budget)) {
        broken("cold upstream " + server + " got " + got + " of " + Math.round(budget)
            + " in a window");
      }
    }
  }
}
