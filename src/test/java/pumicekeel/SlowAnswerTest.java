package pumicekeel;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import pumicekeel.Balancer.Action;
import pumicekeel.Balancer.AnswerArriving;
import pumicekeel.Balancer.AnswerStalled;
import pumicekeel.Balancer.AnswerStarted;
import pumicekeel.Balancer.Cancel;
import pumicekeel.Balancer.DedupScope;
import pumicekeel.Balancer.Effect;
import pumicekeel.Balancer.Fail;
import pumicekeel.Balancer.Refuse;
import pumicekeel.Balancer.Status;

/** Decisions on answers that have begun and come slowly or stop. Requests have 2 s; answers that have begun 0.5 s more. */
class SlowAnswerTest {

  private static final String ID = "slow";
  private static final int STREAMS = 60;

  private static Driver driver(Effect effect) {
    return new Driver(
            Driver.settings(false, List.of(), Driver.requestClass("c", effect, DedupScope.ALL)))
        .upstreams(4);
  }

  /** Sends a request whose answer begins at once; returns its upstream. */
  private static long begin(Driver d) {
    long upstream = Driver.sentTo(d.request(ID, "c", "k"));
    d.handle(new AnswerArriving(ID, 0, d.now + 2_500 * Driver.MS));
    return upstream;
  }

  private static boolean ended(List<Action> actions) {
    return Driver.has(actions, Refuse.class) || Driver.has(actions, Fail.class);
  }

  @Test
  void requestIsNotGivenUpWhileItsAnswerArrives() {
    Driver d = driver(Effect.UNSAFE);
    begin(d);
    List<Action> before = d.advance(2_400 * Driver.MS);
    assertFalse(ended(before), "before the answer's deadline");
    assertFalse(Driver.has(before, Cancel.class));
    assertTrue(Driver.has(d.advance(200 * Driver.MS), Fail.class), "after it");
  }

  @Test
  void requestEndsAtOnceIfItsAnswerBreaksAfterItsDeadline() {
    Driver d = driver(Effect.SAFE);
    long upstream = begin(d);
    d.advance(2_100 * Driver.MS);
    assertTrue(ended(d.end(ID, upstream, Status.RESET, 2_100 * Driver.MS)));
  }

  @Test
  void stalledAnswerIsCopiedAndNotCancelled() {
    for (Effect effect : List.of(Effect.SAFE, Effect.KEYED)) {
      Driver d = driver(effect);
      long first = begin(d);
      d.advance(300 * Driver.MS);
      List<Action> actions = d.handle(new AnswerStalled(ID, 0));
      assertNotEquals(-1, Driver.sentTo(actions), "copied");
      assertNotEquals(first, Driver.sentTo(actions), "elsewhere");
      assertFalse(Driver.has(actions, Cancel.class));
      assertTrue(
          Driver.has(d.end(ID, first, Status.SERVED, 900 * Driver.MS), Cancel.class),
          "the other one is cancelled once the first is whole");
    }
  }

  @Test
  void unsafeRequestHasOnlyTheAnswerThatItHas() {
    Driver d = driver(Effect.UNSAFE);
    begin(d);
    d.advance(300 * Driver.MS);
    assertEquals(-1, Driver.sentTo(d.handle(new AnswerStalled(ID, 0))));
    assertEquals(-1, Driver.sentTo(d.advance(1_500 * Driver.MS)));
  }

  @Test
  void atMostTwoAttemptsAreOutAndAThirdFollowsAFailure() {
    Driver d = driver(Effect.SAFE);
    begin(d);
    d.advance(300 * Driver.MS);
    long second = Driver.sentTo(d.handle(new AnswerStalled(ID, 0)));
    d.handle(new AnswerArriving(ID, 1, d.now + 2_200 * Driver.MS));
    d.advance(300 * Driver.MS);
    assertEquals(-1, Driver.sentTo(d.handle(new AnswerStalled(ID, 1))), "two are out");
    // More requests, so that tokens for retries are not what is missing.
    for (int i = 0; i < 20; i++) {
      d.serve("k" + i, Driver.MS);
    }
    List<Action> after = d.end(ID, second, Status.RESET, 400 * Driver.MS);
    after.addAll(d.advance(100 * Driver.MS));
    assertNotEquals(-1, Driver.sentTo(after), "one stopped answer is out");
  }

  @Test
  void olderOfTwoStoppedAnswersIsGivenUpOnlyWhereSuchAnswersDoNotCome() {
    for (Status past : List.of(Status.TIMEOUT, Status.SERVED)) {
      Driver d = new Driver(Driver.safe()).upstreams(4);
      for (int i = 0; i < 4; i++) {
        String id = "past" + i;
        d.request(id, "c", "k" + i);
        d.handle(new AnswerStalled(id, 0));
        for (Driver.Sent sent : List.copyOf(d.outstanding)) {
          d.end(sent, sent.attempt() == 0 ? past : Status.CANCELLED, Driver.MS);
        }
        IntStream.range(0, 100).forEach(k -> d.serve("k" + k, Driver.MS));
      }
      begin(d);
      d.handle(new AnswerStalled(ID, 0));
      List<Action> actions = new ArrayList<>(d.handle(new AnswerStalled(ID, 1)));
      actions.addAll(d.advance(200 * Driver.MS));
      assertEquals(past == Status.TIMEOUT, Driver.has(actions, Cancel.class), "" + past);
      assertEquals(past == Status.TIMEOUT, Driver.sentTo(actions) != -1, "" + past);
    }
  }

  @Test
  void stalledAnswersDoNotCountAsLoadOfTheirUpstream() {
    Driver d = new Driver(Driver.safe()).upstreams(1);
    for (int i = 0; i < 6; i++) {
      String id = "s" + i;
      assertNotEquals(-1, Driver.sentTo(d.request(id, "c", "k")), "request " + i);
      d.handle(new AnswerArriving(id, 0, d.now + 2_500 * Driver.MS));
      d.handle(new AnswerStalled(id, 0));
      for (int j = 0; j < 10; j++) {
        d.serve("k", 10 * Driver.MS);
      }
    }
    assertEquals(0, d.outstanding.stream().filter(s -> s.attempt() > 0).count());
    assertEquals(6, d.outstanding.size());
  }

  @Test
  void streamsThatStallDoNotCountAsLoadNorAsFailuresOfTheirUpstream() {
    Driver d = new Driver(Driver.safe()).upstreams(1);
    for (int i = 0; i < STREAMS; i++) {
      String id = "s" + i;
      long upstream = Driver.sentTo(d.request(id, "c", "k"));
      assertNotEquals(-1, upstream, "request " + i);
      d.handle(new AnswerArriving(id, 0, d.now + 2_500 * Driver.MS));
      d.handle(new AnswerStarted(id, 0, upstream, Driver.MS));
      assertEquals(-1, Driver.sentTo(d.handle(new AnswerStalled(id, 0))), "not copied");
      for (int j = 0; j < 10; j++) {
        d.serve("k", 10 * Driver.MS);
      }
    }
    assertEquals(STREAMS, d.outstanding.size());
  }

  /** The time that a stream takes is no latency: where it breaks long after its start, others are admitted as before. */
  @Test
  void streamThatBreaksLateDoesNotMakeOthersBeRefused() {
    Driver d = new Driver(Driver.safe()).upstreams(4);
    List<Driver.Sent> streams = new ArrayList<>();
    for (int i = 0; i < 20; i++) {
      String id = "s" + i;
      long upstream = Driver.sentTo(d.request(id, "c", "k" + i));
      d.handle(new AnswerStarted(id, 0, upstream, Driver.MS));
      d.handle(new AnswerStalled(id, 0));
    }
    streams.addAll(d.outstanding);
    d.advance(60_000 * Driver.MS);
    for (int i = 0; i < 40; i++) {
      assertNotEquals(-1, d.serve("k" + i, Driver.MS), "before");
    }
    for (Driver.Sent stream : streams) {
      d.end(stream, Status.RESET, Driver.MS);
      d.advance(20 * Driver.MS);
      for (int i = 0; i < 5; i++) {
        assertNotEquals(-1, d.serve("k" + i, Driver.MS), "after the end of " + stream);
      }
    }
  }

  @Test
  void upstreamOfAnswersThatComeInTheEndIsUsedAgain() {
    Driver d = new Driver(Driver.safe()).upstreams(4);
    for (int i = 0; i < 100; i++) {
      d.serve("k" + i, 10 * Driver.MS);
    }
    long slow = d.serve("k", Driver.MS);
    for (int i = 0; i < 3; i++) {
      String id = "s" + i;
      d.request(id, "c", "k");
      d.handle(new AnswerArriving(id, 0, d.now + 2_500 * Driver.MS));
      d.handle(new AnswerStalled(id, 0));
    }
    assertEquals(0, countServedBy(d, slow), "several of its answers stalled");
    for (Driver.Sent sent : List.copyOf(d.outstanding)) {
      if (sent.upstream() == slow) {
        d.end(sent, Status.SERVED, Driver.MS);
      }
    }
    assertNotEquals(0, countServedBy(d, slow), "they came in the end");
  }

  private static long countServedBy(Driver d, long upstream) {
    return IntStream.range(0, 100)
        .filter(i -> d.serve("k" + i, Driver.MS) == upstream)
        .count();
  }
}
