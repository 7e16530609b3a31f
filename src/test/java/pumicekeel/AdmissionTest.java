package pumicekeel;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import pumicekeel.Balancer.DedupScope;
import pumicekeel.Balancer.Effect;
import pumicekeel.Balancer.Status;
import pumicekeel.Balancer.Tenant;
import pumicekeel.Window.Metric;

/** The straight line, its window and what it is fed with. */
class AdmissionTest {

  private static double published(double meanMs) {
    return AdaptiveBalancer.allowedRate(meanMs, 300, 18_000, 240, 4);
  }

  @Test
  void lineMatchesThePublishedFigures() {
    assertEquals(240, published(0));
    assertEquals(240, published(300));
    assertEquals(177.3, published(5000), 0.1);
    assertEquals(122, published(9150), 0.001);
    assertEquals(4, published(18_000));
    assertEquals(4, published(99_000));
  }

  @Test
  void windowCountsAndForgets() {
    Window w = new Window(1200, 0);
    assertEquals(0, w.mean(0, 1), "an empty window is healthy");
    w.add(0, Metric.ADMITTED, 1);
    w.add(150, Metric.SAMPLES, 1);
    w.add(150, Metric.SUM, 6);
    w.add(650, Metric.SAMPLES, 1);
    w.add(650, Metric.SUM, 2);
    assertEquals(1, w.total(1199, Metric.ADMITTED));
    assertEquals(0, w.total(1200, Metric.ADMITTED));
    assertEquals(4, w.mean(1250, 1), 1e-9);
    assertEquals(2, w.mean(1300, 1), 1e-9);
    assertEquals(0, w.mean(90_000, 1), 1e-9);
  }

  /** Serves at a rate with a fixed number out, each answer after the latency; the share refused. */
  private static double refusedShare(Driver d, int requests, int out, long latency, Status status) {
    return refusedShare(d, null, requests, out, latency, status);
  }

  private static double refusedShare(
      Driver d, String tenant, int requests, int out, long latency, Status status) {
    d.refusals.clear();
    for (int i = 0; i < requests; i++) {
      d.request(d.nextId(), "c", tenant, "k" + i % 50, 0);
      d.serveFor(latency / out, status, latency);
    }
    return d.refusals.getOrDefault("r", 0) / (double) requests;
  }

  @Test
  void healthyFleetRefusesNothing() {
    assertEquals(
        0,
        refusedShare(
            new Driver(Driver.safe()).upstreams(5), 500, 5, 40 * Driver.MS, Status.SERVED));
  }

  @Test
  void ownDelayOfTheBalancerIsNoOverload() {
    Driver d = new Driver(Driver.safe()).upstreams(5);
    for (int i = 0; i < 500; i++) {
      d.request(d.nextId(), "c", null, "k" + i % 50, 0);
      d.serveFor(8 * Driver.MS, Status.SERVED, 320 * Driver.MS, 40 * Driver.MS);
    }
    assertEquals(Map.of(), d.refusals, "40 ms at an upstream, 280 ms in this balancer");
  }

  @Test
  void keysThatNeverComeAgainAreForgotten() {
    Driver d = new Driver(Driver.safe()).upstreams(5);
    for (int i = 0; i < 5_000; i++) {
      d.request(d.nextId(), "c", null, "once-" + i, 0);
      d.serveFor(10 * Driver.MS, Status.SERVED, 5 * Driver.MS);
    }
    int kept = ((AdaptiveBalancer) d.module).windowsKept();
    assertTrue(kept < 300, "a window holds 100 of these keys, and kept are " + kept);
  }

  @ParameterizedTest
  @EnumSource(names = {"RESET", "ERROR"})
  void connectionsThatBreakAndErrorsAreNotTakenForLoad(Status failure) {
    Driver d = new Driver(Driver.safe()).upstreams(5);
    for (int i = 0; i < 1_000; i++) {
      d.request(d.nextId(), "c", null, "k" + i % 50, 0);
      d.serveFor(20 * Driver.MS, i % 10 == 9 ? failure : Status.SERVED, 100 * Driver.MS);
    }
    assertEquals(
        0,
        d.refusals.getOrDefault("r", 0),
        "a tenth of the attempts fails, at a quarter of the aim");
  }

  @Test
  void ownDelayOfTheBalancerIsNoSilenceOfItsUpstreams() {
    Driver d = new Driver(Driver.safe()).upstreams(2);
    for (int i = 0; i < 20; i++) {
      for (int k = 0; k < 12; k++) {
        d.request(d.nextId(), "c", null, "k" + k, 0);
      }
      d.serveFor(260 * Driver.MS, Status.SERVED, 250 * Driver.MS, 40 * Driver.MS);
    }
    long copied = d.attempts.values().stream().filter(n -> n > 1).count();
    // The first ones' own delay is not known before their answers.
    assertTrue(copied <= 12, "second copies: " + copied);
  }

  @Test
  void keptConnectionsThatWereBrokenEjectNobody() {
    Driver d = new Driver(Driver.safe()).upstreams(3);
    long first = d.serve("k", 40 * Driver.MS);
    for (int i = 0; i < 5; i++) {
      d.request("b" + i, "c", "k");
      d.endStale("b" + i);
    }
    assertEquals(first, d.serve("k", 40 * Driver.MS), "still where its key belongs");
  }

  @Test
  void overloadIsRefusedWithRetryAfter() {
    Driver d = new Driver(Driver.safe()).upstreams(5);
    refusedShare(d, 300, 2, 40 * Driver.MS, Status.SERVED);
    assertTrue(refusedShare(d, 600, 30, 700 * Driver.MS, Status.SERVED) > 0.2);
  }

  /** Guards work inside a quota: with few out, a slow dependency is not an overload of its making. */
  @Test
  void noRefusalInsideAQuotaWhileNoMoreIsOutThanUsual() {
    Driver d = new Driver(Driver.settings(
            false,
            List.of(new Tenant("t", 1, 1000)),
            Driver.type("c", Effect.SAFE, DedupScope.ALL)))
        .upstreams(5);
    refusedShare(d, "t", 2000, 10, 40 * Driver.MS, Status.SERVED);
    assertEquals(0, refusedShare(d, "t", 300, 4, 390 * Driver.MS, Status.SERVED), 0.02);
  }

  /** Guards against a collapsed fleet that nobody relieves: without quotas the line refuses, however few are out. */
  @Test
  void withoutQuotasTheLineRefusesThoughFewAreOut() {
    Driver d = new Driver(Driver.safe()).upstreams(5);
    refusedShare(d, 2000, 10, 40 * Driver.MS, Status.SERVED);
    assertTrue(refusedShare(d, 300, 4, 390 * Driver.MS, Status.SERVED) > 0.2);
  }

  @Test
  void excessOverAQuotaIsRefusedFirst() {
    Driver d = new Driver(Driver.settings(
            false,
            List.of(new Tenant("big", 0.5, 10), new Tenant("small", 0.5, 1000)),
            Driver.type("c", Effect.SAFE, DedupScope.ALL)))
        .upstreams(5);
    for (int i = 0; i < 2000; i++) {
      for (String tenant : List.of("big", "small")) {
        d.request(tenant + d.nextId(), "c", tenant, "k" + i % 50, 0);
      }
      d.serveFor(20 * Driver.MS, Status.SERVED, 140 * Driver.MS);
    }
    assertTrue(d.refusals.getOrDefault("b", 0) > 300, "excess refused: " + d.refusals);
    assertEquals(0, d.refusals.getOrDefault("s", 0), "inside its quota nothing is refused");
  }

  /** Guards against quick failures that pull a mean down and keep a rate at full. */
  @Test
  void quickFailuresCountAsTheClassLimit() {
    Driver d = new Driver(Driver.safe()).upstreams(5);
    double refused = refusedShare(d, 800, 10, 2 * Driver.MS, Status.ERROR);
    assertTrue(refused > 0.3, "refused " + refused);
  }

  /** Guards sparse views: with a request or two a window the first of each was always admitted. */
  @Test
  void theLineRefusesWhereEveryWindowHoldsHardlyARequest() {
    Driver d = new Driver(Driver.safe()).upstreams(20);
    int late = 0;
    for (int i = 0; i < 60; i++) {
      long to = Driver.sentTo(d.request(d.nextId(), "c", "k" + i));
      d.serveFor(700 * Driver.MS, Status.SERVED, 690 * Driver.MS);
      late += i >= 20 && to >= 0 ? 1 : 0;
    }
    assertTrue(late < 15, "admitted of the last 40 at well over maxValue: " + late);
  }

  /** Guards a share cut over many balancers: two close requests of a small share are chance, not excess. */
  @Test
  void aSmallShareMaySendAFewAtOnce() {
    Driver d = new Driver(Driver.settings(
            false,
            List.of(new Balancer.Tenant("t", 1, 1)),
            Driver.type("c", Balancer.Effect.SAFE, Balancer.DedupScope.ALL)))
        .upstreams(8);
    for (int i = 0; i < 20; i++) {
      d.request(d.nextId(), "c", "t", "k" + i, 0);
      d.serveFor(4000 * Driver.MS, Status.SERVED, 190 * Driver.MS);
    }
    int sent = 0;
    for (int i = 0; i < 3; i++) {
      sent += Driver.sentTo(d.request(d.nextId(), "c", "t", "x" + i, 0)) >= 0 ? 1 : 0;
    }
    assertEquals(3, sent);
  }
}
