package pumicekeel;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import pumicekeel.Balancer.DedupScope;
import pumicekeel.Balancer.Effect;
import pumicekeel.Balancer.Fail;
import pumicekeel.Balancer.Limits;
import pumicekeel.Balancer.Refuse;
import pumicekeel.Balancer.Request;
import pumicekeel.Balancer.RequestClass;
import pumicekeel.Balancer.Send;
import pumicekeel.Balancer.Settings;
import pumicekeel.Balancer.SettingsChanged;
import pumicekeel.Balancer.Status;

/** Tests a change of settings while requests are open: these keep their class, and the module's state is kept. */
class SettingsChangedTest {

  private static Settings with(int maxAttempts, RequestClass... classes) {
    Settings s = Driver.settings(false, List.of(), classes);
    Limits l = s.limits();
    return new Settings(
        s.me(),
        s.groupSize(),
        s.zone(),
        s.classes(),
        s.tenants(),
        new Limits(
            l.cancel(),
            l.probes(),
            l.peers(),
            l.secondCopies(),
            l.retryAfter(),
            l.maxRetryAfterNanos(),
            maxAttempts,
            l.maxOpen(),
            l.streamsPerConnection(),
            l.connectTimeoutNanos(),
            l.connectionIdleNanos()),
        s.contract(),
        s.prices(),
        s.listOnRequest(),
        s.weightKind(),
        s.overShareWorth(),
        s.warmKeys(),
        s.tickNanos());
  }

  private static final RequestClass SAFE = Driver.requestClass("c", Effect.SAFE, DedupScope.ALL);
  private static final RequestClass UNSAFE =
      Driver.requestClass("c", Effect.UNSAFE, DedupScope.ALL);

  @Test
  void openRequestKeepsItsClassAndTheNextHasTheNewOne() {
    Driver d = new Driver(with(4, SAFE)).upstreams(4);
    long first = Driver.sentTo(d.request("old", "c", "k"));
    d.handle(new SettingsChanged(with(4, UNSAFE)));
    long second = Driver.sentTo(d.request("new", "c", "k"));
    assertTrue(
        Driver.has(d.end("old", first, Status.ERROR, Driver.MS), Send.class),
        "it arrived with a safe class: retried");
    assertTrue(
        Driver.has(d.end("new", second, Status.ERROR, Driver.MS), Fail.class),
        "unsafe: it may have run");
  }

  @Test
  void requestReceivedBeforeTheChangeUsesTheFormerClass() {
    Driver d = new Driver(with(4, UNSAFE)).upstreams(4);
    for (int i = 0; i < 20; i++) {
      d.serve("warm" + i, Driver.MS);
    }
    d.handle(new SettingsChanged(with(4, SAFE)));
    List<Balancer.Action> sent = d.handle(
        new Request("old", "c", null, "k", d.now + 2000 * Driver.MS, 0, false, List.of(), true));
    assertTrue(Driver.has(d.end("old", Driver.sentTo(sent), Status.ERROR, Driver.MS), Fail.class));
    d.handle(new SettingsChanged(with(4, Driver.requestClass("d", Effect.SAFE, DedupScope.ALL))));
    sent = d.handle(new Request(
        "removed", "c", null, "k", d.now + 2000 * Driver.MS, 0, false, List.of(), true));
    assertTrue(
        Driver.has(sent, Send.class), "a class that was just removed is still accepted: " + sent);
    assertTrue(
        Driver.has(d.request("late", "c", "k"), Refuse.class), "a class that no longer exists");
  }

  @Test
  void attemptsAreLimitedByBothSettings() {
    for (int[] change : new int[][] {{2, 4}, {4, 2}}) {
      Driver d = new Driver(with(change[0], SAFE)).upstreams(6);
      for (int i = 0; i < 20; i++) {
        d.serve("warm", Driver.MS);
      }
      d.request("r", "c", "k");
      d.handle(new SettingsChanged(with(change[1], SAFE)));
      while (!d.outstanding.isEmpty()) {
        d.end(d.outstanding.get(0), Status.ERROR, Driver.MS);
      }
      assertEquals(2, d.attempts.get("r"));
    }
  }
}
