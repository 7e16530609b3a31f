package pumicekeel.guard;

import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.stream.Collectors;

/**
 * Decides whether an operation is permitted now, for every path that sends, retries, rejects, answers or closes. Counts denials by
 * reason, and attempts to break a rule as violations. Callers must obey its decision. One instance per balancer; event loop only.
 */
public final class ServingGuard {

  /** Allowed difference between reading the clock and writing; the platform allows for a process that is delayed this long. */
  private static final long ANNOUNCED_TIME_SLACK_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

  private static final AtomicLong PROCESS_VIOLATIONS = new AtomicLong();

  private final Map<Denial, Long> denials = new EnumMap<>(Denial.class);
  private final Map<Violation, Long> violations = new EnumMap<>(Violation.class);
  private final Map<CloseReason, Long> closes = new EnumMap<>(CloseReason.class);
  private final Consumer<String> violationLog;
  private final Consumer<String> closeLog;
  private long sent;

  /**
   * Creates a guard that writes a line to {@code violationLog} for each violation, and one to {@code closeLog} for each request that ends
   * with its connection.
   */
  public ServingGuard(Consumer<String> violationLog, Consumer<String> closeLog) {
    this.violationLog = violationLog;
    this.closeLog = closeLog;
  }

  /** Returns why an attempt must not be sent now, or null if it may be sent. */
  public Denial checkSend(SendContext context) {
    Denial denial = reasonToDeny(context);
    if (denial == null
        && context.announcedNanos() - context.clientRemainingNanos() > ANNOUNCED_TIME_SLACK_NANOS) {
      reportViolation(Violation.TOLD_TOO_MUCH_TIME, context.requestId());
      denial = Denial.TIME_UP;
    }
    if (denial == null) {
      sent++;
    } else {
      denials.merge(denial, 1L, Long::sum);
    }
    return denial;
  }

  private static Denial reasonToDeny(SendContext context) {
    if (context.requestEnded()) {
      return Denial.REQUEST_ENDED;
    }
    if (!context.withinAttemptLimit()) {
      return Denial.ATTEMPTS_SPENT;
    }
    if (context.upstreamLeaving()) {
      return Denial.UPSTREAM_LEAVES;
    }
    if (context.listOutdated()) {
      return Denial.LIST_OUTDATED;
    }
    if (!context.repeatIsHarmless()) {
      return Denial.NOT_REPEATABLE;
    }
    if (context.clientRemainingNanos() <= 0) {
      return Denial.TIME_UP;
    }
    return context.clientConnected() ? null : Denial.CLIENT_LEFT;
  }

  /** Returns whether a request that needs the list of upstreams may be admitted; if not, it has to be rejected at once. */
  public boolean mayAdmit(boolean listOutdated) {
    if (listOutdated) {
      denials.merge(Denial.LIST_OUTDATED, 1L, Long::sum);
    }
    return !listOutdated;
  }

  /** Returns whether a request may be rejected; if not, it has to be answered as failed. */
  public boolean mayRefuse(String id, boolean harmless) {
    if (!harmless) {
      reportViolation(Violation.REFUSAL_NOT_HARMLESS, id);
    }
    return harmless;
  }

  /** Returns whether a response may be written to a connection; {@code openRequest} is the request accepted there, or null. */
  public boolean mayAnswer(String openRequest) {
    if (openRequest == null) {
      reportViolation(Violation.ANSWER_NOT_OWED, "unknown");
    }
    return openRequest != null;
  }

  /** Returns whether a connection may be closed; {@code openRequest} is the request accepted there, or null. */
  public boolean mayClose(CloseReason reason, String openRequest) {
    if (openRequest != null && !reason.endsRequest()) {
      reportViolation(Violation.CLOSE_UNDER_REQUEST, openRequest + " " + reason);
      return false;
    }
    closes.merge(reason, 1L, Long::sum);
    if (openRequest != null) {
      closeLog.accept("request " + openRequest + ": its connection is closed, " + reason);
    }
    return true;
  }

  /** Records that something forbidden was done, or was about to be done. */
  public void reportViolation(Violation violation, String detail) {
    PROCESS_VIOLATIONS.incrementAndGet();
    violations.merge(violation, 1L, Long::sum);
    violationLog.accept("rule violated: " + violation + " " + detail);
  }

  /** Returns the number of violations of this balancer. */
  public long violationCount() {
    return violations.values().stream().mapToLong(n -> n).sum();
  }

  /** Returns the number of violations of all balancers in this process. Thread-safe. */
  public static long violationCountInProcess() {
    return PROCESS_VIOLATIONS.get();
  }

  /** Returns all counters in one line. */
  public String summary() {
    return "violations " + violationCount() + countsText(violations) + "; sent " + sent
        + "; not sent" + countsText(denials) + "; closed" + countsText(closes);
  }

  private static <K extends Enum<K>> String countsText(Map<K, Long> counts) {
    return counts.entrySet().stream()
        .map(e -> " " + e.getKey().name().toLowerCase(Locale.ROOT) + "=" + e.getValue())
        .collect(Collectors.joining());
  }
}
