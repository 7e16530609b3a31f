package pumicekeel.delivery;

/** What a control machine answers to a subscriber's call. */
public sealed interface Reply {

  /** Nothing newer came within the wait. */
  record Unchanged() implements Reply {}

  /** The way to a newer version. */
  record Delta(ConfigurationDelta delta) implements Reply {}

  /** A part of a snapshot. */
  record Part(SnapshotPart part) implements Reply {}

  /** Too many ask at once; come back later. */
  record Busy(long retryAfterNanos) implements Reply {}

  /** The machine does not have the version of which a part was asked any more. */
  record Gone() implements Reply {}

  /** No answer, or none that makes sense; also that of a machine which holds an older version than the subscriber. */
  record Failed(String reason) implements Reply {}
}
