package pumicekeel.delivery;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import pumicekeel.delivery.Subscription.Ask;
import pumicekeel.delivery.Subscription.AskPart;
import pumicekeel.delivery.Subscription.Pending;
import pumicekeel.delivery.Subscription.Rest;
import pumicekeel.delivery.Subscription.Step;
import pumicekeel.delivery.Subscription.Take;

/** The subscriber's steps, one reply at a time, in made-up time. */
class SubscriptionTest {

  private static final int SERVERS = 4;
  private static final String TEXT = "[pools.a]\nx = 1\n[pools.b]\nx = 1\n";
  private static final ConfigurationVersion HELD = version(5);

  private long now;
  private Subscription subscription = new Subscription(SERVERS, HELD, 1, 0);

  private static ConfigurationVersion version(long sequence) {
    return ConfigurationVersion.of(1, sequence, TEXT);
  }

  /** The next step that is no rest; time passes up to it. */
  private Step step() {
    Step step = subscription.next(now);
    while (step instanceof Rest rest) {
      now = Math.max(now, rest.untilNanos());
      step = subscription.next(now);
    }
    return step;
  }

  private Ask ask() {
    return assertInstanceOf(Ask.class, step());
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

  private void take(Reply delta) {
    reply(ask().call(), delta);
    subscription.taken(assertInstanceOf(Take.class, step()).call(), now);
  }

  @Test
  void machinesAreAskedInTurnAndOneThatAnswersAtOnceNotWithoutEnd() {
    Ask first = ask();
    long began = now;
    reply(first.call(), new Reply.Unchanged());
    Ask second = ask();
    assertEquals((first.server() + 1) % SERVERS, second.server());
    assertTrue(now - began >= 500_000_000L);
  }

  @Test
  void lateOrDoubledReplyCountsForNothing() {
    Ask first = ask();
    reply(first.call(), new Reply.Failed("silent"));
    Ask second = ask();
    reply(first.call(), delta(5, 6));
    assertInstanceOf(Pending.class, subscription.next(now));
    reply(second.call(), delta(5, 6));
    Take take = assertInstanceOf(Take.class, step());
    reply(second.call(), delta(5, 7));
    subscription.taken(take.call(), now);
    subscription.taken(take.call(), now);
    assertEquals(version(6), subscription.held());
  }

  @Test
  void versionsMayBeSkippedAndNeverGoBack() {
    take(delta(5, 9));
    reply(ask().call(), delta(9, 8));
    Ask again = ask();
    assertEquals(version(9), again.held());
    reply(again.call(), part(9, 0, 5));
    assertInstanceOf(Ask.class, step(), "a snapshot of what is held is not begun");
  }

  @Test
  void deltaOnAnotherBaseIsAnsweredByASnapshotInParts() {
    reply(ask().call(), delta(4, 6));
    Ask whole = ask();
    assertEquals(ConfigurationVersion.NONE, whole.held());
    assertEquals(HELD, whole.known());
    reply(whole.call(), part(6, 0, 10));
    AskPart next = assertInstanceOf(AskPart.class, step());
    assertEquals(10, next.offset());
    reply(next.call(), part(6, 12, 20));
    AskPart cutOff = assertInstanceOf(AskPart.class, step());
    assertEquals(10, cutOff.offset(), "a part that is not the next one changes nothing");
    assertTrue(cutOff.server() != next.server(), "the transfer goes on at another machine");
    reply(cutOff.call(), new Reply.Failed("connection ended"));
    reply(assertInstanceOf(AskPart.class, step()).call(), part(6, 10, TEXT.length()));
    Take take = assertInstanceOf(Take.class, step());
    assertArrayEquals(
        TEXT.getBytes(StandardCharsets.UTF_8),
        assertInstanceOf(Candidate.Snapshot.class, take.candidate()).bytes());
  }

  @Test
  void transferWhoseVersionIsGoneStartsAnew() {
    reply(ask().call(), delta(4, 6));
    reply(ask().call(), part(6, 0, 10));
    reply(assertInstanceOf(AskPart.class, step()).call(), new Reply.Gone());
    assertEquals(ConfigurationVersion.NONE, ask().held());
  }

  @Test
  void refusedVersionIsNotAskedForAgainAndANewerOneIsTried() {
    reply(ask().call(), delta(5, 6));
    subscription.refused(assertInstanceOf(Take.class, step()).call(), "unknown key", now);
    Ask next = ask();
    assertEquals(HELD, next.held());
    assertEquals(version(6), next.known());
    assertEquals("unknown key", subscription.trouble());
    reply(next.call(), delta(5, 7));
    subscription.taken(assertInstanceOf(Take.class, step()).call(), now);
    assertEquals(version(7), subscription.held());
  }

  @Test
  void postponedVersionIsTriedAgainAndADamagedOneIsFetchedWhole() {
    reply(ask().call(), delta(5, 6));
    subscription.postponed(assertInstanceOf(Take.class, step()).call(), "drains", now);
    Ask meanwhile = ask();
    assertEquals(version(6), meanwhile.known());
    assertEquals("drains", subscription.trouble());
    now += 60_000_000_000L;
    reply(meanwhile.call(), new Reply.Unchanged());
    Ask again = ask();
    assertEquals(HELD, again.known());
    reply(again.call(), delta(5, 6));
    subscription.damaged(assertInstanceOf(Take.class, step()).call(), "hash", now);
    assertEquals(ConfigurationVersion.NONE, ask().held());
  }

  /** Failures in a row are answered by rests that grow, stay under the bound and differ by seed. */
  @Test
  void backOffIsSpreadAndBounded() {
    int seeds = 590;
    System.out.println("seeds 0 to " + (seeds - 1));
    long[] times = new long[seeds];
    for (int seed = 0; seed < seeds; seed++) {
      subscription = new Subscription(SERVERS, HELD, seed, 0);
      now = 0;
      for (int i = 0; i < 8; i++) {
        reply(ask().call(), new Reply.Failed("refused"));
      }
      Rest rest = assertInstanceOf(Rest.class, subscription.next(now));
      times[seed] = rest.untilNanos() - now;
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
