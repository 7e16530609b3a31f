package pumicekeel.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotSame;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import pumicekeel.Balancer.Settings;
import pumicekeel.Balancer.Tenant;
import pumicekeel.core.BalancerCore;
import pumicekeel.rig.scale.ConfigurationGenerator;
import pumicekeel.rig.scale.ConfigurationGenerator.Change;
import pumicekeel.rig.scale.ConfigurationGenerator.PoolAttempts;
import pumicekeel.rig.scale.ConfigurationGenerator.RoutePool;
import pumicekeel.rig.scale.ConfigurationGenerator.Size;
import pumicekeel.rig.scale.ConfigurationGenerator.TenantQuota;
import pumicekeel.standin.StandInUpstream;
import pumicekeel.standin.StandInUpstream.Mode;

/** As many pools as the largest known configuration has: one change touches what it is about and nothing else. */
class ServicesAtScaleTest {

  private static final int POOLS = 220;
  /** Of pool 0, with requests that are never sent twice. */
  private static final int UNSAFE_ROUTE = 2 * POOLS;

  /** What a pool works with; a reload that leaves it alone leaves each of these the same object. */
  private record Parts(ServicePool pool, BalancerCore core, Settings settings) {}

  private final TestServices t = new TestServices();
  private final List<Change> changes = new ArrayList<>();
  private ConfigurationGenerator generator;
  private StandInUpstream upstream;

  @AfterEach
  void stop() {
    t.close();
  }

  /** Upstreams that stand in for all: pool 0's is its own, so that nothing but its requests is in its log. */
  private void start() throws Exception {
    upstream = t.upstream("a0", 0);
    StandInUpstream others = t.upstream("b0", 0);
    generator = new ConfigurationGenerator(new Size(POOLS, 880, 2_000, POOLS), 5)
        .withUpstreams(i -> TestServices.text((i == 0 ? upstream : others).address()));
    t.start(text());
  }

  /** The file with the changes so far; unsafe requests may stay open for as long as the test takes. */
  private String text() {
    return generator.text(changes).replace("deadline-ms = 2000", "deadline-ms = 600000");
  }

  private Map<String, Parts> parts() throws Exception {
    return t.ask(() -> {
      Map<String, Parts> out = new LinkedHashMap<>();
      for (int i = 0; i < POOLS; i++) {
        ServicePool pool = t.node.services().pool(ConfigurationGenerator.poolName(i));
        out.put(pool.name(), new Parts(pool, pool.core(), pool.settings()));
      }
      return out;
    });
  }

  /** Makes a change on top of those before; the pools of which any part is another one afterwards. */
  private List<String> touchedBy(Change change) throws Exception {
    Map<String, Parts> before = parts();
    changes.add(change);
    t.reload(text());
    Map<String, Parts> after = parts();
    return before.keySet().stream()
        .filter(name -> before.get(name).pool() != after.get(name).pool()
            || before.get(name).core() != after.get(name).core()
            || before.get(name).settings() != after.get(name).settings())
        .toList();
  }

  private int retired() throws Exception {
    return t.ask(() -> t.node.services().retired());
  }

  private String request(String id, int tenant) {
    return "POST " + generator.path(UNSAFE_ROUTE) + " HTTP/1.1\r\nHost: "
        + generator.host(UNSAFE_ROUTE) + "\r\nX-Correlation-Id: " + id + "\r\nX-Service-Class: "
        + generator.className(UNSAFE_ROUTE) + "\r\nX-Account: "
        + ConfigurationGenerator.tenantName(tenant)
        + "\r\nX-Session-Key: k\r\nX-Time-Left-Ms: 600000\r\nContent-Length: 4\r\n\r\nbody";
  }

  @Test
  void changeTouchesOnlyWhatItIsAbout() throws Exception {
    start();
    try (TestClient client = new TestClient(t.address)) {
      assertEquals("warm", client.call(request("warm", 0)).body());
      upstream.mode(Mode.HANG);
      client.send(request("open", 0));
      TestNode.until(() -> upstream.seen().size() == 2);
      ServicePool first = parts().get(ConfigurationGenerator.poolName(0)).pool();

      // A quota: its own pool's module goes on with other settings.
      assertEquals(
          List.of(ConfigurationGenerator.poolName(0)), touchedBy(new TenantQuota(POOLS, 77)));
      Parts tuned = parts().get(ConfigurationGenerator.poolName(0));
      assertSame(first, tuned.pool());
      assertTrue(tuned
          .settings()
          .tenants()
          .contains(new Tenant(ConfigurationGenerator.tenantName(POOLS), 0, 77)));
      // A route: no pool at all.
      assertEquals(List.of(), touchedBy(new RoutePool(POOLS, 9)));
      // A pool's own limit: that pool alone has a new module, and nothing was open in the old one.
      assertEquals(List.of(ConfigurationGenerator.poolName(7)), touchedBy(new PoolAttempts(7, 5)));

      assertEquals(1L, t.ask(() -> first.open.used()), "the open request is still its pool's");
      TestNode.until(() -> {
        try {
          return retired() == 0;
        } catch (Exception e) {
          throw new AssertionError(e);
        }
      });
      // The pool of the open request itself: that one ends where it began.
      touchedBy(new PoolAttempts(0, 5));
      assertNotSame(first, parts().get(ConfigurationGenerator.poolName(0)).pool());
      assertEquals(1, retired());
      assertEquals(2, upstream.seen().size(), "nothing was sent again");
    }
  }
}
