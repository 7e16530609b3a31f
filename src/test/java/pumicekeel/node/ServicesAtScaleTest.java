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

/** As many pools as the largest known configuration: a change affects only the pool that it concerns. */
class ServicesAtScaleTest {

  private static final int POOLS = 220;
  /** A route of pool 0 whose requests are unsafe and never sent twice. */
  private static final int UNSAFE_ROUTE = 2 * POOLS;

  /** The objects of a pool; a reload that does not affect the pool keeps each of them. */
  private record Parts(ServicePool pool, BalancerCore core, Settings settings) {}

  private final TestServices t = new TestServices();
  private final List<Change> changes = new ArrayList<>();
  private ConfigurationGenerator generator;
  private StandInUpstream upstream;

  @AfterEach
  void stop() {
    t.close();
  }

  /** Starts one upstream for pool 0, so that its log has only that pool's requests, and one for all other pools. */
  private void start() throws Exception {
    upstream = t.upstream("a0", 0);
    StandInUpstream others = t.upstream("b0", 0);
    generator = new ConfigurationGenerator(new Size(POOLS, 880, 2_000, POOLS), 5)
        .withUpstreams(i -> TestServices.text((i == 0 ? upstream : others).address()));
    t.start(text());
  }

  /** Returns the file with the changes so far and a deadline that lets unsafe requests stay open during the whole test. */
  private String text() {
    return generator.text(changes).replace("deadline-ms = 2000", "deadline-ms = 600000");
  }

  private Map<String, Parts> parts() throws Exception {
    return t.onLoop(() -> {
      Map<String, Parts> out = new LinkedHashMap<>();
      for (int i = 0; i < POOLS; i++) {
        ServicePool pool = t.node.servicePools().pool(ConfigurationGenerator.poolName(i));
        out.put(pool.name(), new Parts(pool, pool.core(), pool.settings()));
      }
      return out;
    });
  }

  /** Applies one more change and returns the pools of which any part was replaced. */
  private List<String> affectedBy(Change change) throws Exception {
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
    return t.onLoop(() -> t.node.servicePools().retired());
  }

  private String request(String id, int tenant) {
    return "POST " + generator.path(UNSAFE_ROUTE) + " HTTP/1.1\r\nHost: "
        + generator.host(UNSAFE_ROUTE) + "\r\nX-Correlation-Id: " + id + "\r\nX-Service-Class: "
        + generator.className(UNSAFE_ROUTE) + "\r\nX-Account: "
        + ConfigurationGenerator.tenantName(tenant)
        + "\r\nX-Session-Key: k\r\nX-Time-Left-Ms: 600000\r\nContent-Length: 4\r\n\r\nbody";
  }

  @Test
  void changeAffectsOnlyThePoolThatItConcerns() throws Exception {
    start();
    try (TestClient client = new TestClient(t.address)) {
      assertEquals("warm", client.call(request("warm", 0)).body());
      upstream.mode(Mode.HANG);
      client.send(request("open", 0));
      TestNode.until(() -> upstream.received().size() == 2);
      ServicePool first = parts().get(ConfigurationGenerator.poolName(0)).pool();

      // A quota: the module of its pool is kept and gets other settings.
      assertEquals(
          List.of(ConfigurationGenerator.poolName(0)), affectedBy(new TenantQuota(POOLS, 77)));
      Parts retuned = parts().get(ConfigurationGenerator.poolName(0));
      assertSame(first, retuned.pool());
      assertTrue(retuned
          .settings()
          .tenants()
          .contains(new Tenant(ConfigurationGenerator.tenantName(POOLS), 0, 77)));
      // A route: no pool is affected.
      assertEquals(List.of(), affectedBy(new RoutePool(POOLS, 9)));
      // A limit of a pool: only that pool gets a new module; the old one has no open request.
      assertEquals(List.of(ConfigurationGenerator.poolName(7)), affectedBy(new PoolAttempts(7, 5)));

      assertEquals(1L, t.onLoop(() -> first.open.used()), "the open request is still in its pool");
      TestNode.until(() -> {
        try {
          return retired() == 0;
        } catch (Exception e) {
          throw new AssertionError(e);
        }
      });
      // The pool of the open request: the request stays in the retired pool.
      affectedBy(new PoolAttempts(0, 5));
      assertNotSame(first, parts().get(ConfigurationGenerator.poolName(0)).pool());
      assertEquals(1, retired());
      assertEquals(2, upstream.received().size(), "nothing was sent again");
    }
  }
}
