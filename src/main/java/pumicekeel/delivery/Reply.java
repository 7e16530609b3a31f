package pumicekeel.delivery;

/** Reply of a control machine to a subscriber's call. */
public sealed interface Reply {

  /** There was no newer version within the wait. */
  record Unchanged() implements Reply {}

  /** A delta to a newer version. */
  record Delta(ConfigurationDelta delta) implements Reply {}

  /** A part of a snapshot. */
  record Part(SnapshotPart part) implements Reply {}

  /** Too many transfers at once; retry later. */
  record Busy(long retryAfterNanos) implements Reply {}

  /** The machine no longer has the version of the requested part. */
  record Gone() implements Reply {}

  /** No reply, an invalid one, or one from a machine that has an older version than the subscriber. */
  record Failed(String reason) implements Reply {}
}
