package pumicekeel.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotSame;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import pumicekeel.config.OperatorConfiguration;
import pumicekeel.delivery.ConfigurationVersion;
import pumicekeel.delivery.client.ControlApi;
import pumicekeel.delivery.control.ControlServer;
import pumicekeel.load.HttpRequestTemplate;
import pumicekeel.load.Load;
import pumicekeel.load.LoadResults.Outcome;
import pumicekeel.runtime.Log;

/** A balancer that subscribes to a control machine over loopback. */
class DeliveredConfigurationTest {

  private final TestServices t = new TestServices();
  private final ExecutorService worker = Executors.newSingleThreadExecutor();
  private ControlServer control;
  private DeliveredConfiguration delivered;

  @TempDir
  private Path folder;

  @AfterEach
  void stop() throws IOException {
    t.close();
    worker.shutdownNow();
    if (control != null) {
      control.close();
    }
  }

  private String text(String quotes) {
    return "[sources.q]\nstatic = " + t.list("q0") + "\n[sources.r]\nstatic = " + t.list("r0")
        + "\n[pools.quotes]\nsource = \"q\"\n" + quotes + "\n[pools.rates]\nsource = \"r\"\n"
        + "[[routes]]\nhost = \"quote.example.org\"\npool = \"quotes\"\n"
        + "[[routes]]\nhost = \"rates.example.org\"\npool = \"rates\"\n";
  }

  private String localFile() {
    return text("") + "[control]\naddresses = [\"" + TestServices.text(control.address())
        + "\"]\ndirectory = \"" + folder.resolve("balancer") + "\"\n";
  }

  private void start() throws Exception {
    t.upstream("q0", 2_000);
    t.upstream("r0", 2_000);
    control = ControlServer.start(
        new ControlServer.Settings(
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
            folder.resolve("control"),
            List.of()),
        text -> List.of());
    t.start(localFile());
    delivered = open();
    delivered.follow(t.node, worker);
  }

  private DeliveredConfiguration open() throws IOException {
    OperatorConfiguration local = TestServices.operator(localFile());
    return DeliveredConfiguration.open(t.node.configuration(), local);
  }

  private ConfigurationVersion publish(long sequence, String text) throws Exception {
    ConfigurationVersion version = ConfigurationVersion.of(1, sequence, text);
    ControlApi.Published answer = new ControlApi(control.address()).publish(version, false, text);
    assertTrue(answer.accepted(), answer.lines().toString());
    return version;
  }

  private void awaitInForce(ConfigurationVersion version) throws InterruptedException {
    TestNode.until(() -> delivered.inForce().equals(version));
  }

  private ServicePool pool(String name) throws Exception {
    return t.onLoop(() -> t.node.servicePools().pool(name));
  }

  /** The changed pool gets a new module, the other one keeps its own, and no request of either is lost. */
  @Test
  void changeOfAPoolUnderLoadAffectsNoOtherPool() throws Exception {
    start();
    ConfigurationVersion one = publish(1, text(""));
    awaitInForce(one);
    Load quotes = t.clients(
        new HttpRequestTemplate("quote.example.org", "quote-issue", true, "acme", 5_000),
        "q",
        8,
        200);
    Load rates = t.clients(
        new HttpRequestTemplate("rates.example.org", "rate-lookup", false, "acme", 5_000),
        "r",
        8,
        200);
    TestNode.until(() -> quotes.count(Outcome.SERVED) > 50 && rates.count(Outcome.SERVED) > 50);
    t.upstreams.get("q0").delayMicros(300_000);
    TestNode.until(() -> t.upstreams.get("q0").open() >= 4);
    ServicePool quotesBefore = pool("quotes");
    ServicePool ratesBefore = pool("rates");
    awaitInForce(publish(2, text("limits = { max-attempts = 2 }")));
    assertNotSame(quotesBefore, pool("quotes"));
    assertSame(ratesBefore, pool("rates"));
    t.upstreams.get("q0").delayMicros(2_000);
    long servedBefore = quotes.count(Outcome.SERVED);
    TestNode.until(() -> quotes.count(Outcome.SERVED) > servedBefore + 50);
    for (Load load : List.of(quotes, rates)) {
      load.stop();
      assertEquals(0, load.results().pending());
      assertEquals(
          0,
          load.count(Outcome.LOST) + load.count(Outcome.LATE) + load.count(Outcome.WRONG),
          load.results().faults().toString());
    }
  }

  /** A version that this build can't read, or with tables of one process, is refused whole and reported; a newer one is tried. */
  @Test
  void invalidVersionIsRefusedAndReportedAndTheNextIsTried() throws Exception {
    start();
    awaitInForce(publish(1, text("")));
    ServicePool before = pool("quotes");
    ConfigurationVersion unknown = publish(2, text("new-key = 1\nother-key = 2"));
    ControlApi api = new ControlApi(control.address());
    ControlApi.Replica replica = awaitTrouble(api, "new-key");
    assertTrue(replica.report().trouble().contains("other-key"));
    assertEquals(unknown, replica.report().refused());
    assertEquals(1, replica.behind());
    publish(3, text("") + "[peers]\naddresses = [\"127.0.0.1:1\", \"127.0.0.1:2\"]\n");
    awaitTrouble(api, "only in the operator file");
    publish(4, text("open-requests = { guaranteed = 900000 }"));
    awaitTrouble(api, "900000");
    assertSame(before, pool("quotes"));
    awaitInForce(publish(5, text("limits = { max-attempts = 2 }")));
    assertNotSame(before, pool("quotes"));
  }

  private static ControlApi.Replica awaitTrouble(ControlApi api, String part)
      throws InterruptedException {
    TestNode.until(() -> status(api).stream().anyMatch(r -> r.report().trouble().contains(part)));
    return status(api).get(0);
  }

  private static List<ControlApi.Replica> status(ControlApi api) {
    try {
      return api.status().replicas();
    } catch (IOException | InterruptedException e) {
      throw new AssertionError(e);
    }
  }

  /** Without control machines the last delivered version is in force after a restart, and its age is logged. */
  @Test
  void lastVersionIsInForceAfterARestartWithoutControlMachines() throws Exception {
    start();
    publish(1, text(""));
    ConfigurationVersion two = publish(2, text("limits = { max-attempts = 2 }"));
    awaitInForce(two);
    TestNode.until(() -> storedFiles().contains("1-2.configuration"));
    control.close();
    List<String> lines = new ArrayList<>();
    Log.redirect(lines::add);
    try {
      DeliveredConfiguration again = open();
      assertEquals(two, again.inForce());
      assertEquals(2, again.first().pools().get("quotes").overrides().limits().maxAttempts());
      assertEquals(1, again.first().control().addresses().size());
      assertTrue(lines.get(0).contains(" s ago"), lines.toString());
      Reload.readOperator(folder.resolve("none.toml"), t.node, again);
      assertTrue(lines.get(1).contains("the operator file is not read"), lines.toString());
    } finally {
      Log.redirect(null);
    }
  }

  private List<String> storedFiles() {
    try (Stream<Path> files = Files.list(folder.resolve("balancer"))) {
      return files.map(f -> f.getFileName().toString()).toList();
    } catch (IOException e) {
      return List.of();
    }
  }

  /** Until the first delivery the operator file is in force, and a start does not wait for control machines. */
  @Test
  void operatorFileIsInForceUntilTheFirstVersion() throws Exception {
    start();
    assertEquals(ConfigurationVersion.NONE, delivered.inForce());
    assertEquals(TestServices.operator(localFile()), delivered.first());
    Path file = folder.resolve("operator.toml");
    Files.writeString(file, text("limits = { max-attempts = 3 }"));
    ServicePool before = pool("quotes");
    Reload.readOperator(file, t.node, delivered);
    assertNotSame(before, pool("quotes"));
  }
}
