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

class HollowScenariosTest {

  private static final long SEED = 5;

  private static Deadline later() {
    return Deadline.after(3, TimeUnit.MINUTES);
  }

  @Test
  void membersFindEachOtherAndNoticeADeath() throws Exception {
    Map<String, Double> figures =
        new MembershipScenario(Duration.ofMillis(500)).measure(5, SEED, later());
    for (String figure : List.of("all-known-ms", "death-known-ms", "processor-us-per-s")) {
      assertTrue(figures.get(figure) > 0, figures::toString);
    }
    // A death takes a probe that is not answered, and the least suspicion after it.
    assertTrue(figures.get("death-known-ms") > 1_000, figures::toString);
  }

  @Test
  void everyWatcherHasTheWholeListAndEachChange() throws Exception {
    Map<String, Double> few = ListWatchScenario.byUpstreams(3).measure(10, SEED, later());
    Map<String, Double> many = ListWatchScenario.byUpstreams(3).measure(1_000, SEED, later());
    double perEntry = (many.get("snapshot-bytes") - few.get("snapshot-bytes")) / 990;
    assertTrue(perEntry > 100 && perEntry < 200, few + " " + many);
    assertTrue(few.get("change-bytes") > 100, few::toString);
  }

  @Test
  void aConfigurationIsReadAtEverySize() throws Exception {
    for (Axis axis : List.of(Axis.SERVICES, Axis.ROUTES, Axis.TENANTS, Axis.UPSTREAMS)) {
      Map<String, Double> figures = new ConfigurationScenario(axis).measure(60, SEED, later());
      assertTrue(figures.get("file-bytes") > 0, figures::toString);
    }
  }

  @Test
  void theWholeTargetIsAHundredPercent() {
    assertEquals(ConfigurationGenerator.Size.TARGET, ConfigurationSizes.of(Axis.PERCENT, 100));
  }

  @Test
  void quotasAreAskedForWhereDemandMoves() throws Exception {
    Map<String, Double> figures =
        new QuotaScenario(Duration.ofSeconds(4)).measure(100, SEED, later());
    assertTrue(figures.get("messages-per-s") > 0, figures::toString);
    assertThrows(
        RefusedException.class,
        () -> new QuotaScenario().measure(QuotaExchange.MAX_TENANTS + 1, SEED, later()));
  }

  @Test
  void everyRequestIsServedThroughBothBalancers() throws Exception {
    Map<String, Double> figures = new RequestPathScenario(
            Duration.ofMillis(200), Duration.ofSeconds(1))
        .measure(5, SEED, later());
    for (String turn : List.of("", "one-", "burst-", "one-burst-")) {
      assertTrue(figures.get(turn + "asked") > 0, figures::toString);
      assertTrue(figures.get(turn + "p99-us") > 0, figures::toString);
    }
    assertTrue(
        figures.get("connections-per-request") > figures.get("one-connections-per-request"),
        figures::toString);
  }

  @Test
  void everySubscriberHasTheSnapshotAndEachChange() throws Exception {
    Map<String, Double> figures =
        new DeliveryScenario(2, Duration.ofMillis(200)).measure(3, SEED, later());
    assertTrue(figures.get("snapshot-bytes") >= figures.get("text-bytes"), figures::toString);
    assertTrue(figures.get("change-bytes") > 0, figures::toString);
    assertTrue(figures.get("change-bytes") < figures.get("text-bytes"), figures::toString);
    assertTrue(figures.get("change-p50-ms") <= figures.get("change-last-ms"), figures::toString);
  }
}
