package pumicekeel.lab.program;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import pumicekeel.Balancer.Contract;
import pumicekeel.Balancer.Effect;

/**
 * Records what the simulated clients and upstreams of a run observe, and checks it against the four rules and against what a client may
 * receive. Keeps the first violation, and a checksum of all events by which two runs can be compared.
 */
final class RunVerifier {

  /** Time limits are this much longer on sockets than in the simulator. */
  private static final long SOCKET_SLACK = 50_000_000L;

  private static final int ROOTS = 3;
  private static final int REFUSED = 429;
  private static final int UNAVAILABLE = 503;

  /** One execution of a request at an upstream. */
  private record Run(int server, int cell, long at) {}

  /** What is known of a request. */
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

  /** Records a violation; only the first one is kept. */
  void broken(String what) {
    if (breach == null) {
      note("BROKEN: " + what, 0);
      breach = what + " at " + String.format("%.3f ms", loop.now() / 1e6);
    }
  }

  /** Returns the first violation, or null if there was none. */
  String breach() {
    return breach;
  }

  /** Returns a checksum of all events and their times. */
  long sum() {
    return sum;
  }

  /** Returns the number of requests that clients sent. */
  int asked() {
    return entries.size();
  }

  /** Returns the number of answers with status 200. */
  int served() {
    return served;
  }

  /** Returns the number of answers with status 429 or 503. */
  int refused() {
    return refused;
  }

  /** Adds an event to the checksum and to the trace. */
  void note(String what, long number) {
    sum = (sum * 31 + what.hashCode()) * 31 + number;
    sum = sum * 31 + loop.now();
    if (trace != null) {
      trace.accept(String.format("%10.3f ms  %s %d", loop.now() / 1e6, what, number));
    }
  }

  // Clients

  /** Records that a client starts to send a request. */
  void asked(RequestScenario scenario) {
    entries.put(scenario.id, new Entry(scenario));
    note(
        "request " + scenario.id + " " + scenario.type + " " + scenario.breach + " "
            + scenario.leaving + ", body",
        scenario.bodySize);
  }

  /** Records that a client has sent the last byte of a request. */
  void sentWhole(RequestScenario scenario) {
    note("sent completely: request", scenario.number);
  }

  /** Returns whether any upstream has executed a request. */
  boolean ran(RequestScenario scenario) {
    return !entries.get(scenario.id).runs.isEmpty();
  }

  /** Records and checks an answer that a client received. */
  void answered(RequestScenario scenario, int status, byte[] body) {
    Entry e = entries.get(scenario.id);
    note("answered " + scenario.id + ", status", status);
    e.answers++;
    if (e.answers > 1) {
      broken("second answer to " + scenario.id);
    }
    e.status = status;
    if (status == 200) {
      served++;
      if (!Messages.isOf(scenario.id, body)) {
        broken(scenario.id + " was answered with a body that is not its own: "
            + new String(body, 0, Math.min(20, body.length)));
      }
      if (e.runs.isEmpty()) {
        broken(scenario.id + " was answered with 200 but executed by no upstream");
      }
    } else if (status == REFUSED || status == UNAVAILABLE) {
      refused++;
      judgeRefused(e);
    }
  }

  private void judgeRefused(Entry e) {
    if (e.scenario.effect != Effect.SAFE && !e.runs.isEmpty()) {
      broken(e.scenario.id + " was refused although it had been executed");
    }
  }

  /** Records data that is not valid, or that does not belong to an open request. */
  void nonsense(String what) {
    broken(what);
  }

  /** Records that a request will not be answered. */
  void lost(RequestScenario scenario, String how) {
    if (scenario.owed()) {
      broken("no answer to " + scenario.id + ": " + how);
    }
  }

  /** Records that an answer was truncated in a way that its client can detect. */
  void cutShort(RequestScenario scenario) {
    note("truncated answer to " + scenario.id + ", status", entries.get(scenario.id).status);
    if (scenario.owed() && !scenario.slowReader && !entries.get(scenario.id).spoilt) {
      broken("the answer to " + scenario.id
          + " was truncated although its upstream sent a complete one");
    }
  }

  // Upstreams

  /** Records that an upstream received the first byte of a request. */
  void begins(int server) {
    firstBytes.computeIfAbsent(server, k -> new ArrayList<>()).add(loop.now());
    long told = toldAt.getOrDefault(server, Long.MAX_VALUE);
    if (loop.now() - told > contract.drainGraceNanos() + SOCKET_SLACK && told != Long.MAX_VALUE) {
      broken("upstream " + server + " received a request " + (loop.now() - told) / 1_000_000
          + " ms after its departure was announced");
    }
  }

  /** Records that an upstream received the last byte of a request and executes it; an ID that no client used is a violation. */
  void runs(String id, int server, int cell, byte[] body) {
    note("executes " + id + " at upstream", server);
    Entry e = entries.get(id);
    if (e == null) {
      if (id == null || !id.startsWith("p")) {
        broken("upstream " + server + " received a request that no client sent: " + id);
      }
      return;
    }
    if (body.length > 0 && !Messages.isOf(id, body)) {
      broken(id + " reached its upstream with a body that is not its own");
    }
    long now = loop.now();
    if (e.scenario.effect == Effect.UNSAFE && !e.runs.isEmpty()) {
      broken(id + " is unsafe and was executed twice");
    }
    if (e.scenario.effect == Effect.KEYED
        && e.runs.stream().anyMatch(r -> r.cell() != cell || now - r.at() > windowNanos)) {
      broken(id + " is keyed and took effect twice");
    }
    if (e.answers > 0
        && (e.status == REFUSED || e.status == UNAVAILABLE)
        && e.scenario.effect != Effect.SAFE) {
      broken(id + " was executed after it was refused");
    }
    e.runs.add(new Run(server, cell, now));
  }

  /** Records that an upstream does not answer a request correctly or completely. */
  void spoilt(String id) {
    Entry e = entries.get(id);
    if (e != null) {
      e.spoilt = true;
    }
  }

  /** Records that discovery announced the departure of an upstream to the program. */
  void told(int server) {
    toldAt.putIfAbsent(server, loop.now());
    note("departure announced: upstream", server);
  }

  // End of the run

  /**
   * Checks the requests of an upstream against its cold budget: in any window at most a multiple of its capacity at that time, plus an
   * allowance of {@link #ROOTS} for chance.
   */
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
        broken("cold upstream " + server + " received " + got + " requests with a budget of "
            + Math.round(budget) + " per window");
      }
    }
  }
}
