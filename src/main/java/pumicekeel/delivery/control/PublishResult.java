package pumicekeel.delivery.control;

import java.util.List;
import pumicekeel.delivery.ConfigurationVersion;

/**
 * What became of a version that a writer published.
 *
 * @param current the version that the machine keeps now
 * @param lines why it was not kept; empty for a success
 */
record PublishResult(Kind kind, ConfigurationVersion current, List<String> lines) {

  /** With the status of the HTTP response. */
  enum Kind {
    KEPT(200),
    ALREADY_KEPT(200),
    /** A dry run that found nothing. */
    WOULD_BE_KEPT(200),
    /** It does not follow the version that is kept. */
    OUT_OF_ORDER(409),
    /** The text has faults, or is not the one that the version names. */
    FAULTY(422),
    /** The disk did not take it; the version before it is as it was. */
    NOT_STORED(507);

    private final int status;

    Kind(int status) {
      this.status = status;
    }

    int status() {
      return status;
    }
  }
}
