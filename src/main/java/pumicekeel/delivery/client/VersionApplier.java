package pumicekeel.delivery.client;

import pumicekeel.delivery.Candidate;

/** Checks a version and puts it in force; called on a thread that may block, with one call at a time. */
@FunctionalInterface
public interface VersionApplier {

  /** Result of applying a version. */
  sealed interface Outcome {}

  /** The version is in force. */
  record InForce() implements Outcome {}

  /** The received or the held text does not match its version. */
  record Damaged(String reason) implements Outcome {}

  /** This process can never use the version. */
  record Refused(String reason) implements Outcome {}

  /** The version cannot be applied now. */
  record Postponed(String reason) implements Outcome {}

  /** Applies a version and returns the result. */
  Outcome take(Candidate candidate);
}
