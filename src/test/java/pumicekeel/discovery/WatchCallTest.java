package pumicekeel.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import pumicekeel.discovery.WatchCall.End;

/** How a failed call is classified, by what was seen of it and when. */
class WatchCallTest {

  private static final long MS = 1_000_000L;
  private static final WatchTerms TERMS = new WatchTerms(false, 1_000, 3_000, 3_000, 0);

  private final WatchCall call = new WatchCall(TERMS, false, 0);

  /** Guards against sends by an old list: calls that a crowded service lets wait 0.8 s passed for such that fail at once. */
  @Test
  void callThatWaitedHalfASecondWasQueued() {
    call.connected(MS);
    call.stillOpen(500 * MS);
    assertEquals(CallFailure.TURNED_AWAY_LATE, call.failure(End.ANSWERED, 800 * MS));
    assertEquals(CallFailure.TURNED_AWAY_LATE, call.failure(End.BROKEN, 800 * MS));
  }

  /** Guards against refusals in an outage: a late event loop reads a rejection long after it arrived. */
  @Test
  void rejectionThatALateLoopReadWasNotQueued() {
    call.connected(MS);
    assertEquals(CallFailure.TURNED_AWAY, call.failure(End.ANSWERED, 2_000 * MS));
    assertEquals(CallFailure.UNREACHABLE, call.failure(End.BROKEN, 2_000 * MS));
  }
}
