package pumicekeel.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** One process replaced by the next on a listening socket that the platform holds and both inherit as descriptor 0. */
class HandoverTest {

  /** The platform: listens, starts the balancer at once, and once more when a file appears; its lines tell the rest. */
  private static final String PLATFORM = """
      use Socket; $| = 1;
      socket(S, PF_INET, SOCK_STREAM, 0); bind(S, sockaddr_in(0, INADDR_LOOPBACK)); listen(S, 1024);
      print "port ", (sockaddr_in(getsockname(S)))[0], "\\n";
      open(STDIN, "+<&", S); close(S);
      my ($again, $first, $second, @run) = @ARGV;
      sub start { my $pid = fork; if (!$pid) { $ENV{PROXY_ADMIN} = $_[0]; exec @run; } print "pid $pid\\n"; }
      start($first);
      select(undef, undef, undef, 0.02) until -e $again;
      start($second);
      while ((my $pid = wait) > 0) { print "ended $pid ", $? >> 8, "\\n"; }
      """;

  @TempDir
  private Path folder;

  private Process platform;
  private BufferedReader lines;
  private long old;

  @AfterEach
  void stop() {
    if (platform != null) {
      platform.descendants().forEach(ProcessHandle::destroyForcibly);
      platform.destroyForcibly();
    }
  }

  private String await(String start) throws IOException {
    for (String line = lines.readLine(); line != null; line = lines.readLine()) {
      if (line.startsWith(start)) {
        return line.substring(start.length()).trim();
      }
    }
    throw new AssertionError("never said: " + start);
  }

  private InetSocketAddress freeAddress() throws IOException {
    try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return (InetSocketAddress) free.getLocalSocketAddress();
    }
  }

  private static String call(InetSocketAddress door, String word) {
    try (Socket socket = new Socket(door.getAddress(), door.getPort())) {
      socket.setSoTimeout(30_000);
      socket.getOutputStream().write((word + "\n").getBytes(StandardCharsets.US_ASCII));
      return new BufferedReader(
              new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII))
          .readLine();
    } catch (IOException e) {
      return "NO " + e;
    }
  }

  @Test
  void nextProcessTakesClientsOverAndNoRequestMeetsAClosedDoor() throws Exception {
    CountDownLatch held = new CountDownLatch(1);
    try (FakeServer upstream = new FakeServer((request, connection, out) -> {
      if (request.contains("held")) {
        held.await();
      }
      FakeServer.write(out, FakeServer.ok("fine"));
    })) {
      Path config = folder.resolve("config.json");
      Files.writeString(config, TestNode.json(TestNode.nowhere(), 1, upstream));
      Path again = folder.resolve("again");
      InetSocketAddress firstDoor = freeAddress();
      InetSocketAddress secondDoor = freeAddress();
      ProcessBuilder builder = new ProcessBuilder(
          "perl",
          "-e",
          PLATFORM,
          again.toString(),
          TestNode.text(firstDoor),
          TestNode.text(secondDoor),
          Path.of(System.getProperty("java.home"), "bin", "java").toString(),
          "-XX:+UseSerialGC",
          "-Xmx128m",
          "-cp",
          System.getProperty("java.class.path"),
          "pumicekeel.cli.Main",
          "serve");
      builder.environment().keySet().removeIf(name -> name.startsWith("PROXY_"));
      builder.environment().put("PROXY_CONFIG", config.toString());
      builder.environment().put("PROXY_SOCKET_FD", "0");
      platform = builder.redirectErrorStream(true).start();
      lines = new BufferedReader(
          new InputStreamReader(platform.getInputStream(), StandardCharsets.UTF_8));
      InetSocketAddress address =
          new InetSocketAddress(InetAddress.getLoopbackAddress(), Integer.parseInt(await("port")));
      old = Long.parseLong(await("pid"));
      TestNode.until(() -> call(firstDoor, "readyz").startsWith("YES"));

      AtomicBoolean over = new AtomicBoolean();
      AtomicInteger served = new AtomicInteger();
      AtomicInteger broken = new AtomicInteger();
      AtomicInteger ended = new AtomicInteger();
      Thread client = new Thread(() -> ask(address, over, served, broken, ended));
      client.start();
      TestClient open = new TestClient(address);
      open.send(TestClient.look("held", 15_000, ""));
      TestNode.until(
          () -> upstream.requests.stream().anyMatch(r -> r.contains("held")) && served.get() > 0);
      TestNode.until(() -> served.get() > 200);
      assertEquals(0, ended.get(), "connections are kept until the handover");
      Files.writeString(again, "");
      await("pid");
      TestNode.until(() -> call(secondDoor, "readyz").startsWith("YES"));
      assertEquals(
          0, new ProcessBuilder("kill", "-TERM", Long.toString(old)).start().waitFor());
      TestNode.until(() -> call(firstDoor, "readyz").startsWith("NO"));
      held.countDown();
      assertEquals("fine", open.read().body(), "what the old one had taken");
      assertTrue(open.ended());
      assertEquals(old + " 0", await("ended"), "only the old one ends, with status 0");
      int before = served.get();
      TestNode.until(() -> served.get() > before + 10);
      over.set(true);
      client.join(TimeUnit.SECONDS.toMillis(30));
      assertEquals(
          0,
          broken.get(),
          "requests that met a refused, reset or unread connection, or one that was not ready for them");
      assertTrue(call(secondDoor, "readyz").startsWith("YES"));
    }
  }

  /** A client that keeps its connection until it is told that an answer was its last. */
  private static void ask(
      InetSocketAddress address,
      AtomicBoolean over,
      AtomicInteger served,
      AtomicInteger broken,
      AtomicInteger ended) {
    TestClient client = null;
    while (!over.get()) {
      try {
        client = client == null ? new TestClient(address) : client;
        TestClient.Reply reply = client.call(TestClient.look("c" + served.get(), 15_000, ""));
        served.incrementAndGet();
        broken.addAndGet(reply.status() == 200 ? 0 : 1);
        if (reply.head().contains("connection: close")) {
          ended.incrementAndGet();
          client.close();
          client = null;
        }
      } catch (IOException e) {
        broken.incrementAndGet();
        client = null;
      }
    }
  }
}
