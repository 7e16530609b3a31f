package pumicekeel.front.http;

import java.util.EnumSet;
import java.util.Set;

/**
 * Where one client's connection stands. A request goes from COMING to TAKEN or UPLOADING, perhaps on to PASSING, and back to IDLE with
 * its answer's last byte; SKIPPING is what is left of one that was answered before it had come whole.
 */
enum Phase {
  /** Nothing is asked. */
  IDLE,
  /** A head, or a body that is kept, is on its way in. */
  COMING,
  /** The core has the request, and it has come whole. */
  TAKEN,
  /** The core has it, and its body goes on to an upstream while it comes. */
  UPLOADING,
  /** Its answer goes out while it comes. */
  PASSING,
  /** It has its answer, and what is left of its body is dropped. */
  SKIPPING,
  /** Nothing more is asked on this connection, ever. */
  ENDING;

  /** The core owes an answer. */
  boolean taken() {
    return this == TAKEN || this == UPLOADING || this == PASSING;
  }

  /** Whether a connection may go on so. */
  boolean mayBecome(Phase next) {
    return next == this || next == ENDING || next(this).contains(next);
  }

  private static Set<Phase> next(Phase from) {
    return switch (from) {
      case IDLE -> EnumSet.of(COMING);
      case COMING -> EnumSet.of(IDLE, TAKEN, UPLOADING, SKIPPING);
      case TAKEN -> EnumSet.of(IDLE, PASSING);
      case UPLOADING -> EnumSet.of(TAKEN, PASSING, SKIPPING, IDLE);
      case PASSING -> EnumSet.of(IDLE, SKIPPING);
      case SKIPPING -> EnumSet.of(IDLE);
      case ENDING -> EnumSet.noneOf(Phase.class);
    };
  }
}
