package pumicekeel.delivery;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import pumicekeel.delivery.Subscription.Apply;
import pumicekeel.delivery.Subscription.FetchPart;
import pumicekeel.delivery.Subscription.Pending;
import pumicekeel.delivery.Subscription.Poll;
import pumicekeel.delivery.Subscription.Step;
import pumicekeel.delivery.Subscription.Wait;

/** Steps of a subscription in simulated time, one reply at a time. */
class SubscriptionTest {

  private static final int SERVERS = 4;
  private static final String TEXT = "[pools.a]\nx = 1\n[pools.b]\nx = 1\n";
  private static final ConfigurationVersion HELD = version(5);

  private long now;
  private Subscription subscription = new Subscription(SERVERS, HELD, 1, 0);

  private static ConfigurationVersion version(long sequence) {
    return ConfigurationVersion.of(1, sequence, TEXT);
  }

  /** Returns the next step that is not a wait, and advances the time to it. */
  private Step step() {
    Step step = subscription.next(now);
    while (step instanceof Wait wait) {
      now = Math.max(now, wait.untilNanos());
      step = subscription.next(now);
    }
    return step;
  }

  private Poll poll() {
    return assertInstanceOf(Poll.class, step());
  }

  private void reply(long call, Reply reply) {
    subscription.replied(call, reply, now);
  }

  private static Reply delta(long base, long target) {
    return new Reply.Delta(
        new ConfigurationDelta(version(base), version(target), List.of(), List.of()));
  }

  private static Reply part(long sequence, int from, int to) {
    byte[] text = TEXT.getBytes(StandardCharsets.UTF_8);
    return new Reply.Part(
        new SnapshotPart(version(sequence), from, text.length, Arrays.copyOfRange(text, from, to)));
  }

  private void apply(Reply delta) {
    reply(poll().call(), delta);
    subscription.applied(assertInstanceOf(Apply.class, step()).call(), now);
  }

  @Test
  void machinesAreCalledInTurnAndNotMoreOftenThanThePollPeriod() {
    Poll first = poll();
    long began = now;
    reply(first.call(), new Reply.Unchanged());
    Poll second = poll();
    assertEquals((first.server() + 1) % SERVERS, second.server());
    assertTrue(now - began >= 500_000_000L);
  }

  @Test
  void lateOrDuplicateReplyIsIgnored() {
    Poll first = poll();
    reply(first.call(), new Reply.Failed("silent"));
    Poll second = poll();
    reply(first.call(), delta(5, 6));
    assertInstanceOf(Pending.class, subscription.next(now));
    reply(second.call(), delta(5, 6));
    Apply apply = assertInstanceOf(Apply.class, step());
    reply(second.call(), delta(5, 7));
    subscription.applied(apply.call(), now);
    subscription.applied(apply.call(), now);
    assertEquals(version(6), subscription.held());
  }

  @Test
  void versionsMayBeSkippedAndNeverDecrease() {
    apply(delta(5, 9));
    reply(poll().call(), delta(9, 8));
    Poll again = poll();
    assertEquals(version(9), again.held());
    reply(again.call(), part(9, 0, 5));
    assertInstanceOf(Poll.class, step(), "a snapshot of the held version is not begun");
  }

  @Test
  void deltaOnAnotherBaseIsFollowedByASnapshotInParts() {
    reply(poll().call(), delta(4, 6));
    Poll whole = poll();
    assertEquals(ConfigurationVersion.NONE, whole.held());
    assertEquals(HELD, whole.known());
    reply(whole.call(), part(6, 0, 10));
    FetchPart next = assertInstanceOf(FetchPart.class, step());
    assertEquals(10, next.offset());
    reply(next.call(), part(6, 12, 20));
    FetchPart repeated = assertInstanceOf(FetchPart.class, step());
    assertEquals(10, repeated.offset(), "a part that is not the next one changes nothing");
    assertTrue(repeated.server() != next.server(), "the transfer continues at another machine");
    reply(repeated.call(), new Reply.Failed("connection ended"));
    reply(assertInstanceOf(FetchPart.class, step()).call(), part(6, 10, TEXT.length()));
    Apply apply = assertInstanceOf(Apply.class, step());
    assertArrayEquals(
        TEXT.getBytes(StandardCharsets.UTF_8),
        assertInstanceOf(Candidate.Snapshot.class, apply.candidate()).bytes());
  }

  @Test
  void transferOfARemovedVersionStartsAnew() {
    reply(poll().call(), delta(4, 6));
    reply(poll().call(), part(6, 0, 10));
    reply(assertInstanceOf(FetchPart.class, step()).call(), new Reply.Gone());
    assertEquals(ConfigurationVersion.NONE, poll().held());
  }

  @Test
  void refusedVersionIsNotRequestedAgainAndANewerOneIsApplied() {
    reply(poll().call(), delta(5, 6));
    subscription.refused(assertInstanceOf(Apply.class, step()).call(), "unknown key", now);
    Poll next = poll();
    assertEquals(HELD, next.held());
    assertEquals(version(6), next.known());
    assertEquals("unknown key", subscription.trouble());
    reply(next.call(), delta(5, 7));
    subscription.applied(assertInstanceOf(Apply.class, step()).call(), now);
    assertEquals(version(7), subscription.held());
  }

  @Test
  void postponedVersionIsRetriedAndADamagedOneIsFetchedAsASnapshot() {
    reply(poll().call(), delta(5, 6));
    subscription.postponed(assertInstanceOf(Apply.class, step()).call(), "drains", now);
    Poll meanwhile = poll();
    assertEquals(version(6), meanwhile.known());
    assertEquals("drains", subscription.trouble());
    now += 60_000_000_000L;
    reply(meanwhile.call(), new Reply.Unchanged());
    Poll again = poll();
    assertEquals(HELD, again.known());
    reply(again.call(), delta(5, 6));
    subscription.damaged(assertInstanceOf(Apply.class, step()).call(), "hash", now);
    assertEquals(ConfigurationVersion.NONE, poll().held());
  }

  /** Delays after consecutive failures grow, stay below the limit and differ by seed. */
  @Test
  void backOffIsSpreadAndBounded() {
    int seeds = 590;
    System.out.println("seeds 0 to " + (seeds - 1));
    long[] times = new long[seeds];
    for (int seed = 0; seed < seeds; seed++) {
      subscription = new Subscription(SERVERS, HELD, seed, 0);
      now = 0;
      for (int i = 0; i < 8; i++) {
        reply(poll().call(), new Reply.Failed("refused"));
      }
      Wait wait = assertInstanceOf(Wait.class, subscription.next(now));
      times[seed] = wait.untilNanos() - now;
    }
    Arrays.sort(times);
    assertTrue(times[seeds - 1] <= 4_000_000_000L);
    for (int tenth = 0; tenth < 10; tenth++) {
      long from = tenth * 400_000_000L;
      long count =
          Arrays.stream(times).filter(t -> t > from && t <= from + 400_000_000L).count();
      assertTrue(count > 25 && count < 120, "a tenth of the time holds " + count);
    }
  }
}
