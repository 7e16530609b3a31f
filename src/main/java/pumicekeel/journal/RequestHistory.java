package pumicekeel.journal;

import java.util.ArrayList;
import java.util.List;
import pumicekeel.Balancer.Status;
import pumicekeel.journal.Entry.Told;

/** The recorded attempts of one request and the conclusion that they prove. Does no I/O. */
public final class RequestHistory {

  /** Conclusion about a request. Each is true regardless of events that were not recorded. */
  public enum Verdict {
    /** No attempt's first byte was sent, or each attempt's outcome proves that it did not run. */
    NEVER_LEFT,
    /** An attempt was about to be made or was made, and no outcome proves whether it ran. */
    MAY_HAVE_RUN,
    /** An upstream answered, and the client received that answer. */
    ANSWERED,
    /** An upstream answered, and the client received another answer or had disconnected. */
    NOT_TOLD,
    /** A record that would decide it is missing. */
    UNKNOWN
  }

  /** One attempt: its intent, whether it was written completely, and how it ended. */
  public static final class Attempt {
    private final Entry.Intent intent;
    private boolean written;
    private Status status;

    private Attempt(Entry.Intent intent) {
      this.intent = intent;
    }

    public Entry.Intent intent() {
      return intent;
    }

    /** Whether the complete request was written to the upstream. */
    public boolean written() {
      return written;
    }

    /** Returns how it ended; null if that was not recorded. */
    public Status status() {
      return status;
    }

    /** Whether no recorded outcome proves that the attempt did not run. */
    public boolean mayHaveRun() {
      return status == null || !status.provesNotRun();
    }
  }

  private final String instance;
  private final long epoch;
  private final List<Attempt> attempts = new ArrayList<>(1);
  private Told clientOutcome;
  private long clientOutcomeMillis;

  RequestHistory(String instance, long epoch) {
    this.instance = instance;
    this.epoch = epoch;
  }

  void intent(Entry.Intent intent) {
    attempts.add(new Attempt(intent));
  }

  void written(int attempt) {
    attempts.stream().filter(a -> a.intent.attempt() == attempt).forEach(a -> a.written = true);
  }

  void ended(int attempt, Status status) {
    attempts.stream().filter(a -> a.intent.attempt() == attempt).forEach(a -> a.status = status);
  }

  void answered(Told outcome, long wallMillis) {
    clientOutcome = outcome;
    clientOutcomeMillis = wallMillis;
  }

  /** Returns the name of the instance that recorded the request. */
  public String instance() {
    return instance;
  }

  /** Returns the journal's epoch: each start of an instance begins a higher one. */
  public long epoch() {
    return epoch;
  }

  public List<Attempt> attempts() {
    return List.copyOf(attempts);
  }

  /** Returns how the request ended for the client; null if that was not recorded. */
  public Told clientOutcome() {
    return clientOutcome;
  }

  /** Returns when the request ended for the client, in milliseconds of wall-clock time; 0 if that was not recorded. */
  public long clientOutcomeMillis() {
    return clientOutcomeMillis;
  }

  /** Returns the intent of the first recorded attempt. */
  public Entry.Intent firstIntent() {
    return attempts.get(0).intent;
  }

  /**
   * Returns the conclusion; {@code gap} is the reason of a hole that may contain more records of this request, or null. A missing
   * record can only add an attempt: if there is a hole, a missing attempt does not prove that none was made.
   */
  public Verdict verdict(String gap) {
    boolean served = attempts.stream().anyMatch(a -> a.status == Status.SERVED);
    if (served && clientOutcome == Told.SERVED) {
      return Verdict.ANSWERED;
    }
    if (served) {
      // Without a record of the client's answer, the client may have received it nevertheless.
      return clientOutcome == null ? Verdict.UNKNOWN : Verdict.NOT_TOLD;
    }
    if (attempts.stream().anyMatch(Attempt::mayHaveRun)) {
      return Verdict.MAY_HAVE_RUN;
    }
    return gap != null && clientOutcome == null ? Verdict.UNKNOWN : Verdict.NEVER_LEFT;
  }
}
