package pumicekeel.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ServerChannel;
import java.io.BufferedReader;
import java.io.File;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import pumicekeel.runtime.Addresses;
import pumicekeel.runtime.Reactor;
import pumicekeel.runtime.Sockets;

/** Idle clients hold all descriptors that they can get while discovery is down, in a process with a limit on descriptors. */
class DescriptorsTest {

  private static final long LEFT_MILLIS = 15_000;
  private static final String HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

  @TempDir
  private Path folder;

  private Process process;
  private BufferedReader log;
  private final AtomicInteger turnedAway = new AtomicInteger();
  private final List<String> said = new CopyOnWriteArrayList<>();
  private volatile boolean over;

  /** The class path of a test has many files where the program in service has one: they come on top of its limit. */
  private void start(String configuration, int sockets) throws Exception {
    Path file = folder.resolve("config.json");
    Files.writeString(file, configuration);
    String classPath = System.getProperty("java.class.path");
    long files = classPath.chars().filter(c -> c == File.pathSeparatorChar).count();
    ProcessBuilder builder = new ProcessBuilder(
        "sh",
        "-c",
        "ulimit -n " + (sockets + files) + "; exec \"$0\" \"$@\"",
        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
        "-XX:+UseSerialGC",
        "-Xmx64m",
        "-cp",
        classPath,
        "pumicekeel.cli.Main",
        "serve");
    builder.environment().keySet().removeIf(name -> name.startsWith("PROXY_"));
    builder.environment().put("PROXY_CONFIG", file.toString());
    process = builder.redirectErrorStream(true).start();
    log =
        new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
  }

  private InetSocketAddress address() throws Exception {
    for (String line = log.readLine(); line != null; line = log.readLine()) {
      if (line.contains(" serves at /")) {
        InetSocketAddress at = Addresses.parse("log", line.substring(line.indexOf('/') + 1));
        Thread reads = new Thread(() -> log.lines().forEach(said::add));
        reads.setDaemon(true);
        reads.start();
        return at;
      }
    }
    throw new AssertionError("the program did not start");
  }

  @AfterEach
  void stop() {
    over = true;
    if (process != null) {
      process.destroyForcibly();
    }
  }

  /** Clients that connect and never ask, more than there are descriptors; one that is closed comes again. */
  private void crowd(InetSocketAddress address, int clients) {
    Thread comesAgain = new Thread(() -> {
      List<SocketChannel> open = new ArrayList<>();
      try {
        while (!over) {
          while (open.size() < clients) {
            SocketChannel next = SocketChannel.open(address);
            next.configureBlocking(false);
            open.add(next);
          }
          open.removeIf(this::ended);
          Thread.sleep(10);
        }
      } catch (IOException | InterruptedException e) {
        // The process listens no more.
      }
      open.forEach(DescriptorsTest::close);
    });
    comesAgain.setDaemon(true);
    comesAgain.start();
  }

  private boolean ended(SocketChannel client) {
    try {
      if (client.read(ByteBuffer.allocate(1)) >= 0) {
        return false;
      }
    } catch (IOException e) {
      // A reset is an end, too.
    }
    close(client);
    turnedAway.incrementAndGet();
    return true;
  }

  private static void close(SocketChannel client) {
    try {
      client.close();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  /**
   * The limit that the process is told, the one that it has, and how many connections to its upstream it keeps. In the first rows it is
   * told the truth and nothing fails; in the last one accepts and connects fail, and are tried again.
   */
  @ParameterizedTest
  @CsvSource({"64,64,15", "192,192,60"})
  void listsUpstreamsOperatorsAndTheStopHaveDescriptorsKeptAside(int told, int limit, int kept)
      throws Exception {
    CountDownLatch answers = new CountDownLatch(1);
    try (FakeServer before = new FakeServer((request, connection, out) -> {
          answers.await();
          FakeServer.write(out, FakeServer.ok("before"));
        });
        FakeServer after = FakeServer.serving("after");
        FakeServer discovery = new FakeServer((request, connection, out) -> connection.close())) {
      int door = freePort();
      start(
          TestNode.json(discovery.address(), 3, before)
              .replace("\"sockets\":1024", "\"sockets\":" + told)
              .replace("\"seed\"", "\"admin\":\"127.0.0.1:" + door + "\",\"seed\""),
          limit);
      InetSocketAddress address = address();
      List<TestClient> asked = new ArrayList<>();
      for (int i = 0; i < kept; i++) {
        asked.add(new TestClient(address).send(TestClient.look("before" + i, LEFT_MILLIS, "")));
      }
      TestNode.until(() -> before.requests.size() == kept);
      answers.countDown();
      for (TestClient client : asked) {
        assertEquals(200, client.read().status());
      }
      crowd(address, 2 * limit);
      TestNode.until(() -> turnedAway.get() > limit);
      discovery.behaviour = (request, connection, out) -> tell(out, after);
      TestNode.until(() -> before.closedByPeer.get() == before.connections.size());
      try (TestClient client = new TestClient(address)) {
        assertEquals(
            "after", client.call(TestClient.look("after", LEFT_MILLIS, "")).body());
      }
      try (TestClient operator = new TestClient(new InetSocketAddress("127.0.0.1", door))) {
        assertTrue(operator.send("GET /fleet HTTP/1.1\r\n\r\n").readByte() > 0, "an answer");
      }
      process.destroy();
      assertTrue(process.waitFor(30, TimeUnit.SECONDS), "ends");
      assertEquals(0, process.exitValue());
      assertEquals(
          limit < told,
          said.stream().anyMatch(l -> l.contains("Too many open files")),
          said::toString);
    }
  }

  /** Sockets of a process that has no descriptor for another connection while a test says so. */
  private static final class Scarce implements Sockets {
    private final Sockets system;
    private final AtomicInteger refused = new AtomicInteger();
    private volatile boolean none;

    private Scarce(Sockets system) {
      this.system = system;
    }

    @Override
    public Channel newConnectingChannel() {
      if (none) {
        refused.incrementAndGet();
        throw new ChannelException("no socket", new IOException("Too many open files"));
      }
      return system.newConnectingChannel();
    }

    @Override
    public ServerChannel newListeningChannel() {
      return system.newListeningChannel();
    }

    @Override
    public void drainBacklogAndClose(Channel listener, int most) {
      system.drainBacklogAndClose(listener, most);
    }

    @Override
    public boolean isQuiet(Channel channel) {
      return system.isQuiet(channel);
    }

    @Override
    public int discardUnread(Channel channel, int most) {
      return system.discardUnread(channel, most);
    }
  }

  /** Neither a watch nor a place for a connection is lost by a connect that found no descriptor. */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void whatFoundNoDescriptorIsTriedAgain(boolean pushed) throws Exception {
    Reactor system = Reactor.start();
    Scarce scarce = new Scarce(system.sockets());
    CountDownLatch watched = new CountDownLatch(1);
    try (FakeServer before = FakeServer.serving("before");
        FakeServer after = FakeServer.serving("after");
        FakeServer discovery = new FakeServer((request, connection, out) -> {
          watched.countDown();
          connection.close();
        })) {
      String json = pushed
          ? TestNode.pushed(discovery.address(), 1, before)
          : TestNode.json(discovery.address(), 1, before);
      TestNode node = new TestNode(
          json.replace("\"sockets\":1024", "\"sockets\":20"),
          new Reactor(system.loop(), system.clock(), scarce));
      watched.await();
      scarce.none = true;
      try (TestClient client = new TestClient(node.address)) {
        for (int i = 0; i < 10; i++) {
          int status = client.call(TestClient.look("none" + i, LEFT_MILLIS, "")).status();
          assertTrue(status == 429 || status == 502, "answered " + status);
        }
        int byClients = scarce.refused.get();
        TestNode.until(() -> scarce.refused.get() > byClients);
        discovery.behaviour = (request, connection, out) -> tell(out, after);
        scarce.none = false;
        TestNode.until(() -> isServedBy(client, "after"));
      }
    }
  }

  private static boolean isServedBy(TestClient client, String upstream) {
    try {
      return client
          .call(TestClient.look("again" + System.nanoTime(), LEFT_MILLIS, ""))
          .body()
          .equals(upstream);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static void tell(OutputStream out, FakeServer upstream) throws IOException {
    String list = "{\"index\":8,\"snapshot\":true,\"endpoints\":["
        + TestNode.endpoint("s-9", upstream.address(), "in_service") + "]}\n";
    FakeServer.write(out, HEAD + Integer.toHexString(list.length()) + "\r\n" + list + "\r\n");
  }

  private static int freePort() throws IOException {
    try (ServerSocket any = new ServerSocket(0)) {
      return any.getLocalPort();
    }
  }
}
