package pumicekeel.guard;

/** Why an attempt at an upstream ended. */
public enum AttemptEnd {
  /** Its answer arrived completely. */
  ANSWERED(false),
  /** The request ended otherwise, or the decision module cancelled this attempt. */
  CANCELLED(false),
  /** The client closed its connection. */
  CLIENT_LEFT(false),
  /** It was not sent: {@link Denial} says why. */
  DENIED(false),
  /** It was not sent: its intent could not be recorded. */
  NOT_RECORDED(false),
  /** It was not sent: the request has no form that this upstream accepts. */
  UNTRANSLATABLE(true),
  /** No connection to the upstream came up, or no capacity was left for one. */
  NOT_CONNECTED(true),
  /** The request could not be written in time. */
  NOT_WRITTEN(true),
  /** The request's body ended early. */
  UPLOAD_TRUNCATED(false),
  /** The time for the answer was up. */
  TIME_UP(true),
  /** The answer began and then brought nothing for too long. */
  SILENT(true),
  /** The answer brought nothing for long, and its connection was needed for another request. */
  GIVES_WAY(true),
  /** The answer was malformed, or had data behind its end. */
  MALFORMED(true),
  /** The answer was larger than the protocol allows. */
  TOO_LARGE(true),
  /** No memory was left to keep the answer. */
  NO_MEMORY(true),
  /** The upstream closed or reset the connection, or it failed. */
  CONNECTION_LOST(true),
  /** The process stops. */
  STOPPING(true);

  private final boolean logged;

  AttemptEnd(boolean logged) {
    this.logged = logged;
  }

  /** Returns whether an end for this reason is worth a line of the log. */
  public boolean isLogged() {
    return logged;
  }
}
