package pumicekeel.delivery.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import pumicekeel.delivery.Candidate;
import pumicekeel.delivery.ConfigurationDelta;
import pumicekeel.delivery.ConfigurationVersion;
import pumicekeel.delivery.client.ConfigurationSubscriber;
import pumicekeel.delivery.client.ControlApi;
import pumicekeel.delivery.client.VersionApplier;
import pumicekeel.runtime.Reactor;

/** Control machines and subscribers over loopback. */
class ControlServerTest {

  private static final long TIMEOUT_SECONDS = 30;
  private static final String TEXT = "[pools.a]\nx = 1\n";

  @TempDir
  private Path directory;

  private final List<Closeable> open = new ArrayList<>();

  @AfterEach
  void closeAll() throws IOException {
    for (int i = open.size() - 1; i >= 0; i--) {
      open.get(i).close();
    }
  }

  private static InetSocketAddress anyPort() {
    return new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
  }

  private ControlServer machine(String name, InetSocketAddress... peers) throws Exception {
    ControlServer server = ControlServer.start(
        new ControlServer.Settings(anyPort(), directory.resolve(name), List.of(peers)),
        ControlServerTest::faults);
    open.add(server);
    return server;
  }

  private static List<String> faults(String text) {
    if (text.contains("broken")) {
      throw new NoClassDefFoundError("a defect of the check");
    }
    return text.contains("bad") ? List.of("1: bad: expected no such key") : List.of();
  }

  private static ControlApi.Published publish(ControlServer to, long sequence, String text)
      throws Exception {
    return new ControlApi(to.address())
        .publish(ConfigurationVersion.of(1, sequence, text), false, text);
  }

  /** A subscriber whose applied texts can be awaited. */
  private final class Subscriber implements Closeable, VersionApplier {
    private final BlockingQueue<String> texts = new LinkedBlockingQueue<>();
    private final Reactor reactor = Reactor.start();
    private final ExecutorService worker = Executors.newSingleThreadExecutor();
    private final ConfigurationSubscriber subscriber;
    private String held = "";

    private Subscriber(String name, ControlServer... machines) {
      List<InetSocketAddress> addresses =
          java.util.Arrays.stream(machines).map(ControlServer::address).toList();
      subscriber = new ConfigurationSubscriber(
          reactor, name, addresses, ConfigurationVersion.NONE, 1, worker, this);
      subscriber.start();
      open.add(this);
    }

    @Override
    public Outcome take(Candidate candidate) {
      try {
        String text = candidate.text(held);
        if (text.contains("too much")) {
          throw new OutOfMemoryError("thrown by the test");
        }
        held = text;
        texts.add(held);
        return new InForce();
      } catch (ConfigurationDelta.NotApplicableException e) {
        return new Damaged(e.getMessage());
      }
    }

    private void awaitText(String expected) throws InterruptedException {
      String text = texts.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
      assertTrue(
          expected.equals(text), text == null ? "no text received" : text.length() + " characters");
    }

    @Override
    public void close() {
      reactor.loop().parent().shutdownGracefully(0, 0, TimeUnit.SECONDS);
      worker.shutdown();
    }
  }

  @Test
  void publishedVersionsReachSubscribersAsSnapshotAndDelta() throws Exception {
    ControlServer machine = machine("c0");
    String large = TEXT + "# " + "x".repeat(3 * ControlState.PART_BYTES) + "\n[pools.b]\nx = 1\n";
    assertTrue(publish(machine, 1, large).accepted());
    Subscriber subscriber = new Subscriber("n0", machine);
    subscriber.awaitText(large);
    String changed = large.replace("[pools.b]\nx = 1", "[pools.b]\nx = 2");
    assertTrue(publish(machine, 2, changed).accepted());
    subscriber.awaitText(changed);
    assertTrue(changed.equals(new ControlApi(machine.address()).fetch().text()));
  }

  @Test
  void refusalsHaveAReasonAndChangeNothing() throws Exception {
    ControlServer machine = machine("c0");
    ControlApi api = new ControlApi(machine.address());
    assertNull(api.fetch());
    ControlApi.Published faulty = publish(machine, 1, "bad = 1\n");
    assertFalse(faulty.accepted());
    assertEquals(List.of("1: bad: expected no such key"), faulty.lines());
    assertEquals("out_of_order", publish(machine, 7, TEXT).result());
    assertTrue(publish(machine, 1, "broken").lines().get(0).contains("a defect of the check"));
    assertEquals(ConfigurationVersion.NONE, api.status().current());
  }

  /** A machine that missed versions fetches them from its peer and still has them after a restart. */
  @Test
  void machineThatWasDownCatchesUpWithItsPeersAndKeepsTheVersionOverARestart() throws Exception {
    ControlServer first = machine("c0");
    publish(first, 1, TEXT);
    publish(first, 2, TEXT + "[pools.b]\n");
    ControlServer second = machine("c1", first.address());
    ConfigurationVersion two = ConfigurationVersion.of(1, 2, TEXT + "[pools.b]\n");
    awaitVersion(second, two);
    second.close();
    open.remove(second);
    ControlServer again = machine("c1");
    awaitVersion(again, two);
  }

  private static void awaitVersion(ControlServer machine, ConfigurationVersion version)
      throws Exception {
    ControlApi api = new ControlApi(machine.address());
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
    while (!api.status().current().equals(version) && System.nanoTime() < end) {
      Thread.sleep(5);
    }
    assertEquals(version, api.status().current());
  }

  @Test
  void statusListsTheVersionOfEachReplica() throws Exception {
    ControlServer machine = machine("c0");
    publish(machine, 1, TEXT);
    new Subscriber("n0", machine).awaitText(TEXT);
    ControlApi api = new ControlApi(machine.address());
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
    ControlApi.Replica replica = api.status().replicas().get(0);
    while (!Long.valueOf(0).equals(replica.behind()) && System.nanoTime() < end) {
      replica = api.status().replicas().get(0);
    }
    assertEquals("n0", replica.report().name());
    assertEquals(ConfigurationVersion.of(1, 1, TEXT), replica.report().inForce());
  }

  /** A version whose application throws an error is retried later, and the subscription continues. */
  @Test
  void errorWhileApplyingDoesNotEndTheSubscription() throws Exception {
    ControlServer machine = machine("c0");
    publish(machine, 1, TEXT);
    Subscriber subscriber = new Subscriber("n0", machine);
    subscriber.awaitText(TEXT);
    ConfigurationVersion heavy = ConfigurationVersion.of(1, 2, TEXT + "# too much\n");
    publish(machine, 2, TEXT + "# too much\n");
    ControlApi api = new ControlApi(machine.address());
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
    while (!api.status().replicas().get(0).report().refused().equals(heavy)
        && System.nanoTime() < end) {
      Thread.sleep(5);
    }
    assertTrue(api.status().replicas().get(0).report().trouble().contains("OutOfMemoryError"));
    publish(machine, 3, TEXT + "# less\n");
    subscriber.awaitText(TEXT + "# less\n");
  }

  private static String statusLine(ControlServer machine, String request) throws IOException {
    try (Socket socket =
        new Socket(machine.address().getAddress(), machine.address().getPort())) {
      socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(TIMEOUT_SECONDS));
      socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
      String answer = new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
      return answer.isEmpty() ? "" : answer.substring(9, 12);
    }
  }

  @Test
  void invalidCallsAreRejectedAndTheNextIsAnswered() throws Exception {
    ControlServer machine = machine("c0");
    String end = " HTTP/1.1\r\nHost: h\r\n\r\n";
    assertEquals("404", statusLine(machine, "GET /other" + end));
    assertEquals("405", statusLine(machine, "DELETE /v1/configuration" + end));
    assertEquals("400", statusLine(machine, "GET /v1/configuration?epoch=x" + end));
    assertEquals("400", statusLine(machine, "GET /v1/configuration?known=1.2" + end));
    assertEquals("400", statusLine(machine, "GET /v1/configuration/parts/1/1/zz" + end));
    assertEquals("400", statusLine(machine, "nonsense\r\n\r\n"));
    assertEquals("400", statusLine(machine, "GET /" + "x".repeat(20_000) + end));
    assertEquals(
        "413", statusLine(machine, "GET /v1/replicas HTTP/1.1\r\nContent-Length: 9\r\n\r\n"));
    assertEquals(
        "413",
        statusLine(machine, "POST /v1/configuration HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n"));
    assertEquals("200", statusLine(machine, "GET /v1/replicas" + end));
  }
}
