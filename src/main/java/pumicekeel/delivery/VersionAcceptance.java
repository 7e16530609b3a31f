package pumicekeel.delivery;

/**
 * Whether a published version follows the version kept. A writer with an older epoch is refused, and within an epoch sequences have
 * no gaps, so that two writers that do not know of each other cannot both continue.
 */
public enum VersionAcceptance {
  /** The next version: it is to be kept. */
  ACCEPTED("accepted"),
  /** Published before with the same text: a success without any change. */
  ALREADY_KEPT("already kept"),
  /** The writer has been replaced by one with a higher epoch. */
  OLDER_EPOCH("its epoch is older than the one of the version kept"),
  /** The sequence was used before. */
  OLDER_SEQUENCE("a later sequence of its epoch is kept"),
  /** Versions in between are missing here and have to be fetched from the peers first. */
  GAP("versions before it are missing here"),
  /** The same numbers with another text: two writers use the same epoch. */
  CONFLICT("another text is kept under the same epoch and sequence");

  private final String reason;

  VersionAcceptance(String reason) {
    this.reason = reason;
  }

  /** Returns the reason for the operator. */
  public String reason() {
    return reason;
  }

  /** Whether the writer may count the version as kept. */
  public boolean isSuccess() {
    return this == ACCEPTED || this == ALREADY_KEPT;
  }

  /** Returns whether a published version is accepted after the version kept. */
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
