package pumicekeel.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import pumicekeel.discovery.ListCurrency.State;

class ListCurrencyTest {

  private static final long MS = 1_000_000L;
  private static final long GRACE = 2_000 * MS;
  /** A change counts as announced after 6 s, the drain grace is 2 s, and 0.15 s are allowed for delays before and after the check. */
  private static final long LAST_SEND = 7_700 * MS;

  private final ListCurrency currency = new ListCurrency(false, GRACE, 0);

  private void failed(int times, CallFailure how, long at) {
    for (int i = 0; i < times; i++) {
      currency.callFailed(how, at, at);
    }
  }

  /** Discovery ends a working watch on a list that is current. */
  private void watchEnds(long at) {
    currency.markCurrent(at);
    failed(1, CallFailure.ENDED, at);
  }

  @Test
  void nothingIsSentOnceAMissedDepartureMayBeInEffect() {
    assertEquals(State.CURRENT, currency.state(3_000 * MS));
    assertEquals(State.AGING, currency.state(3_001 * MS));
    assertTrue(currency.sendable(LAST_SEND - 1));
    assertFalse(currency.sendable(LAST_SEND));
    assertEquals(State.OUTDATED, currency.state(LAST_SEND));
    currency.markCurrent(9_000 * MS);
    assertTrue(currency.sendable(9_000 * MS + LAST_SEND - 1));
  }

  @Test
  void sixteenUnreachableCallsInARowAreAnOutageAndFewerAreNot() {
    for (long at = 0; at < 15 * 500; at += 500) {
      failed(1, CallFailure.UNREACHABLE, at * MS);
    }
    assertEquals(State.OUTDATED, currency.state(LAST_SEND));
    for (long at = 15 * 500; at <= 30_000; at += 500) {
      failed(1, CallFailure.UNREACHABLE, at * MS);
      assertTrue(currency.sendable(at * MS));
    }
    assertEquals(State.OUTAGE, currency.state(30_000 * MS));
    currency.callFailed(CallFailure.CUT, 30_000 * MS, 30_000 * MS);
    assertEquals(
        State.AGING,
        currency.state(30_000 * MS),
        "a partial response shows that discovery can be reached");
    assertFalse(currency.sendable(30_000 * MS + LAST_SEND));
  }

  @Test
  void discoveryCutOffForEightSecondsDoesNotStopService() {
    for (long at = 0; at <= 4_000; at += 2_000) {
      failed(1, CallFailure.UNCONNECTED, at * MS);
    }
    assertEquals(State.OUTDATED, currency.state(LAST_SEND));
    failed(1, CallFailure.UNCONNECTED, 6_000 * MS);
    assertEquals(State.OUTAGE, currency.state(LAST_SEND));
  }

  /** Guards against sends by an old list in an outage: the watch had fallen silent before, and may have missed a change. */
  @Test
  void outageAfterASilentWatchExcusesNothing() {
    currency.markCurrent(0);
    failed(1, CallFailure.SILENT, 2_400 * MS);
    for (long at = 2_400; at <= 20_000; at += 200) {
      failed(1, CallFailure.UNREACHABLE, at * MS);
    }
    currency.peerQueried(LAST_SEND);
    assertTrue(currency.sendable(LAST_SEND - 1));
    assertFalse(currency.sendable(LAST_SEND));
    assertEquals(State.OUTDATED, currency.state(20_000 * MS));
  }

  /** Guards against sends by an old list in an outage: a watch that ends without its heartbeat had fallen silent before. */
  @Test
  void outageAfterAWatchThatMissedItsHeartbeatExcusesNothing() {
    currency.markCurrent(0);
    failed(1, CallFailure.ENDED, 2_600 * MS);
    for (long at = 2_600; at <= 20_000; at += 200) {
      failed(1, CallFailure.UNREACHABLE, at * MS);
    }
    assertEquals(State.OUTDATED, currency.state(LAST_SEND));
  }

  /** Guards against sends by an old list in an outage that began after another balancer's report, the last that is known. */
  @Test
  void outageAfterAReportOfAnotherBalancerExcusesNothing() {
    watchEnds(0);
    currency.peerReported(4_000 * MS);
    currency.confirmedByPeer(4_000 * MS);
    failed(40, CallFailure.UNREACHABLE, 5_000 * MS);
    assertFalse(currency.sendable(4_000 * MS + LAST_SEND));
  }

  /** Guards against refusals in an outage: the event loop was late by 2 s, at the start and between two calls. */
  @Test
  void lateEventLoopDoesNotEndAnOutage() {
    for (long at = 4_000; at <= 40_000; at += 4_000) {
      failed(16, CallFailure.UNREACHABLE, at * MS);
      assertTrue(currency.sendable(at * MS));
    }
  }

  /** Guards against sends by an old list after a time without calls, as when the process stood still: discovery may have been up. */
  @Test
  void outageIsNotProvedAcrossAGapBetweenCalls() {
    watchEnds(0);
    for (long at = 0; at <= 4_000; at += 200) {
      failed(1, CallFailure.UNREACHABLE, at * MS);
    }
    failed(40, CallFailure.NOT_MADE, 10_000 * MS);
    for (long at = 30_000; at <= 40_000; at += 200) {
      failed(1, CallFailure.UNREACHABLE, at * MS);
    }
    assertTrue(currency.sendable(4_000 * MS + LAST_SEND - 1));
    assertEquals(State.OUTDATED, currency.state(40_000 * MS));
  }

  @Test
  void watchEndedByDiscoveryIsAnOutageForAWhileUnlessCallsAreIgnored() {
    watchEnds(0);
    failed(4, CallFailure.TURNED_AWAY_LATE, 8_000 * MS);
    assertEquals(State.OUTAGE, currency.state(19_999 * MS));
    assertEquals(State.OUTDATED, currency.state(20_000 * MS));
    failed(1, CallFailure.IGNORED, 12_000 * MS);
    assertEquals(State.OUTDATED, currency.state(12_000 * MS));
  }

  /** Guards against sends by an old list while discovery is back and crowded: its end of the watch still counted as an outage. */
  @Test
  void queuedCallAfterCallsThatCouldNotBeMadeEndsThePresumedOutage() {
    watchEnds(0);
    failed(4, CallFailure.UNREACHABLE, 1_000 * MS);
    assertEquals(State.OUTAGE, currency.state(LAST_SEND));
    failed(1, CallFailure.TURNED_AWAY_LATE, LAST_SEND);
    assertEquals(State.OUTDATED, currency.state(LAST_SEND));
  }

  /** Guards against sends by an old list while discovery is back and crowded, after an outage in which it answered 503 at once. */
  @Test
  void queuedCallAfterRejectionsAtOnceEndsThePresumedOutage() {
    watchEnds(0);
    for (long at = 200; at <= 4_000; at += 200) {
      failed(1, CallFailure.TURNED_AWAY, at * MS);
    }
    assertEquals(State.OUTAGE, currency.state(LAST_SEND));
    currency.callFailed(CallFailure.TURNED_AWAY_LATE, 4_100 * MS, 5_100 * MS);
    assertEquals(State.AGING, currency.state(LAST_SEND));
    assertTrue(currency.sendable(4_000 * MS + LAST_SEND - 1), "nothing was announced until then");
    assertEquals(State.OUTDATED, currency.state(4_000 * MS + LAST_SEND));
  }

  /** Guards against sends by an old list while a crowded discovery rejects half of the calls at once and half after a wait. */
  @Test
  void waitsBetweenRejectionsAtOnceShowThatDiscoveryIsUp() {
    watchEnds(0);
    for (long at = 1_000; at <= 6_000; at += 2_000) {
      failed(1, CallFailure.TURNED_AWAY, at * MS);
      currency.callFailed(CallFailure.TURNED_AWAY_LATE, at * MS, (at + 1_000) * MS);
    }
    assertEquals(State.OUTDATED, currency.state(LAST_SEND));
  }

  /** Guards against sends by an old list during a second outage: changes between the two may have been missed. */
  @Test
  void secondOutageExcusesNothingOfTheTimeBefore() {
    watchEnds(0);
    failed(16, CallFailure.UNREACHABLE, 1_000 * MS);
    currency.callFailed(CallFailure.TURNED_AWAY_LATE, 1_500 * MS, 2_500 * MS);
    failed(40, CallFailure.UNREACHABLE, 3_000 * MS);
    assertTrue(currency.sendable(1_000 * MS + LAST_SEND - 1));
    assertFalse(currency.sendable(1_000 * MS + LAST_SEND));
  }

  /** Guards against an outage of this balancer's own connection: another one has a list from that time. */
  @Test
  void listOfAnotherBalancerOutweighsCallsThatFail() {
    watchEnds(0);
    failed(40, CallFailure.UNREACHABLE, 5_000 * MS);
    currency.peerReported(2_000 * MS);
    assertFalse(currency.sendable(LAST_SEND));
  }

  /** Guards against refusals in an outage: the last list of another balancer is from about when it began. */
  @Test
  void listOfAnotherBalancerFromTheStartOfTheOutageDoesNotOutweighIt() {
    watchEnds(1_500 * MS);
    currency.peerReported(1_900 * MS);
    currency.confirmedByPeer(1_900 * MS);
    assertEquals(State.OUTAGE, currency.state(1_900 * MS + LAST_SEND));
  }

  /** Guards against refusals during and right after a real outage: nothing counts as announced while it lasts. */
  @Test
  void serviceGoesOnThroughAnOutageAndForTheNoticeAndTheGraceAfterIt() {
    watchEnds(0);
    for (long at = 0; at <= 20_000; at += 250) {
      failed(1, CallFailure.UNREACHABLE, at * MS);
      assertTrue(currency.sendable(at * MS));
    }
    assertEquals(State.OUTAGE, currency.state(20_000 * MS));
    currency.callFailed(CallFailure.TURNED_AWAY_LATE, 20_100 * MS, 21_100 * MS);
    assertEquals(State.AGING, currency.state(21_100 * MS));
    assertTrue(currency.sendable(20_000 * MS + LAST_SEND - 1));
    assertEquals(State.OUTDATED, currency.state(20_000 * MS + LAST_SEND));
  }

  /** Guards against other balancers that starve in the same queue being taken for an outage. */
  @Test
  void callThatIsQueuedAfterAnOutageOutweighsQueriesFromPeers() {
    failed(4, CallFailure.UNREACHABLE, 1_000 * MS);
    failed(1, CallFailure.TURNED_AWAY_LATE, 3_000 * MS);
    currency.peerQueried(LAST_SEND);
    assertEquals(State.OUTDATED, currency.state(LAST_SEND));
    failed(16, CallFailure.UNREACHABLE, LAST_SEND);
    assertEquals(
        State.OUTDATED, currency.state(LAST_SEND), "discovery was up between the two outages");
  }

  /** Guards against sends by an old list while this process is out of descriptors, which says nothing of discovery. */
  @Test
  void callsThatThisProcessCouldNotMakeAreNoOutage() {
    failed(40, CallFailure.NOT_MADE, 7_000 * MS);
    assertEquals(State.OUTDATED, currency.state(LAST_SEND));
    ListCurrency pushed = new ListCurrency(true, GRACE, 0);
    pushed.callFailed(CallFailure.NOT_MADE, 7_000 * MS, 7_000 * MS);
    assertEquals(State.OUTDATED, pushed.state(LAST_SEND));
  }

  /** Guards against sends by an old list while an agent answers, though not whole: what it has counts as announced. */
  @Test
  void agentThatAnswersInPartIsNotSilent() {
    ListCurrency pushed = new ListCurrency(true, GRACE, 0);
    pushed.callFailed(CallFailure.CUT, 7_000 * MS, 7_000 * MS);
    assertEquals(State.OUTDATED, pushed.state(LAST_SEND));
  }

  /** Guards against an outage of one discovery being presumed of the next one, which a new configuration names. */
  @Test
  void outageOfTheDiscoveryBeforeIsNoneOfTheNext() {
    for (long at = 0; at <= 11_000; at += 500) {
      failed(1, CallFailure.UNREACHABLE, at * MS);
    }
    currency.discoveryMoved(11_000 * MS);
    assertTrue(currency.sendable(11_000 * MS + LAST_SEND - 1), "nothing was announced until then");
    assertEquals(State.OUTDATED, currency.state(11_000 * MS + LAST_SEND));
  }

  /** Guards against refusals at a SIGHUP in an outage that only the end of the watch tells. */
  @Test
  void presumedOutageCountsUntilAnotherDiscoveryIsCalled() {
    watchEnds(0);
    failed(4, CallFailure.TURNED_AWAY_LATE, 9_000 * MS);
    currency.discoveryMoved(10_000 * MS);
    assertTrue(currency.sendable(10_000 * MS + LAST_SEND - 1));
    assertEquals(State.OUTDATED, currency.state(10_000 * MS + LAST_SEND));
  }

  @Test
  void rejectionsAloneAreNotAnOutage() {
    failed(40, CallFailure.TURNED_AWAY_LATE, 8_000 * MS);
    failed(40, CallFailure.TURNED_AWAY, 8_000 * MS);
    assertEquals(State.OUTDATED, currency.state(8_000 * MS));
  }

  @Test
  void queriesFromPeersMeanAnOutageAndAReportMeansNone() {
    currency.peerQueried(8_000 * MS);
    assertEquals(State.OUTAGE, currency.state(8_000 * MS));
    currency.peerReported(8_900 * MS);
    assertEquals(State.OUTDATED, currency.state(9_000 * MS));
    currency.confirmedByPeer(8_900 * MS);
    assertEquals(State.CURRENT, currency.state(9_000 * MS));
  }

  @Test
  void silentAgentMeansAnOutage() {
    assertEquals(State.OUTAGE, new ListCurrency(true, GRACE, 0).state(60_000 * MS));
  }

  /** Guards against sends by an old list: the watch had fallen silent while the agent still got changes. */
  @Test
  void pushedWatchThatFellSilentBeforeItsAgentExcusesNothing() {
    ListCurrency pushed = new ListCurrency(true, GRACE, 0);
    pushed.markCurrent(0);
    pushed.callFailed(CallFailure.SILENT, 0, 3_000 * MS);
    for (long at = 3_100; at < 7_000; at += 600) {
      pushed.callFailed(CallFailure.IGNORED, at * MS, (at + 500) * MS);
    }
    assertEquals(State.OUTDATED, pushed.state(LAST_SEND));
  }

  @Test
  void eachStateChangeIsLoggedOnce() {
    assertNull(currency.stateChangeLine(1_000 * MS));
    assertNotNull(currency.stateChangeLine(4_000 * MS));
    assertNull(currency.stateChangeLine(5_000 * MS));
    assertTrue(currency.stateChangeLine(8_000 * MS).contains("OUTDATED"));
  }
}
