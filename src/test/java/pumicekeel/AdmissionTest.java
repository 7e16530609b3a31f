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

/** Tests admission: the allowed rate, which falls linearly with the mean latency, its window, and the samples that it counts. */
class AdmissionTest {

  private static double allowedRate(double meanMs) {
    return LinearThrottle.allowedRate(meanMs, 300, 18_000, 240, 4);
  }

  @Test
  void allowedRateMatchesThePublishedFigures() {
    assertEquals(240, allowedRate(0));
    assertEquals(240, allowedRate(300));
    assertEquals(177.3, allowedRate(5000), 0.1);
    assertEquals(122, allowedRate(9150), 0.001);
    assertEquals(4, allowedRate(18_000));
    assertEquals(4, allowedRate(99_000));
  }

  @Test
  void windowCountsAndExpires() {
    Window w = new Window(1200, 0);
    assertEquals(0, w.mean(0, 1), "an empty window counts as no latency");
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

  /** Sends requests so that a fixed number is in flight, each served after the latency. Returns the share that was refused. */
  private static double refusedShare(
      Driver d, int requests, int inFlight, long latency, Status status) {
    return refusedShare(d, null, requests, inFlight, latency, status);
  }

  private static double refusedShare(
      Driver d, String tenant, int requests, int inFlight, long latency, Status status) {
    d.refusals.clear();
    for (int i = 0; i < requests; i++) {
      d.request(d.newId(), "c", tenant, "k" + i % 50, 0);
      d.advanceServing(latency / inFlight, status, latency);
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
  void delayInsideTheBalancerIsNoOverload() {
    Driver d = new Driver(Driver.safe()).upstreams(5);
    for (int i = 0; i < 500; i++) {
      d.request(d.newId(), "c", null, "k" + i % 50, 0);
      d.advanceServing(8 * Driver.MS, Status.SERVED, 320 * Driver.MS, 40 * Driver.MS);
    }
    assertEquals(
        Map.of(), d.refusals, "40 ms at the upstream and 280 ms in the balancer is no overload");
  }

  @Test
  void keysThatAreNotSeenAgainAreEvicted() {
    Driver d = new Driver(Driver.safe()).upstreams(5);
    for (int i = 0; i < 5_000; i++) {
      d.request(d.newId(), "c", null, "once-" + i, 0);
      d.advanceServing(10 * Driver.MS, Status.SERVED, 5 * Driver.MS);
    }
    int kept = ((AdaptiveBalancer) d.module).windowsKept();
    assertTrue(kept < 300, "a window spans 100 of these keys; windows kept: " + kept);
  }

  @ParameterizedTest
  @EnumSource(names = {"RESET", "ERROR"})
  void brokenConnectionsAndErrorsAreNotCountedAsLoad(Status failure) {
    Driver d = new Driver(Driver.safe()).upstreams(5);
    for (int i = 0; i < 1_000; i++) {
      d.request(d.newId(), "c", null, "k" + i % 50, 0);
      d.advanceServing(20 * Driver.MS, i % 10 == 9 ? failure : Status.SERVED, 100 * Driver.MS);
    }
    assertEquals(
        0,
        d.refusals.getOrDefault("r", 0),
        "a tenth of the attempts fails, with a latency of a quarter of the aim");
  }

  @Test
  void delayInsideTheBalancerDoesNotMakeUpstreamsSilent() {
    Driver d = new Driver(Driver.safe()).upstreams(2);
    for (int i = 0; i < 20; i++) {
      for (int k = 0; k < 12; k++) {
        d.request(d.newId(), "c", null, "k" + k, 0);
      }
      d.advanceServing(260 * Driver.MS, Status.SERVED, 250 * Driver.MS, 40 * Driver.MS);
    }
    long hedged = d.attempts.values().stream().filter(n -> n > 1).count();
    // The balancer's own delay of the first requests is unknown until they are answered.
    assertTrue(hedged <= 12, "second copies: " + hedged);
  }

  @Test
  void staleIdleConnectionsEjectNoUpstream() {
    Driver d = new Driver(Driver.safe()).upstreams(3);
    long first = d.serve("k", 40 * Driver.MS);
    for (int i = 0; i < 5; i++) {
      d.request("b" + i, "c", "k");
      d.endByStaleConnection("b" + i);
    }
    assertEquals(first, d.serve("k", 40 * Driver.MS), "the key's upstream is unchanged");
  }

  @Test
  void overloadIsRefusedWithRetryAfter() {
    Driver d = new Driver(Driver.safe()).upstreams(5);
    refusedShare(d, 300, 2, 40 * Driver.MS, Status.SERVED);
    assertTrue(refusedShare(d, 600, 30, 700 * Driver.MS, Status.SERVED) > 0.2);
  }

  /** A tenant within its quota and with no more in flight than usual did not cause the overload: a dependency became slow. */
  @Test
  void nothingIsRefusedWithinAQuotaAtTheUsualNumberInFlight() {
    Driver d = new Driver(Driver.settings(
            false,
            List.of(new Tenant("t", 1, 1000)),
            Driver.requestClass("c", Effect.SAFE, DedupScope.ALL)))
        .upstreams(5);
    refusedShare(d, "t", 2000, 10, 40 * Driver.MS, Status.SERVED);
    assertEquals(0, refusedShare(d, "t", 300, 4, 390 * Driver.MS, Status.SERVED), 0.02);
  }

  /** Without quotas, overload has to be refused however few requests are in flight, or a collapsed fleet never recovers. */
  @Test
  void withoutQuotasOverloadIsRefusedWithFewInFlight() {
    Driver d = new Driver(Driver.safe()).upstreams(5);
    refusedShare(d, 2000, 10, 40 * Driver.MS, Status.SERVED);
    assertTrue(refusedShare(d, 300, 4, 390 * Driver.MS, Status.SERVED) > 0.2);
  }

  @Test
  void excessOverAQuotaIsRefusedFirst() {
    Driver d = new Driver(Driver.settings(
            false,
            List.of(new Tenant("big", 0.5, 10), new Tenant("small", 0.5, 1000)),
            Driver.requestClass("c", Effect.SAFE, DedupScope.ALL)))
        .upstreams(5);
    for (int i = 0; i < 2000; i++) {
      for (String tenant : List.of("big", "small")) {
        d.request(tenant + d.newId(), "c", tenant, "k" + i % 50, 0);
      }
      d.advanceServing(20 * Driver.MS, Status.SERVED, 140 * Driver.MS);
    }
    assertTrue(
        d.refusals.getOrDefault("b", 0) > 300, "excess over the quota refused: " + d.refusals);
    assertEquals(0, d.refusals.getOrDefault("s", 0), "nothing within a quota is refused");
  }

  /** Fast failures would lower the mean latency and so keep the allowed rate at its maximum. */
  @Test
  void quickFailuresCountAsTheClassLimit() {
    Driver d = new Driver(Driver.safe()).upstreams(5);
    double refused = refusedShare(d, 800, 10, 2 * Driver.MS, Status.ERROR);
    assertTrue(refused > 0.3, "refused " + refused);
  }

  /** With one or two requests per window, the first request of every window was always admitted despite overload. */
  @Test
  void overloadIsRefusedWithHardlyARequestPerWindow() {
    Driver d = new Driver(Driver.safe()).upstreams(20);
    int admitted = 0;
    for (int i = 0; i < 60; i++) {
      long to = Driver.sentTo(d.request(d.newId(), "c", "k" + i));
      d.advanceServing(700 * Driver.MS, Status.SERVED, 690 * Driver.MS);
      admitted += i >= 20 && to >= 0 ? 1 : 0;
    }
    assertTrue(
        admitted < 15, "admitted of the last 40 at a latency well over the maximum: " + admitted);
  }

  /** When a quota is divided among many balancers, two requests close together in a small share are chance, not excess. */
  @Test
  void smallShareMaySendAFewAtOnce() {
    Driver d = new Driver(Driver.settings(
            false,
            List.of(new Balancer.Tenant("t", 1, 1)),
            Driver.requestClass("c", Balancer.Effect.SAFE, Balancer.DedupScope.ALL)))
        .upstreams(8);
    for (int i = 0; i < 20; i++) {
      d.request(d.newId(), "c", "t", "k" + i, 0);
      d.advanceServing(4000 * Driver.MS, Status.SERVED, 190 * Driver.MS);
    }
    int sent = 0;
    for (int i = 0; i < 3; i++) {
      sent += Driver.sentTo(d.request(d.newId(), "c", "t", "x" + i, 0)) >= 0 ? 1 : 0;
    }
    assertEquals(3, sent);
  }
}
