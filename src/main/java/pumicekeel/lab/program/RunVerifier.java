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
  private static final long SOCKET_SLACK_NANOS = 50_000_000L;

  private static final int STANDARD_DEVIATIONS = 3;
  private static final int STATUS_TOO_MANY_REQUESTS = 429;
  private static final int STATUS_UNAVAILABLE = 503;

  /** One execution of a request at an upstream. */
  private record Execution(int server, int cell, long atNanos) {}

  /** What is known of a request. */
  private static final class RequestRecord {
    private final RequestScenario scenario;
    private final List<Execution> executions = new ArrayList<>();
    private int answers;
    private int status;
    private boolean defective;
    /** Whether a sound answer ends behind its client's time. */
    private boolean overtime;

    private RequestRecord(RequestScenario scenario) {
      this.scenario = scenario;
    }
  }

  private final VirtualLoop loop;
  private final Contract contract;
  private final long dedupWindowNanos;
  private final Map<String, RequestRecord> records = new HashMap<>();
  private final Map<Integer, Long> departureNanos = new HashMap<>();
  private final Map<Integer, List<Long>> firstByteNanos = new HashMap<>();
  private final Consumer<String> trace;
  private long checksum = 1;
  private long streamsMayEndAtNanos = Long.MAX_VALUE;
  private String violation;
  private int served;
  private int refused;

  RunVerifier(VirtualLoop loop, Contract contract, long dedupWindowNanos, Consumer<String> trace) {
    this.trace = trace;
    this.loop = loop;
    this.contract = contract;
    this.dedupWindowNanos = dedupWindowNanos;
  }

  /** Records a violation; only the first one is kept. */
  void reportViolation(String description) {
    if (violation == null) {
      note("BROKEN: " + description, 0);
      violation = description + " at " + String.format("%.3f ms", loop.now() / 1e6);
    }
  }

  /** Returns the first violation, or null if there was none. */
  String violation() {
    return violation;
  }

  /** Returns a checksum of all events and their times. */
  long checksum() {
    return checksum;
  }

  /** Returns the number of requests that clients sent. */
  int requests() {
    return records.size();
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
  void note(String description, long number) {
    checksum = (checksum * 31 + description.hashCode()) * 31 + number;
    checksum = checksum * 31 + loop.now();
    if (trace != null) {
      trace.accept(String.format("%10.3f ms  %s %d", loop.now() / 1e6, description, number));
    }
  }

  // Clients

  /** Records that a client starts to send a request. */
  void requestStarted(RequestScenario scenario) {
    records.put(scenario.id, new RequestRecord(scenario));
    note(
        "request " + scenario.id + " " + scenario.className + " " + scenario.breach + " "
            + scenario.leaving + ", body",
        scenario.bodyBytes);
  }

  /** Records that a client has sent the last byte of a request. */
  void requestSent(RequestScenario scenario) {
    note("sent completely: request", scenario.number);
  }

  /** Returns whether any upstream has executed a request. */
  boolean wasExecuted(RequestScenario scenario) {
    return !records.get(scenario.id).executions.isEmpty();
  }

  /** Records and checks an answer that a client received. */
  void answered(RequestScenario scenario, int status, byte[] body) {
    RequestRecord request = records.get(scenario.id);
    note("answered " + scenario.id + ", status", status);
    request.answers++;
    if (request.answers > 1) {
      reportViolation("second answer to " + scenario.id);
    }
    request.status = status;
    if (status == 200) {
      served++;
      if (!HttpMessageReader.isBodyOf(scenario.id, body)) {
        reportViolation(scenario.id + " was answered with a body that is not its own: "
            + new String(body, 0, Math.min(20, body.length)));
      }
      if (request.executions.isEmpty()) {
        reportViolation(scenario.id + " was answered with 200 but executed by no upstream");
      }
    } else if (status == STATUS_TOO_MANY_REQUESTS || status == STATUS_UNAVAILABLE) {
      refused++;
      checkRefused(request);
    }
  }

  private void checkRefused(RequestRecord request) {
    if (request.scenario.effect != Effect.SAFE && !request.executions.isEmpty()) {
      reportViolation(request.scenario.id + " was refused although it had been executed");
    }
  }

  /** Records data that is not valid, or that does not belong to an open request. */
  void invalidData(String description) {
    reportViolation(description);
  }

  /** Records that a request will not be answered. */
  void notAnswered(RequestScenario scenario, String reason) {
    if (scenario.requiresAnswer()) {
      reportViolation("no answer to " + scenario.id + ": " + reason);
    }
  }

  /** Records that an answer was truncated in a way that its client can detect. */
  void answerTruncated(RequestScenario scenario) {
    note("truncated answer to " + scenario.id + ", status", records.get(scenario.id).status);
    RequestRecord request = records.get(scenario.id);
    boolean endedByStop = request.overtime && loop.now() >= streamsMayEndAtNanos;
    if (scenario.requiresAnswer() && !scenario.slowReader && !request.defective && !endedByStop) {
      reportViolation("the answer to " + scenario.id
          + " was truncated although its upstream sent a complete one");
    }
  }

  // Upstreams

  /** Records that an upstream received the first byte of a request; after its drain grace that is a violation. */
  void firstByteReceived(int server) {
    firstByteNanos.computeIfAbsent(server, k -> new ArrayList<>()).add(loop.now());
    long announcedNanos = departureNanos.getOrDefault(server, Long.MAX_VALUE);
    if (loop.now() - announcedNanos > contract.drainGraceNanos() + SOCKET_SLACK_NANOS
        && announcedNanos != Long.MAX_VALUE) {
      reportViolation("upstream " + server + " received a request "
          + (loop.now() - announcedNanos) / 1_000_000 + " ms after its departure was announced");
    }
  }

  /** Records that an upstream received the last byte of a request and executes it; an ID that no client used is a violation. */
  void executed(String id, int server, int cell, byte[] body) {
    note("executes " + id + " at upstream", server);
    RequestRecord request = records.get(id);
    if (request == null) {
      if (id == null || !id.startsWith("p")) {
        reportViolation("upstream " + server + " received a request that no client sent: " + id);
      }
      return;
    }
    if (body.length > 0 && !HttpMessageReader.isBodyOf(id, body)) {
      reportViolation(id + " reached its upstream with a body that is not its own");
    }
    long now = loop.now();
    if (request.scenario.effect == Effect.UNSAFE && !request.executions.isEmpty()) {
      reportViolation(id + " is unsafe and was executed twice");
    }
    if (request.scenario.effect == Effect.KEYED
        && request.executions.stream()
            .anyMatch(execution ->
                execution.cell() != cell || now - execution.atNanos() > dedupWindowNanos)) {
      reportViolation(id + " is keyed and took effect twice");
    }
    if (request.answers > 0
        && (request.status == STATUS_TOO_MANY_REQUESTS || request.status == STATUS_UNAVAILABLE)
        && request.scenario.effect != Effect.SAFE) {
      reportViolation(id + " was executed after it was refused");
    }
    request.executions.add(new Execution(server, cell, now));
  }

  /** Records that the process was told to stop: behind its last deadline it may end answers that outlast their client's time. */
  void stopping(long longestDeadlineNanos) {
    streamsMayEndAtNanos = Math.min(streamsMayEndAtNanos, loop.now() + longestDeadlineNanos);
  }

  /** Records that an upstream's sound answer to a request ends behind its client's time. */
  void answerOutlastsItsClientsTime(String id) {
    RequestRecord request = records.get(id);
    if (request != null) {
      request.overtime = true;
    }
  }

  /** Records that an upstream does not answer a request correctly or completely. */
  void answerDefective(String id) {
    RequestRecord request = records.get(id);
    if (request != null) {
      request.defective = true;
    }
  }

  /** Records that discovery announced the departure of an upstream to the program. */
  void departureAnnounced(int server) {
    departureNanos.putIfAbsent(server, loop.now());
    note("departure announced: upstream", server);
  }

  // End of the run

  /**
   * Checks the requests of an upstream against its cold budget: in any window at most a multiple of its capacity at that time, plus
   * {@link #STANDARD_DEVIATIONS} times the square root of that for chance.
   */
  void checkColdBudget(int server, long startedAtNanos, double capacityPerSecond) {
    List<Long> times = firstByteNanos.getOrDefault(server, List.of());
    for (int i = 0; i < times.size(); i++) {
      long windowStartNanos = times.get(i);
      double capacityShare = Math.min(
          1,
          contract.coldFrom()
              + (1 - contract.coldFrom())
                  * (windowStartNanos - startedAtNanos)
                  / contract.warmWithinNanos());
      double budget = contract.fallMultiple()
          * capacityShare
          * capacityPerSecond
          * contract.fallWindowNanos()
          / 1e9;
      long received = times.stream()
          .filter(time ->
              time >= windowStartNanos && time < windowStartNanos + contract.fallWindowNanos())
          .count();
      if (received > budget + STANDARD_DEVIATIONS * Math.sqrt(budget)) {
        reportViolation("cold upstream " + server + " received " + received
            + " requests with a budget of " + Math.round(budget) + " per window");
      }
    }
  }
}
