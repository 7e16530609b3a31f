package pumicekeel.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import pumicekeel.guard.AttemptEnd;
import pumicekeel.upstream.PassOnReason;

class StreamCountersTest {

  @Test
  void countsWhyAnswersWerePassedOnAndHowTheyEnded() {
    StreamCounters counters = new StreamCounters();
    assertTrue(counters.isEmpty());
    counters.countStart(PassOnReason.SIZE);
    counters.countStart(PassOnReason.TIME_ALMOST_UP);
    counters.countStart(PassOnReason.TIME_ALMOST_UP);
    counters.countEnd(AttemptEnd.ANSWERED, false);
    counters.countEnd(AttemptEnd.ANSWERED, true);
    counters.countEnd(AttemptEnd.SILENT, true);
    assertEquals(
        "answers passed on before they were whole: SIZE 1, TIME_ALMOST_UP 2, ended ANSWERED 2, ended SILENT 1, "
            + "whole behind their client's time 1",
        counters.logLine());
  }
}
