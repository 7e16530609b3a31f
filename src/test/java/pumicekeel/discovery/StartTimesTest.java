package pumicekeel.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.util.List;
import org.junit.jupiter.api.Test;
import pumicekeel.Balancer.ListedUpstream;
import pumicekeel.Balancer.State;

/** Upstreams' start times by the balancer's clock, in virtual time, with a wall clock that is stepped. */
class StartTimesTest {

  private static final long SECOND = 1_000_000_000L;
  private static final long HOUR = 3_600 * SECOND;
  private static final long BEGIN = 1_000_000 * SECOND;

  private final StartTimes starts = new StartTimes();
  private long now = BEGIN;

  private static HostList list(long upstream, long sinceNanos) {
    ListedUpstream listed = new ListedUpstream(upstream, "a", 0, State.READY, sinceNanos, 1);
    return new HostList(
        1, false, List.of(new HostList.Host(new InetSocketAddress("127.0.0.1", 1), listed)));
  }

  private long startOf(long upstream, long sinceNanos) {
    return starts
        .toLocalClock(list(upstream, sinceNanos), now)
        .hosts()
        .get(0)
        .listed()
        .startedNanos();
  }

  @Test
  void startTimeFollowsTheListWithoutAClockStep() {
    starts.recordClockOffset(now, now);
    assertEquals(now - 5 * SECOND, startOf(1, now - 5 * SECOND));
    assertEquals(0, startOf(2, 0), "no start time listed");
    assertEquals(now - 2 * HOUR, new StartTimesTest().first(now - 2 * HOUR), "on the first list");
  }

  private long first(long sinceNanos) {
    starts.recordClockOffset(now, now);
    return startOf(1, sinceNanos);
  }

  @Test
  void clockStepAtRunTimeDoesNotMakeAColdUpstreamWarm() {
    starts.recordClockOffset(now, now);
    startOf(1, now - 5 * SECOND);
    for (long step : new long[] {HOUR, -HOUR, 7 * SECOND, -7 * SECOND}) {
      now += 30 * SECOND;
      starts.recordClockOffset(now + step, now);
      long started = startOf(100 + step, now + step - SECOND);
      assertTrue(
          started >= now - SECOND && started <= now,
          "a step of " + step + " ns: started " + (now - started) + " ns ago");
      assertEquals(
          BEGIN - 5 * SECOND, startOf(1, BEGIN - 5 * SECOND), "a known start time is kept");
    }
  }

  @Test
  void initiallyWrongWallClockIsDetectedByTheFirstStart() {
    starts.recordClockOffset(now + HOUR, now);
    startOf(1, 0);
    now += 10 * SECOND;
    starts.recordClockOffset(now + HOUR, now);
    assertEquals(
        now,
        startOf(2, now),
        "a new start that appears an hour old by a clock that is an hour ahead");
    now += SECOND;
    long next = startOf(3, now - SECOND / 2);
    assertTrue(next >= now - SECOND, "the next start uses the offset learned from the first one");
  }

  @Test
  void futureStartCountsAsNow() {
    starts.recordClockOffset(now - HOUR, now);
    assertEquals(now, startOf(1, now));
  }

  @Test
  void serverDateIsUsedFromTheFirstListOn() {
    starts.recordClockOffset(now + HOUR, now);
    starts.recordClockOffset(now - SECOND / 2, now);
    long started = startOf(1, now - 2 * SECOND);
    assertTrue(started >= now - 3 * SECOND, "started " + (now - started) + " ns ago");
  }

  @Test
  void discoveryOutageDoesNotResetStartTimes() {
    starts.recordClockOffset(now, now);
    startOf(1, 0);
    now += 50 * SECOND;
    starts.recordClockOffset(now, now);
    assertEquals(now - 40 * SECOND, startOf(2, now - 40 * SECOND));
  }
}
