package pumicekeel.rig.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import pumicekeel.quota.QuotaExchange;

/** Scenarios complete at small sizes and yield plausible figures. */
class HollowScenariosTest {

  private static final long SEED = 5;

  private static Deadline deadline() {
    return Deadline.after(3, TimeUnit.MINUTES);
  }

  @Test
  void membersDiscoverEachOtherAndDetectADeath() throws Exception {
    Map<String, Double> figures =
        new MembershipScenario(Duration.ofMillis(500)).measure(5, SEED, deadline());
    for (String figure : List.of("all-known-ms", "death-known-ms", "processor-us-per-s")) {
      assertTrue(figures.get(figure) > 0, figures::toString);
    }
    // Detection takes an unanswered probe, and then at least the minimum suspicion time.
    assertTrue(figures.get("death-known-ms") > 1_000, figures::toString);
  }

  @Test
  void everyWatcherReceivesTheFullListAndEachChange() throws Exception {
    Map<String, Double> small = ListWatchScenario.byUpstreams(3).measure(10, SEED, deadline());
    Map<String, Double> large = ListWatchScenario.byUpstreams(3).measure(1_000, SEED, deadline());
    double bytesPerEntry = (large.get("snapshot-bytes") - small.get("snapshot-bytes")) / 990;
    assertTrue(bytesPerEntry > 100 && bytesPerEntry < 200, small + " " + large);
    assertTrue(small.get("change-bytes") > 100, small::toString);
  }

  @Test
  void configurationIsReadOnEachAxis() throws Exception {
    for (Axis axis : List.of(Axis.SERVICES, Axis.ROUTES, Axis.TENANTS, Axis.UPSTREAMS)) {
      Map<String, Double> figures = new ConfigurationScenario(axis).measure(60, SEED, deadline());
      assertTrue(figures.get("file-bytes") > 0, figures::toString);
    }
  }

  @Test
  void hundredPercentIsTheTargetSize() {
    assertEquals(ConfigurationGenerator.Size.TARGET, ConfigurationSizes.of(Axis.PERCENT, 100));
  }

  @Test
  void quotasAreExchangedWhenDemandMovesAndTooManyTenantsAreRejected() throws Exception {
    Map<String, Double> figures =
        new QuotaScenario(Duration.ofSeconds(4)).measure(100, SEED, deadline());
    assertTrue(figures.get("messages-per-s") > 0, figures::toString);
    assertThrows(
        RefusedException.class,
        () -> new QuotaScenario().measure(QuotaExchange.MAX_TENANTS + 1, SEED, deadline()));
  }

  @Test
  void everyRequestIsServedThroughBothBalancers() throws Exception {
    Map<String, Double> figures = new RequestPathScenario(
            Duration.ofMillis(200), Duration.ofSeconds(1))
        .measure(5, SEED, deadline());
    for (String prefix : List.of("", "one-", "burst-", "one-burst-")) {
      assertTrue(figures.get(prefix + "asked") > 0, figures::toString);
      assertTrue(figures.get(prefix + "p99-us") > 0, figures::toString);
    }
    assertTrue(
        figures.get("connections-per-request") > figures.get("one-connections-per-request"),
        figures::toString);
  }

  @Test
  void everySubscriberReceivesTheSnapshotAndEachChange() throws Exception {
    Map<String, Double> figures =
        new DeliveryScenario(2, Duration.ofMillis(200)).measure(3, SEED, deadline());
    assertTrue(figures.get("snapshot-bytes") >= figures.get("text-bytes"), figures::toString);
    assertTrue(figures.get("change-bytes") > 0, figures::toString);
    assertTrue(figures.get("change-bytes") < figures.get("text-bytes"), figures::toString);
    assertTrue(figures.get("change-p50-ms") <= figures.get("change-last-ms"), figures::toString);
  }
}
