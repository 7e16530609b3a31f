package pumicekeel;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import pumicekeel.Balancer.Action;
import pumicekeel.Balancer.AnswerStarted;
import pumicekeel.Balancer.Cancel;
import pumicekeel.Balancer.DedupScope;
import pumicekeel.Balancer.Effect;
import pumicekeel.Balancer.Fail;
import pumicekeel.Balancer.Outcome;
import pumicekeel.Balancer.Refuse;
import pumicekeel.Balancer.Request;
import pumicekeel.Balancer.RequestBodyReceived;
import pumicekeel.Balancer.Send;
import pumicekeel.Balancer.Status;

/** Tests requests that are forwarded while their body is still being received, and answers that are streamed to the client. */
class LargeRequestTest {

  private static final long MS = Driver.MS;
  private static final long FAR_DEADLINE_NANOS = 1_200_000 * MS;

  private final Driver d = warm(
      Driver.requestClass("c", Effect.SAFE, DedupScope.ALL),
      Driver.requestClass("u", Effect.UNSAFE, DedupScope.ALL));

  private static Driver warm(Balancer.RequestClass... types) {
    Driver d = new Driver(Driver.settings(false, List.of(), types)).upstreams(4);
    for (int i = 0; i < 60; i++) {
      d.serve("warm" + i, 20 * MS);
    }
    return d;
  }

  private List<Action> receiving(String id, String type) {
    return d.handle(new Request(
        id, type, null, "k", d.now + FAR_DEADLINE_NANOS, 0, false, List.of(), false, true));
  }

  private List<Action> end(
      String id, int attempt, long upstream, Status status, boolean bodyConsumed) {
    d.outstanding.removeIf(s -> s.id().equals(id) && s.attempt() == attempt);
    return d.handle(new Outcome(
        id, attempt, upstream, status, MS, status == Status.SERVED, Map.of(), false, bodyConsumed));
  }

  @Test
  void isSentAtOnceAndItsDeadlineCountsFromItsLastByte() {
    long upstream = Driver.sentTo(receiving("r", "c"));
    assertTrue(upstream >= 0);
    assertFalse(
        d.advance(60_000 * MS).stream()
            .anyMatch(a -> a instanceof Send || a instanceof Refuse || a instanceof Fail),
        "no hedge and no final answer while the body is being received");
    d.handle(new RequestBodyReceived("r", d.now + 2_000 * MS));
    List<Action> late = d.advance(2_100 * MS);
    assertTrue(Driver.has(late, Refuse.class), "its deadline counts from the last byte: " + late);
  }

  @Test
  void doesNotCountAsWorkUntilItsBodyIsReceived() {
    long first = Driver.sentTo(receiving("r0", "c"));
    for (int i = 1; i < 30; i++) {
      assertEquals(
          first,
          Driver.sentTo(receiving("r" + i, "c")),
          "the key's upstream has capacity as before");
    }
    for (int i = 0; i < 30; i++) {
      d.handle(new RequestBodyReceived("r" + i, d.now + 2_000 * MS));
    }
    assertTrue(
        Driver.sentTo(d.request("next", "c", "k")) != first, "the upstream is now at capacity");
  }

  @Test
  void isRetriedUnlessItsBodyIsConsumed() {
    long upstream = Driver.sentTo(receiving("buffered", "c"));
    assertTrue(Driver.has(end("buffered", 0, upstream, Status.CONNECT_FAILED, false), Send.class));
    upstream = Driver.sentTo(receiving("consumed", "u"));
    assertTrue(
        Driver.has(end("consumed", 0, upstream, Status.CONNECT_FAILED, true), Refuse.class),
        "it never ran");
    upstream = Driver.sentTo(receiving("ran", "u"));
    d.handle(new RequestBodyReceived("ran", d.now + 2_000 * MS));
    assertTrue(
        Driver.has(end("ran", 0, upstream, Status.RESET, true), Fail.class), "it may have run");
  }

  @Test
  void slowClientsAreNotCountedAsLoad() {
    for (int i = 0; i < 40; i++) {
      long upstream = Driver.sentTo(receiving("r" + i, "c"));
      d.advance(30_000 * MS);
      d.handle(new RequestBodyReceived("r" + i, d.now + 2_000 * MS));
      d.advance(20 * MS);
      d.outstanding.removeIf(s -> s.id().startsWith("r"));
      d.handle(new Outcome("r" + i, 0, upstream, Status.SERVED, 20 * MS, true, Map.of()));
    }
    d.refusals.clear();
    for (int i = 0; i < 40; i++) {
      d.serve("k" + i, 20 * MS);
    }
    assertEquals(0, d.refusals.values().stream().mapToInt(n -> n).sum());
  }

  @Test
  void startedAnswerCancelsOtherAttemptsAndHasNoDeadline() {
    long first = Driver.sentTo(d.request("r", "c", "k"));
    List<Action> later = d.advance(300 * MS);
    long second = Driver.sentTo(later);
    assertTrue(
        second >= 0 && second != first, "a hedge sent because the upstream is silent: " + later);
    List<Action> started = d.handle(new AnswerStarted("r", 1, second, 5 * MS));
    assertEquals(
        List.of(new Cancel("r", 0)),
        started.stream().filter(a -> a instanceof Cancel).toList());
    end("r", 0, first, Status.CANCELLED, false);
    assertFalse(d.advance(60_000 * MS).stream()
        .anyMatch(a -> a instanceof Refuse || a instanceof Fail || a instanceof Send));
    assertFalse(
        Driver.has(
            d.handle(new Outcome("r", 1, second, Status.RESET, 5 * MS, true, Map.of())),
            Send.class),
        "a broken answer is not retried");
  }
}
