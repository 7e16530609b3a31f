package pumicekeel.delivery.control;

import java.util.List;
import pumicekeel.delivery.ConfigurationVersion;

/**
 * Result of a publish.
 *
 * @param current the version that the machine keeps now
 * @param lines why the version was not kept; empty for a success
 */
record PublishResult(Kind kind, ConfigurationVersion current, List<String> lines) {

  /** Kind of result, with the status of the HTTP response. */
  enum Kind {
    KEPT(200),
    ALREADY_KEPT(200),
    /** A dry run without faults. */
    WOULD_BE_KEPT(200),
    /** The version does not follow the one kept. */
    OUT_OF_ORDER(409),
    /** The text has faults or does not match its version. */
    FAULTY(422),
    /** The disk write failed; the version kept before is unchanged. */
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
