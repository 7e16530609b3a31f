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

/** Idle clients use up the descriptors while discovery is down, in a process with a descriptor limit. */
class DescriptorsTest {

  private static final long LEFT_MILLIS = 15_000;
  private static final String HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

  @TempDir
  private Path folder;

  private Process process;
  private BufferedReader log;
  private final AtomicInteger closedByServer = new AtomicInteger();
  private final List<String> logLines = new CopyOnWriteArrayList<>();
  private volatile boolean stopped;

  /** Starts the process. A test's class path has many files and the deployed program one jar, so these are added to the limit. */
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
        Thread reads = new Thread(() -> log.lines().forEach(logLines::add));
        reads.setDaemon(true);
        reads.start();
        return at;
      }
    }
    throw new AssertionError("the program did not start");
  }

  @AfterEach
  void stop() {
    stopped = true;
    if (process != null) {
      process.destroyForcibly();
    }
  }

  /** Opens connections that never send a request, more than there are descriptors; closed ones are reopened. */
  private void openIdleConnections(InetSocketAddress address, int clients) {
    Thread reconnecting = new Thread(() -> {
      List<SocketChannel> open = new ArrayList<>();
      try {
        while (!stopped) {
          while (open.size() < clients) {
            SocketChannel next = SocketChannel.open(address);
            next.configureBlocking(false);
            open.add(next);
          }
          open.removeIf(this::ended);
          Thread.sleep(10);
        }
      } catch (IOException | InterruptedException e) {
        // The process no longer listens.
      }
      open.forEach(DescriptorsTest::close);
    });
    reconnecting.setDaemon(true);
    reconnecting.start();
  }

  private boolean ended(SocketChannel client) {
    try {
      if (client.read(ByteBuffer.allocate(1)) >= 0) {
        return false;
      }
    } catch (IOException e) {
      // A reset counts as a close.
    }
    close(client);
    closedByServer.incrementAndGet();
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
   * Parameters: the descriptor limit in the configuration, the actual limit, and the connections kept to the upstream. Where the two
   * limits agree nothing fails; where the actual limit is lower, accepts and connects fail and are retried.
   */
  @ParameterizedTest
  @CsvSource({"64,64,15", "192,192,60"})
  void descriptorsAreReservedForListsUpstreamsOperatorsAndTheStop(
      int configured, int limit, int kept) throws Exception {
    CountDownLatch answers = new CountDownLatch(1);
    try (FakeServer before = new FakeServer((request, connection, out) -> {
          answers.await();
          FakeServer.write(out, FakeServer.ok("before"));
        });
        FakeServer after = FakeServer.serving("after");
        FakeServer discovery = new FakeServer((request, connection, out) -> connection.close())) {
      int adminPort = freePort();
      start(
          TestNode.json(discovery.address(), 3, before)
              .replace("\"sockets\":1024", "\"sockets\":" + configured)
              .replace("\"seed\"", "\"admin\":\"127.0.0.1:" + adminPort + "\",\"seed\""),
          limit);
      InetSocketAddress address = address();
      List<TestClient> keptClients = new ArrayList<>();
      for (int i = 0; i < kept; i++) {
        keptClients.add(
            new TestClient(address).send(TestClient.look("before" + i, LEFT_MILLIS, "")));
      }
      TestNode.until(() -> before.requests.size() == kept);
      answers.countDown();
      for (TestClient client : keptClients) {
        assertEquals(200, client.read().status());
      }
      openIdleConnections(address, 2 * limit);
      TestNode.until(() -> closedByServer.get() > limit);
      discovery.behaviour = (request, connection, out) -> sendList(out, after);
      TestNode.until(() -> before.closedByPeer.get() == before.connections.size());
      try (TestClient client = new TestClient(address)) {
        assertEquals(
            "after", client.call(TestClient.look("after", LEFT_MILLIS, "")).body());
      }
      try (TestClient operator = new TestClient(new InetSocketAddress("127.0.0.1", adminPort))) {
        assertTrue(operator.send("GET /fleet HTTP/1.1\r\n\r\n").readByte() > 0, "an answer");
      }
      process.destroy();
      assertTrue(process.waitFor(30, TimeUnit.SECONDS), "ends");
      assertEquals(0, process.exitValue());
      assertEquals(
          limit < configured,
          logLines.stream().anyMatch(l -> l.contains("Too many open files")),
          logLines::toString);
    }
  }

  /** Sockets of a process that can be set to have no descriptor for another connection. */
  private static final class LimitedSockets implements Sockets {
    private final Sockets system;
    private final AtomicInteger refused = new AtomicInteger();
    private volatile boolean exhausted;

    private LimitedSockets(Sockets system) {
      this.system = system;
    }

    @Override
    public Channel newConnectingChannel() {
      if (exhausted) {
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

  /** A connect that fails for lack of a descriptor loses neither a watch nor a connection's share of the limit. */
  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void connectWithoutADescriptorIsRetried(boolean pushed) throws Exception {
    Reactor system = Reactor.start();
    LimitedSockets sockets = new LimitedSockets(system.sockets());
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
          new Reactor(system.loop(), system.clock(), sockets));
      watched.await();
      sockets.exhausted = true;
      try (TestClient client = new TestClient(node.address)) {
        for (int i = 0; i < 10; i++) {
          int status = client.call(TestClient.look("none" + i, LEFT_MILLIS, "")).status();
          assertTrue(status == 429 || status == 502, "answered " + status);
        }
        int refusedBefore = sockets.refused.get();
        TestNode.until(() -> sockets.refused.get() > refusedBefore);
        discovery.behaviour = (request, connection, out) -> sendList(out, after);
        sockets.exhausted = false;
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

  private static void sendList(OutputStream out, FakeServer upstream) throws IOException {
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
