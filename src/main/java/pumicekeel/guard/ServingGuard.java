package pumicekeel.guard;

import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.stream.Collectors;

/**
 * Says whether something may be done now, for all paths that send, repeat, refuse, answer or close; counts what it denied by reason,
 * and what would have broken a rule. Those who ask keep to what it says. One for each balancer; only on its loop.
 */
public final class ServingGuard {

  /** Between the reading of the clock and the write; what the platform allows for a process that is held up. */
  private static final long TOLD_SLACK_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

  private static final AtomicLong IN_PROCESS = new AtomicLong();

  private final Map<Denial, Long> denials = new EnumMap<>(Denial.class);
  private final Map<Violation, Long> violationCount = new EnumMap<>(Violation.class);
  private final Map<CloseReason, Long> closes = new EnumMap<>(CloseReason.class);
  private final Consumer<String> defects;
  private final Consumer<String> notes;
  private long sent;

  /** A line goes to {@code defects} for each violation, and to {@code notes} for each request that ends with its connection. */
  public ServingGuard(Consumer<String> defects, Consumer<String> notes) {
    this.defects = defects;
    this.notes = notes;
  }

  /** Whether an attempt may be sent now; null for yes, else why not. */
  public Denial checkSend(SendContext question) {
    Denial denial = denialOf(question);
    if (denial == null
        && question.announcedNanos() - question.clientRemainingNanos() > TOLD_SLACK_NANOS) {
      reportViolation(Violation.TOLD_TOO_MUCH_TIME, question.requestId());
      denial = Denial.TIME_UP;
    }
    if (denial == null) {
      sent++;
    } else {
      denials.merge(denial, 1L, Long::sum);
    }
    return denial;
  }

  private static Denial denialOf(SendContext question) {
    if (question.requestEnded()) {
      return Denial.REQUEST_ENDED;
    }
    if (!question.withinAttemptLimit()) {
      return Denial.ATTEMPTS_SPENT;
    }
    if (question.upstreamLeaving()) {
      return Denial.UPSTREAM_LEAVES;
    }
    if (question.listOutdated()) {
      return Denial.LIST_OUTDATED;
    }
    if (!question.repeatIsHarmless()) {
      return Denial.NOT_REPEATABLE;
    }
    if (question.clientRemainingNanos() <= 0) {
      return Denial.TIME_UP;
    }
    return question.clientConnected() ? null : Denial.CLIENT_LEFT;
  }

  /** Whether a request may be taken to be sent by a list of upstreams; where not, it is to be refused at once. */
  public boolean mayAdmit(boolean listOutdated) {
    if (listOutdated) {
      denials.merge(Denial.LIST_OUTDATED, 1L, Long::sum);
    }
    return !listOutdated;
  }

  /** Whether a request may be refused; where not, it is to be answered as failed. */
  public boolean mayRefuse(String id, boolean harmless) {
    if (!harmless) {
      reportViolation(Violation.REFUSAL_NOT_HARMLESS, id);
    }
    return harmless;
  }

  /** Whether an answer may be written to a connection; {@code open} is the request that is taken there, null for none. */
  public boolean mayAnswer(String open) {
    if (open == null) {
      reportViolation(Violation.ANSWER_NOT_OWED, "unknown");
    }
    return open != null;
  }

  /** Whether a connection may be closed; {@code open} is the request that is taken there, null for none. */
  public boolean mayClose(CloseReason reason, String open) {
    if (open != null && !reason.endsRequest()) {
      reportViolation(Violation.CLOSE_UNDER_REQUEST, open + " " + reason);
      return false;
    }
    closes.merge(reason, 1L, Long::sum);
    if (open != null) {
      notes.accept("request " + open + ": its connection is closed, " + reason);
    }
    return true;
  }

  /** Something was done, or about to be done, that must never be. */
  public void reportViolation(Violation what, String detail) {
    IN_PROCESS.incrementAndGet();
    violationCount.merge(what, 1L, Long::sum);
    defects.accept("rule violated: " + what + " " + detail);
  }

  /** How many there were. */
  public long violationCount() {
    return violationCount.values().stream().mapToLong(n -> n).sum();
  }

  /** How many there were in this process, of all balancers. For any thread. */
  public static long violationCountInProcess() {
    return IN_PROCESS.get();
  }

  /** All counts in one line. */
  public String summary() {
    return "violations " + violationCount() + text(violationCount) + "; sent " + sent + "; not sent"
        + text(denials) + "; closed" + text(closes);
  }

  private static <K extends Enum<K>> String text(Map<K, Long> counts) {
    return counts.entrySet().stream()
        .map(e -> " " + e.getKey().name().toLowerCase(Locale.ROOT) + "=" + e.getValue())
        .collect(Collectors.joining());
  }
}
