package pumicekeel.core;

import java.util.EnumMap;
import java.util.Map;
import java.util.StringJoiner;
import pumicekeel.guard.AttemptEnd;
import pumicekeel.upstream.PassOnReason;

/** Counts the answers that were passed on before they were whole, by why, and how they ended. No I/O, no clock. */
final class StreamCounters {

  private final Map<PassOnReason, Long> started = new EnumMap<>(PassOnReason.class);
  private final Map<AttemptEnd, Long> ended = new EnumMap<>(AttemptEnd.class);
  private long wholeLate;

  void countStart(PassOnReason reason) {
    started.merge(reason, 1L, Long::sum);
  }

  /** Counts the end of a passed-on answer; {@code late}: its client's time was up. */
  void countEnd(AttemptEnd reason, boolean late) {
    ended.merge(reason, 1L, Long::sum);
    wholeLate += reason == AttemptEnd.ANSWERED && late ? 1 : 0;
  }

  /** Returns whether nothing was counted. */
  boolean isEmpty() {
    return started.isEmpty();
  }

  /** Returns the counts as one log line. */
  String logLine() {
    StringJoiner line = new StringJoiner(", ", "answers passed on before they were whole: ", "");
    started.forEach((reason, n) -> line.add(reason + " " + n));
    ended.forEach((reason, n) -> line.add("ended " + reason + " " + n));
    return line.add("whole behind their client's time " + wholeLate).toString();
  }
}
