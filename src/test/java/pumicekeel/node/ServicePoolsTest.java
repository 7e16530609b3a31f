package pumicekeel.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import pumicekeel.load.HttpRequestTemplate;
import pumicekeel.pool.RequestCounters.End;
import pumicekeel.standin.StandInDiscovery;
import pumicekeel.standin.StandInUpstream;
import pumicekeel.standin.StandInUpstream.Mode;
import pumicekeel.standin.StandInUpstream.ReceivedRequest;

/** Several pools in one process, on sockets: which requests each gets, by the upstreams' own logs. */
class ServicePoolsTest {

  private static final String TWO_POOLS = """
      [pools.quotes]
      source = "quotes"
      [pools.rates]
      source = "rates"
      [[routes]]
      name = "quotes"
      host = "quote.example.org"
      pool = "quotes"
      %s
      [[routes]]
      name = "rates"
      host = ["rates.example.org", "*.rates.example.org"]
      pool = "rates"
      """;

  private final TestServices t = new TestServices();

  @AfterEach
  void stop() {
    t.close();
  }

  private String twoPools(String quotes, String rates, String more) {
    return "[sources.quotes]\nstatic = " + quotes + "\n[sources.rates]\nstatic = " + rates + "\n"
        + TWO_POOLS.formatted(more);
  }

  static String lookup(String id, String host, String more) {
    return "GET /rate-lookup/7 HTTP/1.1\r\nHost: " + host + "\r\nX-Correlation-Id: " + id
        + "\r\nX-Service-Class: rate-lookup\r\nX-Account: acme\r\nX-Session-Key: k\r\nX-Time-Left-Ms: 5000\r\n"
        + more
        + "\r\n";
  }

  static String issue(String id, String key, String host) {
    return "POST /quote-issue/7 HTTP/1.1\r\nHost: " + host + "\r\nX-Correlation-Id: " + id
        + "\r\nX-Service-Class: quote-issue\r\nX-Account: acme\r\nX-Session-Key: k\r\nX-Time-Left-Ms: 5000\r\n"
        + "Idempotency-Key: " + key + "\r\nContent-Length: 4\r\n\r\nbody";
  }

  private TestClient.Reply call(String text) throws Exception {
    try (TestClient client = new TestClient(t.address)) {
      return client.call(text);
    }
  }

  // Routes

  @Test
  void hostSelectsThePoolInEachFormAndUnroutedRequestsAreAnsweredAndCounted() throws Exception {
    StandInUpstream q = t.upstream("q", 0);
    StandInUpstream r = t.upstream("r", 0);
    t.start(twoPools(t.list("q"), t.list("r"), ""));
    // Late requests of the warm-up may already have been counted.
    long before = t.onLoop(() -> t.node.servicePools().counters().noRouteCount());
    assertEquals("1", call(lookup("1", "quote.example.org", "")).body());
    assertEquals("2", call(lookup("2", "RATES.example.org.:8080", "")).body());
    assertEquals("3", call(lookup("3", "a.rates.example.org", "")).body());
    assertEquals(List.of("1"), q.received().stream().map(ReceivedRequest::id).toList());
    assertEquals(
        List.of("2", "3"), r.received().stream().map(ReceivedRequest::id).toList());
    try (TestClient client = new TestClient(t.address)) {
      assertEquals(404, client.call(lookup("4", "other.example.org", "")).status());
      assertEquals(
          400,
          client
              .call(lookup("5", "quote.example.org\r\nHost: rates.example.org", ""))
              .status());
      assertEquals(
          400,
          client
              .call(lookup("6", "quote.example.org", "")
                  .replace("/rate-lookup/7", "/rate-lookup/../x"))
              .status());
      assertEquals(
          400,
          client
              .call(lookup("7", "quote.example.org", "").replace("/rate-lookup/7", "?a=b"))
              .status());
      assertEquals(
          400, client.call(lookup("8", "x", "").replace("Host: x\r\n", "")).status());
      assertEquals(
          400,
          client
              .call(lookup("8a", "quote.example.org", "")
                  .replace("/rate-lookup/7", "/rate-lookup%2F7"))
              .status());
      assertEquals(
          "9", client.call(lookup("9", "quote.example.org", "")).body(), "the connection is kept");
    }
    assertEquals(1, t.onLoop(() -> t.node.servicePools().counters().noRouteCount()) - before);
    assertEquals(2, q.received().size());
  }

  @Test
  void pathOfEightKibibytesIsRejectedAndClosed() throws Exception {
    t.upstream("q", 0);
    t.start(twoPools(t.list("q"), t.list("q"), ""));
    try (TestClient client = new TestClient(t.address)) {
      assertEquals(
          400,
          client
              .call(lookup("1", "quote.example.org", "").replace("/7", "/" + "7".repeat(8_000)))
              .status());
      assertTrue(client.ended());
    }
  }

  /** The body of a request without a route is dropped and not treated as the next request. */
  @Test
  void bodyOfAnUnroutedRequestIsDroppedAndTheConnectionIsKept() throws Exception {
    StandInUpstream q = t.upstream("q", 0);
    t.start(twoPools(t.list("q"), t.list("q"), ""));
    try (TestClient client = new TestClient(t.address)) {
      String hidden = lookup("hidden", "quote.example.org", "");
      client.send("POST /quote-issue HTTP/1.1\r\nHost: other\r\nContent-Length: " + hidden.length()
          + "\r\n\r\n");
      assertEquals(404, client.read().status(), "before its body has arrived");
      client.send(hidden);
      assertEquals("2", client.call(lookup("2", "quote.example.org", "")).body());
    }
    assertEquals(List.of("2"), q.received().stream().map(ReceivedRequest::id).toList());
  }

  // Shared upstreams

  @Test
  void sharedUpstreamDrainsFromOnePoolOnly() throws Exception {
    t.discovery("platform");
    StandInUpstream shared = t.upstream("shared0", 20_000);
    StandInUpstream other = t.upstream("other1", 1_000);
    for (String name : List.of("shared0", "other1")) {
      t.discoveries
          .get("platform")
          .announce(name, t.upstreams.get(name).address(), 0, "in_service", 0);
    }
    t.start("[sources.rates]\nstatic = " + t.list("shared0") + "\n"
        + TWO_POOLS.formatted("").replace("source = \"quotes\"", ""));
    var quotes = t.clients(
        new HttpRequestTemplate("quote.example.org", "quote-issue", true, "acme", 5_000),
        "q",
        8,
        200);
    var rates = t.clients(
        new HttpRequestTemplate("rates.example.org", "rate-lookup", false, "acme", 5_000),
        "r",
        8,
        200);
    TestNode.until(() -> quotes.count(SERVED) > 100
        && rates.count(SERVED) > 100
        && shared.received().stream().anyMatch(s -> s.className().equals("quote-issue")));
    t.discoveries.get("platform").announce("shared0", shared.address(), 0, "terminating", 0);
    long notifiedAt = t.discoveries.get("platform").announcedAt("shared0", "terminating");
    long ratesBefore = rates.count(SERVED);
    TestNode.until(() -> System.nanoTime() - notifiedAt > TimeUnit.SECONDS.toNanos(3)
        && rates.count(SERVED) > ratesBefore + 200);
    quotes.stop();
    rates.stop();
    assertEquals(
        0,
        shared.received().stream()
            .filter(s -> s.className().equals("quote-issue")
                && s.atNanos() - notifiedAt > TimeUnit.SECONDS.toNanos(2))
            .count(),
        "quotes has drained it");
    assertTrue(
        shared.received().stream()
            .anyMatch(s -> s.className().equals("rate-lookup")
                && s.atNanos() - notifiedAt > TimeUnit.SECONDS.toNanos(2)),
        "rates still uses it");
    assertEquals(0, quotes.results().pending() + rates.results().pending());
    assertEquals(
        quotes.sent(),
        quotes.count(SERVED) + quotes.count(REFUSED),
        quotes.results().faults().toString());
    assertEquals(
        rates.sent(),
        rates.count(SERVED) + rates.count(REFUSED),
        rates.results().faults().toString());
    assertTrue(other.received().stream().anyMatch(s -> s.atNanos() - notifiedAt > 0));
  }

  private static final pumicekeel.load.LoadResults.Outcome SERVED =
      pumicekeel.load.LoadResults.Outcome.SERVED;
  private static final pumicekeel.load.LoadResults.Outcome REFUSED =
      pumicekeel.load.LoadResults.Outcome.REFUSED;

  /** Two lists use one id for two addresses: each pool uses its own upstream. */
  @Test
  void sameIdWithTwoAddressesInTwoPoolsIsTwoUpstreams() throws Exception {
    StandInUpstream one = t.upstream("same", 0);
    String first = t.list("same");
    StandInUpstream two = t.upstream("same", 0);
    t.start(twoPools(first, t.list("same"), ""));
    for (int i = 0; i < 20; i++) {
      assertEquals(200, call(lookup("q" + i, "quote.example.org", "")).status());
      assertEquals(200, call(lookup("r" + i, "rates.example.org", "")).status());
    }
    assertTrue(one.received().size() == 20
        && one.received().stream().allMatch(s -> s.id().startsWith("q")));
    assertTrue(two.received().size() == 20
        && two.received().stream().allMatch(s -> s.id().startsWith("r")));
    one.close();
  }

  @Test
  void connectionsToASharedUpstreamAreLimitedAcrossPools() throws Exception {
    StandInUpstream shared = t.upstream("shared", 30_000);
    String capped = "connections-per-upstream = 3\nsource = ";
    t.start(twoPools(t.list("shared"), t.list("shared"), "").replace("source = ", capped));
    var quotes = t.clients(
        new HttpRequestTemplate("quote.example.org", "rate-lookup", false, "acme", 5_000),
        "q",
        12,
        300);
    var rates = t.clients(
        new HttpRequestTemplate("rates.example.org", "rate-lookup", false, "acme", 5_000),
        "r",
        12,
        300);
    TestNode.until(() -> shared.received().size() > 200);
    quotes.stop();
    rates.stop();
    // The close of a replaced idle connection may be seen only after its successor was accepted;
    // without a cap 18 are busy.
    assertTrue(shared.maxOpen() <= 6, "open at once: " + shared.maxOpen());
    assertEquals(0, quotes.results().pending() + rates.results().pending());
  }

  /**
   * Each pool has two warm upstreams of its own and both get the same cold one: the two pools together may send it no
   * more than the cold budget that one of them derives from the load of its warm upstreams.
   */
  @Test
  void coldUpstreamInTwoPoolsStaysWithinItsBudget() throws Exception {
    StandInDiscovery quoteList = t.discovery("platform");
    StandInDiscovery rateList = t.discovery("rates");
    for (int i = 0; i < 4; i++) {
      t.upstream("w" + i, 2_000);
      (i < 2 ? quoteList : rateList)
          .announce("w" + i, t.upstreams.get("w" + i).address(), i, "in_service", 0);
    }
    t.start("[sources.rates]\ndiscovery = \"" + TestServices.text(rateList.address()) + "\"\n"
        + TWO_POOLS.formatted("").replace("source = \"quotes\"", ""));
    var quotes = t.clients(
        new HttpRequestTemplate("quote.example.org", "rate-lookup", false, "acme", 5_000),
        "q",
        16,
        400);
    var rates = t.clients(
        new HttpRequestTemplate("rates.example.org", "rate-lookup", false, "acme", 5_000),
        "r",
        16,
        400);
    TestNode.until(() -> quotes.count(SERVED) > 800 && rates.count(SERVED) > 800);
    StandInUpstream cold = t.upstream("cold", 2_000);
    long startedAt = System.nanoTime();
    // One list has its start time, the other treats it as an old one.
    quoteList.announce("cold", cold.address(), 9, "in_service", System.currentTimeMillis());
    rateList.announce("cold", cold.address(), 9, "in_service", 0);
    TestNode.until(() -> cold.received().stream().anyMatch(s -> s.id().startsWith("q"))
        && cold.received().stream().anyMatch(s -> s.id().startsWith("r"))
        && System.nanoTime() - startedAt > TimeUnit.SECONDS.toNanos(4));
    quotes.stop();
    rates.stop();
    var verdict = pumicekeel.demo.Verdict.ofUpstreams(t.upstreams, java.util.Map.of());
    verdict.checkColdBudget("cold", startedAt, 0.3, 8, 1.2, 3);
    assertTrue(verdict.passed(), verdict.lines().toString());
  }

  // Keyed requests and fallback pools

  /** A repeat of a key stays in the pool where the first request may have run, even if its route now names another pool. */
  @Test
  void repeatOfAKeyedRequestStaysInItsPoolAcrossAReload() throws Exception {
    StandInUpstream q = t.upstream("q", 0);
    StandInUpstream r = t.upstream("r", 0);
    String before = twoPools(t.list("q"), t.list("r"), "");
    t.start(before);
    q.mode(Mode.RESET);
    int first = call(issue("1", "key-1", "quote.example.org")).status();
    assertEquals(502, first, "it may have run: failed, not refused");
    q.mode(Mode.SERVE);
    t.reload(before.replace("pool = \"quotes\"", "pool = \"rates\""));
    assertEquals("2", call(issue("2", "key-1", "quote.example.org")).body());
    assertEquals("3", call(issue("3", "key-2", "quote.example.org")).body());
    assertEquals(List.of("3"), r.received().stream().map(ReceivedRequest::id).toList());
    assertTrue(q.received().stream().anyMatch(s -> s.id().equals("2")));
  }

  @Test
  void repeatOfARemovedPoolFailsAtOnceAndIsNotSent() throws Exception {
    StandInUpstream q = t.upstream("q", 0);
    StandInUpstream r = t.upstream("r", 0);
    String before = twoPools(t.list("q"), t.list("r"), "");
    t.start(before);
    q.mode(Mode.RESET);
    call(issue("1", "key-1", "quote.example.org"));
    int seen = q.received().size();
    t.reload("[sources.rates]\nstatic = " + t.list("r")
        + "\n[pools.rates]\nsource = \"rates\"\n[[routes]]\npool = \"rates\"\n");
    TestNode.until(() -> {
      try {
        return t.onLoop(() -> t.node.servicePools().retired()) == 0;
      } catch (Exception e) {
        throw new AssertionError(e);
      }
    });
    assertEquals(502, call(issue("2", "key-1", "quote.example.org")).status());
    assertEquals(0, r.received().size());
    assertEquals(seen, q.received().size());
    assertEquals("3", call(issue("3", "key-2", "quote.example.org")).body());
  }

  @Test
  void fallbackPoolServesOnlyWithoutAReadyUpstreamAndIfNothingRan() throws Exception {
    StandInUpstream q = t.upstream("q", 0);
    StandInUpstream r = t.upstream("r", 0);
    String both = twoPools(t.list("q"), t.list("r"), "fallback = \"rates\"");
    t.start(both);
    assertEquals(200, call(lookup("1", "quote.example.org", "")).status());
    t.reload(twoPools(t.list("q!terminating"), t.list("r"), "fallback = \"rates\""));
    assertEquals(200, call(lookup("2", "quote.example.org", "")).status());
    assertEquals(List.of("1"), q.received().stream().map(ReceivedRequest::id).toList());
    assertEquals(List.of("2"), r.received().stream().map(ReceivedRequest::id).toList());
    t.reload(both);
    q.mode(Mode.HANG);
    try (TestClient client = new TestClient(t.address)) {
      client.send(issue("3", "key-3", "quote.example.org"));
      TestNode.until(() -> q.received().size() == 2);
      t.reload(twoPools(t.list("q!terminating"), t.list("r"), "fallback = \"rates\""));
      q.kill();
      assertEquals(502, client.read().status(), "it may have run at q: no fallback pool for it");
    }
    assertEquals(1, r.received().size());
  }

  /** A held request of which nothing was sent moves to the fallback pool when the first has no upstream left. */
  @Test
  void heldRequestMovesToTheFallbackPoolWhenItsPoolHasNoUpstream() throws Exception {
    StandInUpstream q = t.upstream("q", 0);
    StandInUpstream r = t.upstream("r", 0);
    t.start(twoPools(t.list("q"), t.list("r"), "fallback = \"rates\""));
    q.kill();
    try (TestClient client = new TestClient(t.address)) {
      // Refused connections prove that nothing ran; the module retries, holds the request and gives
      // up.
      client.send(lookup("1", "quote.example.org", ""));
      t.reload(twoPools(t.list("q!terminating"), t.list("r"), "fallback = \"rates\""));
      TestClient.Reply reply = client.read();
      assertTrue(reply.status() == 200 || reply.status() == 429, "status " + reply.status());
      assertEquals(reply.status() == 200 ? 1 : 0, r.received().size());
    }
    assertEquals("2", call(lookup("2", "quote.example.org", "")).body());
  }

  @Test
  void splitIsStablePerSessionKey() throws Exception {
    StandInUpstream q = t.upstream("q", 0);
    StandInUpstream r = t.upstream("r", 0);
    t.start(twoPools(t.list("q"), t.list("r"), "")
        .replace(
            "pool = \"quotes\"",
            "split = [ { pool = \"quotes\", weight = 1 }, { pool = \"rates\", weight = 1 } ]"));
    for (int i = 0; i < 120; i++) {
      assertEquals(
          200,
          call(lookup(i + "-" + i % 30, "quote.example.org", "")
                  .replace("Key: k", "Key: k" + i % 30))
              .status());
    }
    Set<String> atQ = keys(q);
    Set<String> atR = keys(r);
    assertTrue(atQ.size() > 3 && atR.size() > 3, atQ + " " + atR);
    assertTrue(atQ.stream().noneMatch(atR::contains), atQ + " " + atR);
  }

  private static Set<String> keys(StandInUpstream upstream) {
    Set<String> keys = new HashSet<>();
    upstream.received().forEach(s -> keys.add(s.id().split("-")[1]));
    return keys;
  }

  // Capacity

  @Test
  void fullPoolRefusesWithRetryAfterAndTheOtherServes() throws Exception {
    StandInUpstream q = t.upstream("q", 0);
    t.upstream("r", 0);
    t.start(twoPools(t.list("q"), t.list("r"), "")
        .replace("[pools.quotes]", "[pools.quotes]\nopen-requests = { most = 2 }"));
    q.mode(Mode.HANG);
    TestClient one = new TestClient(t.address);
    try (TestClient two = new TestClient(t.address);
        TestClient three = new TestClient(t.address)) {
      one.send(lookup("1", "quote.example.org", ""));
      two.send(lookup("2", "quote.example.org", ""));
      TestNode.until(() -> q.received().size() == 2);
      TestClient.Reply full = three.call(lookup("3", "quote.example.org", ""));
      assertEquals(503, full.status());
      assertTrue(full.head().contains("retry-after: 0."), full.head());
      assertEquals(
          "4", three.call(lookup("4", "rates.example.org", "")).body(), "on the same connection");
      one.close();
      TestNode.until(() -> {
        try {
          return t.onLoop(() -> t.node.servicePools().pool("quotes").open.used()) == 1;
        } catch (Exception e) {
          throw new AssertionError(e);
        }
      });
      q.mode(Mode.SERVE);
      assertEquals(
          "5", three.call(lookup("5", "quote.example.org", "")).body(), "capacity was released");
    }
  }

  /** Slow bodies use up the open requests of their own pool, from the head on, and of no other. */
  @Test
  void slowBodiesFillOnlyTheirOwnPool() throws Exception {
    t.upstream("q", 0);
    t.upstream("r", 0);
    t.start(twoPools(t.list("q"), t.list("r"), "")
        .replace("[pools.quotes]", "[pools.quotes]\nopen-requests = { most = 4 }"));
    List<TestClient> slow = new java.util.ArrayList<>();
    try {
      for (int i = 0; i < 4; i++) {
        TestClient client = new TestClient(t.address);
        slow.add(client);
        client.send(
            issue("s" + i, "k" + i, "quote.example.org").replace("Length: 4", "Length: 60000"));
      }
      TestNode.until(() -> {
        try {
          return t.onLoop(() -> t.node.servicePools().pool("quotes").open.used()) == 4;
        } catch (Exception e) {
          throw new AssertionError(e);
        }
      });
      assertEquals(503, call(issue("x", "kx", "quote.example.org")).status());
      assertEquals("y", call(lookup("y", "rates.example.org", "")).body());
      for (TestClient client : slow) {
        assertEquals(408, client.read().status());
      }
      assertEquals(
          "z", call(issue("z", "kz", "quote.example.org")).body(), "all capacity was released");
    } finally {
      for (TestClient client : slow) {
        client.close();
      }
    }
  }

  @Test
  void bodiesOverThePoolsMemoryAreRejectedAndReleased() throws Exception {
    StandInUpstream q = t.upstream("q", 0);
    t.upstream("r", 0);
    t.start(twoPools(t.list("q"), t.list("r"), "")
        .replace(
            "[pools.quotes]", "[pools.quotes]\nbody-memory-kib = { guaranteed = 0, most = 40 }"));
    String big = "x".repeat(30_000);
    q.mode(Mode.HANG);
    try (TestClient one = new TestClient(t.address);
        TestClient two = new TestClient(t.address)) {
      one.send(issue("1", "k1", "quote.example.org")
          .replace("Length: 4\r\n\r\nbody", "Length: 30000\r\n\r\n" + big));
      TestNode.until(() -> q.received().size() == 1);
      assertEquals(
          503,
          two.call(issue("2", "k2", "quote.example.org")
                  .replace("Length: 4\r\n\r\nbody", "Length: 30000\r\n\r\n" + big))
              .status());
      assertEquals("3", two.call(lookup("3", "rates.example.org", "")).body());
    }
    TestNode.until(() -> {
      try {
        return t.onLoop(() -> t.node.servicePools().pool("quotes").body.used()) == 0;
      } catch (Exception e) {
        throw new AssertionError(e);
      }
    });
    assertEquals(1, q.received().size());
  }

  /** An id may be open only once in the process, even for requests of different pools. */
  @Test
  void idOpenInOnePoolIsRejectedInAnother() throws Exception {
    StandInUpstream q = t.upstream("q", 0);
    StandInUpstream r = t.upstream("r", 0);
    t.start(twoPools(t.list("q"), t.list("r"), ""));
    q.mode(Mode.HANG);
    try (TestClient one = new TestClient(t.address)) {
      one.send(lookup("same", "quote.example.org", ""));
      TestNode.until(() -> q.received().size() == 1);
      assertEquals(409, call(lookup("same", "rates.example.org", "")).status());
      assertEquals(0, r.received().size());
    }
    assertNull(t.defects.isEmpty() ? null : t.defects);
    assertEquals(
        0L,
        t.onLoop(() -> t.node.servicePools().counters().count("rates", "rate-lookup", End.SERVED)));
  }
}
