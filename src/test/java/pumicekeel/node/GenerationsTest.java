package pumicekeel.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import pumicekeel.load.HttpRequestTemplate;
import pumicekeel.load.Load;
import pumicekeel.load.LoadResults.Outcome;
import pumicekeel.standin.StandInUpstream;
import pumicekeel.standin.StandInUpstream.Mode;

/** Reloads under load: each applies a generation as a whole or not at all. */
class GenerationsTest {

  private final TestServices t = new TestServices();

  @TempDir
  private Path folder;

  @AfterEach
  void stop() {
    t.close();
  }

  private String file(String quotes, String more) {
    return "[sources.q]\nstatic = " + t.list("q0", "q1") + "\n[sources.r]\nstatic = "
        + t.list("r0", "r1") + "\n"
        + (quotes == null ? "" : "[pools.quotes]\nsource = \"q\"\n" + quotes + "\n")
        + "[pools.rates]\nsource = \"r\"\n"
        + (quotes == null ? "" : "[[routes]]\nhost = \"quote.example.org\"\npool = \"quotes\"\n")
        + "[[routes]]\nhost = \"rates.example.org\"\npool = \"rates\"\n" + more;
  }

  private void start() throws Exception {
    for (String name : new String[] {"q0", "q1", "r0", "r1"}) {
      t.upstream(name, 2_000);
    }
    t.start(file("", ""));
  }

  private int retired() {
    try {
      return t.onLoop(() -> t.node.servicePools().retired());
    } catch (Exception e) {
      throw new AssertionError(e);
    }
  }

  private static void assertNoneLost(Load clients, boolean mayHaveNoRoute)
      throws InterruptedException {
    clients.stop();
    assertEquals(0, clients.results().pending());
    assertEquals(
        0,
        clients.count(Outcome.LOST) + clients.count(Outcome.LATE),
        clients.results().faults().toString());
    // 404 counts as wrong: only the clients of a removed pool may get it.
    assertTrue(
        mayHaveNoRoute || clients.count(Outcome.WRONG) == 0,
        clients.results().faults().toString());
    assertTrue(
        clients.results().faults().stream().allMatch(f -> f.contains("answer 404")),
        clients.results().faults().toString());
  }

  /** A pool is changed and then removed while requests run in it and in another pool. */
  @Test
  void openRequestsEndInTheGenerationThatAdmittedThem() throws Exception {
    start();
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
    TestNode.until(() -> quotes.count(Outcome.SERVED) > 50 && rates.count(Outcome.SERVED) > 50);
    t.upstreams.get("q0").delayMicros(400_000);
    t.upstreams.get("q1").delayMicros(400_000);
    TestNode.until(() -> t.upstreams.get("q0").open() + t.upstreams.get("q1").open() >= 4);
    t.reload(file("limits = { max-attempts = 2 }", ""));
    assertEquals(1, retired(), "open requests stay in the pool that admitted them");
    long servedBefore = quotes.count(Outcome.SERVED);
    TestNode.until(() -> quotes.count(Outcome.SERVED) > servedBefore + 8);
    t.reload(file(null, ""));
    TestNode.until(() -> quotes.count(Outcome.WRONG) > 0);
    TestNode.until(() -> retired() == 0);
    TestNode.until(() -> t.upstreams.get("q0").open() + t.upstreams.get("q1").open() == 0);
    assertNoneLost(quotes, true);
    assertNoneLost(rates, false);
    // The upstreams' logs show that no key ran twice.
    long distinctKeys = t.upstreams.values().stream()
        .flatMap(u -> u.received().stream())
        .filter(s -> s.key() != null)
        .map(StandInUpstream.ReceivedRequest::key)
        .distinct()
        .count();
    long keyedRequests = t.upstreams.values().stream()
        .flatMap(u -> u.received().stream())
        .filter(s -> s.key() != null)
        .count();
    assertEquals(distinctKeys, keyedRequests);
  }

  /** A new generation every 50 ms: changed settings and limits, an added route, an invalid file. */
  @Test
  void repeatedReloadsUnderLoadLoseNoRequest() throws Exception {
    start();
    var quotes = t.clients(
        new HttpRequestTemplate("quote.example.org", "quote-issue", true, "acme", 5_000),
        "q",
        8,
        300);
    var rates = t.clients(
        new HttpRequestTemplate("rates.example.org", "rate-lookup", false, "acme", 5_000),
        "r",
        8,
        300);
    Path path = folder.resolve("operator.toml");
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(3);
    long limit = System.nanoTime() + TimeUnit.SECONDS.toNanos(60);
    int reloads = 0;
    while (reloads <= 20
        || quotes.count(Outcome.SERVED) <= 200
        || rates.count(Outcome.SERVED) <= 200
        || System.nanoTime() - end < 0) {
      assertTrue(
          System.nanoTime() - limit < 0,
          () -> "within 60 s: " + quotes.results() + " and " + rates.results());
      String text = switch (reloads % 5) {
        case 0 -> file("limits = { max-attempts = " + (2 + reloads % 3) + " }", "");
        case 1 -> file("open-requests = { guaranteed = 20 }", "");
        case 2 -> file("", "[[routes]]\npath-prefix = \"/x\"\npool = \"rates\"\n");
        case 3 -> "[pools.quotes]\nsource = \"no";
        default -> file("contract = { cold-from = 0.5 }", "");
      };
      Files.writeString(path, text);
      Reload.readOperator(path, t.node);
      reloads++;
      TimeUnit.MILLISECONDS.sleep(50);
    }
    assertTrue(reloads > 20, "reloads: " + reloads);
    assertNoneLost(quotes, false);
    assertNoneLost(rates, false);
    TestNode.until(() -> retired() == 0);
    assertEquals(0L, t.onLoop(() -> t.node.servicePools().pool("quotes").open.used()));
    assertTrue(t.defects.isEmpty());
  }

  /** The number of retired pools with open requests is limited: beyond it a reload is refused and nothing changes. */
  @Test
  void reloadIsRefusedWhileTooManyRetiredPoolsHaveOpenRequests() throws Exception {
    start();
    t.upstreams.get("q0").mode(Mode.HANG);
    t.upstreams.get("q1").mode(Mode.HANG);
    java.util.List<TestClient> open = new java.util.ArrayList<>();
    try {
      IOException refused = null;
      for (int i = 0; i <= ServicePools.MAX_RETIRED && refused == null; i++) {
        TestClient client = new TestClient(t.address);
        open.add(client);
        int seen = t.upstreams.get("q0").received().size()
            + t.upstreams.get("q1").received().size();
        client.send(ServicePoolsTest.issue("h" + i, "k" + i, "quote.example.org"));
        TestNode.until(() -> t.upstreams.get("q0").received().size()
                + t.upstreams.get("q1").received().size()
            > seen);
        try {
          t.reload(file("limits = { max-open = " + (1_000 + i) + " }", ""));
        } catch (IOException e) {
          refused = e;
        }
      }
      assertTrue(
          refused != null && refused.getMessage().contains("still have requests open"),
          "" + refused);
      assertTrue(retired() <= ServicePools.MAX_RETIRED);
      try (TestClient client = new TestClient(t.address)) {
        assertEquals(
            "ok",
            client.call(ServicePoolsTest.lookup("ok", "rates.example.org", "")).body());
      }
    } finally {
      for (TestClient client : open) {
        client.close();
      }
    }
    TestNode.until(() -> retired() == 0);
    t.reload(file("limits = { max-open = 7 }", ""));
  }

  @Test
  void invalidFileChangesNothing() throws Exception {
    start();
    assertThrows(
        IllegalArgumentException.class,
        () -> t.reload(file("open-requests = { guaranteed = 900000 }", "")));
    try (ServerSocket taken = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      IOException e = assertThrows(
          IOException.class,
          () -> t.reload(file(
              null,
              "[listeners.free]\naddress = "
                  + "\"127.0.0.1:0\"\n[listeners.taken]\naddress = \"127.0.0.1:"
                  + taken.getLocalPort() + "\"\n")));
      assertTrue(e.getMessage().contains("listeners.taken.address"), e.getMessage());
    }
    try (TestClient client = new TestClient(t.address)) {
      assertEquals(
          "1",
          client.call(ServicePoolsTest.lookup("1", "quote.example.org", "")).body(),
          "the pool is still there");
    }
  }

  @Test
  void addedListenersServeAndRemovedOnesFinishOpenRequests() throws Exception {
    start();
    String partner =
        "[listeners.partner]\naddress = \"127.0.0.1:0\"\n[[routes]]\nlistener = \"partner\"\npool = \"quotes\"\n";
    t.reload(file("", partner));
    InetSocketAddress address = t.onLoop(() -> t.node.listeners().address("partner"));
    StandInUpstream q0 = t.upstreams.get("q0");
    StandInUpstream q1 = t.upstreams.get("q1");
    try (TestClient client = new TestClient(address);
        TestClient idle = new TestClient(address);
        TestClient platform = new TestClient(t.address)) {
      assertEquals(200, idle.call("GET /up HTTP/1.1\r\nHost: h\r\n\r\n").status());
      assertEquals(
          "1", client.call(ServicePoolsTest.lookup("1", "any.example.org", "")).body());
      assertEquals(
          404,
          platform.call(ServicePoolsTest.lookup("2", "any.example.org", "")).status());
      q0.delayMicros(300_000);
      q1.delayMicros(300_000);
      int seen = q0.received().size() + q1.received().size();
      client.send(ServicePoolsTest.lookup("3", "any.example.org", ""));
      TestNode.until(() -> q0.received().size() + q1.received().size() > seen);
      t.reload(file("", ""));
      assertTrue(idle.ended(), "a connection without a request is closed");
      TestClient.Reply last = client.read();
      assertEquals("3", last.body());
      assertTrue(last.head().contains("connection: close"), last.head());
    }
    assertThrows(ConnectException.class, () -> new TestClient(address).close());
  }

  /** Settings that need a restart are named, and the rest is applied. */
  @Test
  void settingsThatNeedARestartAreNamed() throws Exception {
    start();
    var next = TestServices.operator(file("", "") + "[process]\nupstream-sockets = 100\n");
    assertEquals(
        java.util.List.of("process.upstream-sockets"),
        t.onLoop(() -> t.node.servicePools().needRestart(next)));
    t.node.reload(next);
  }
}
