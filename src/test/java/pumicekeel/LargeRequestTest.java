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

/** Requests that are sent while they still come, and answers that are passed on: what the module makes of either. */
class LargeRequestTest {

  private static final long MS = Driver.MS;
  private static final long FAR = 1_200_000 * MS;

  private final Driver d = warm(
      Driver.type("c", Effect.SAFE, DedupScope.ALL),
      Driver.type("u", Effect.UNSAFE, DedupScope.ALL));

  private static Driver warm(Balancer.RequestClass... types) {
    Driver d = new Driver(Driver.settings(false, List.of(), types)).upstreams(4);
    for (int i = 0; i < 60; i++) {
      d.serve("warm" + i, 20 * MS);
    }
    return d;
  }

  private List<Action> coming(String id, String type) {
    return d.step(new Request(id, type, null, "k", d.now + FAR, 0, false, List.of(), false, true));
  }

  private List<Action> end(String id, int attempt, long upstream, Status status, boolean spent) {
    d.outstanding.removeIf(s -> s.id().equals(id) && s.attempt() == attempt);
    return d.step(new Outcome(
        id, attempt, upstream, status, MS, status == Status.SERVED, Map.of(), false, spent));
  }

  @Test
  void isSentAtOnceAndItsTimeCountsFromItsLastByte() {
    long upstream = Driver.sentTo(coming("r", "c"));
    assertTrue(upstream >= 0);
    assertFalse(
        d.pass(60_000 * MS).stream()
            .anyMatch(a -> a instanceof Send || a instanceof Refuse || a instanceof Fail),
        "no copy, no end, however long it comes");
    d.step(new RequestBodyReceived("r", d.now + 2_000 * MS));
    List<Action> late = d.pass(2_100 * MS);
    assertTrue(Driver.has(late, Refuse.class), "its own deadline: " + late);
  }

  @Test
  void countsAsNobodysWorkUntilItHasCome() {
    long first = Driver.sentTo(coming("r0", "c"));
    for (int i = 1; i < 30; i++) {
      assertEquals(
          first, Driver.sentTo(coming("r" + i, "c")), "the key's own upstream has room as before");
    }
    for (int i = 0; i < 30; i++) {
      d.step(new RequestBodyReceived("r" + i, d.now + 2_000 * MS));
    }
    assertTrue(Driver.sentTo(d.request("next", "c", "k")) != first, "now it is full");
  }

  @Test
  void oneThatIsSpentIsEndedAndOneThatIsNotGoesElsewhere() {
    long upstream = Driver.sentTo(coming("kept", "c"));
    assertTrue(Driver.has(end("kept", 0, upstream, Status.CONNECT_FAILED, false), Send.class));
    upstream = Driver.sentTo(coming("spent", "u"));
    assertTrue(
        Driver.has(end("spent", 0, upstream, Status.CONNECT_FAILED, true), Refuse.class),
        "it never ran");
    upstream = Driver.sentTo(coming("ran", "u"));
    d.step(new RequestBodyReceived("ran", d.now + 2_000 * MS));
    assertTrue(
        Driver.has(end("ran", 0, upstream, Status.RESET, true), Fail.class), "it may have run");
  }

  @Test
  void slowClientsAreNoLoad() {
    for (int i = 0; i < 40; i++) {
      long upstream = Driver.sentTo(coming("r" + i, "c"));
      d.pass(30_000 * MS);
      d.step(new RequestBodyReceived("r" + i, d.now + 2_000 * MS));
      d.pass(20 * MS);
      d.outstanding.removeIf(s -> s.id().startsWith("r"));
      d.step(new Outcome("r" + i, 0, upstream, Status.SERVED, 20 * MS, true, Map.of()));
    }
    d.refusals.clear();
    for (int i = 0; i < 40; i++) {
      d.serve("k" + i, 20 * MS);
    }
    assertEquals(0, d.refusals.values().stream().mapToInt(n -> n).sum());
  }

  @Test
  void answerThatBeginsEndsTheOthersAndHasNoDeadline() {
    long first = Driver.sentTo(d.request("r", "c", "k"));
    List<Action> waited = d.pass(300 * MS);
    long second = Driver.sentTo(waited);
    assertTrue(second >= 0 && second != first, "a copy past a silent upstream: " + waited);
    List<Action> begun = d.step(new AnswerStarted("r", 1, second, 5 * MS));
    assertEquals(
        List.of(new Cancel("r", 0)),
        begun.stream().filter(a -> a instanceof Cancel).toList());
    end("r", 0, first, Status.CANCELLED, false);
    assertFalse(d.pass(60_000 * MS).stream()
        .anyMatch(a -> a instanceof Refuse || a instanceof Fail || a instanceof Send));
    assertFalse(
        Driver.has(
            d.step(new Outcome("r", 1, second, Status.RESET, 5 * MS, true, Map.of())), Send.class),
        "cut: nothing is sent again");
  }
}
