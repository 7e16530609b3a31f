package pumicekeel.delivery;

/**
 * Whether a version that a writer publishes follows the one that is kept. A writer of an older epoch is refused, and within an epoch
 * each sequence follows the one before, so that two writers that know nothing of each other cannot both go on.
 */
public enum VersionAcceptance {
  /** The next one: to be kept. */
  ACCEPTED("accepted"),
  /** Published before, with the same text: nothing to do, and a success. */
  ALREADY_KEPT("already kept"),
  /** The writer has been replaced by one of a higher epoch. */
  OLDER_EPOCH("its epoch is older than the one of the version kept"),
  /** The sequence has been used already. */
  OLDER_SEQUENCE("a later sequence of its epoch is kept"),
  /** Versions between have not come here: they have to come from the peers first. */
  GAP("versions before it are missing here"),
  /** The same numbers with another text: two writers use one epoch. */
  CONFLICT("another text is kept under the same epoch and sequence");

  private final String reason;

  VersionAcceptance(String reason) {
    this.reason = reason;
  }

  /** Why, in words for the operator. */
  public String reason() {
    return reason;
  }

  /** Whether the writer may count the version as kept. */
  public boolean isSuccess() {
    return this == ACCEPTED || this == ALREADY_KEPT;
  }

  /** What becomes of a version that a writer publishes where another one is kept. */
  public static VersionAcceptance of(ConfigurationVersion kept, ConfigurationVersion published) {
    if (published.equals(kept)) {
      return ALREADY_KEPT;
    }
    if (published.epoch() < kept.epoch()) {
      return OLDER_EPOCH;
    }
    long sequence = published.epoch() > kept.epoch() ? 0 : kept.sequence();
    if (published.epoch() == kept.epoch() && published.sequence() == sequence) {
      return CONFLICT;
    }
    if (published.sequence() <= sequence) {
      return OLDER_SEQUENCE;
    }
    return published.sequence() == sequence + 1 ? ACCEPTED : GAP;
  }
}
