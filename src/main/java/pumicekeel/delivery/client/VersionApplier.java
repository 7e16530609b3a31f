package pumicekeel.delivery.client;

import pumicekeel.delivery.Candidate;

/** Checks a version and puts it in force; called on a thread that may block, one call at a time. */
@FunctionalInterface
public interface VersionApplier {

  /** What became of a version. */
  sealed interface Outcome {}

  /** It is in force. */
  record InForce() implements Outcome {}

  /** What came, or what was held, is not what its version says. */
  record Damaged(String reason) implements Outcome {}

  /** It can never be had here. */
  record Refused(String reason) implements Outcome {}

  /** It can't be had just now. */
  record Postponed(String reason) implements Outcome {}

  Outcome apply(Candidate candidate);
}
