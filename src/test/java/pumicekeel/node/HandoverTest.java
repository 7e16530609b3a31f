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

/** A process is replaced by the next one on a listening socket that the platform holds and both inherit as descriptor 0. */
class HandoverTest {

  /** The platform: listens, starts a balancer at once and another when a file appears; prints each process's start and end. */
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
  private long oldPid;

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
    throw new AssertionError("line not received: " + start);
  }

  private InetSocketAddress freeAddress() throws IOException {
    try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return (InetSocketAddress) free.getLocalSocketAddress();
    }
  }

  private static String call(InetSocketAddress admin, String command) {
    try (Socket socket = new Socket(admin.getAddress(), admin.getPort())) {
      socket.setSoTimeout(30_000);
      socket.getOutputStream().write((command + "\n").getBytes(StandardCharsets.US_ASCII));
      return new BufferedReader(
              new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII))
          .readLine();
    } catch (IOException e) {
      return "NO " + e;
    }
  }

  @Test
  void nextProcessTakesOverWithoutAFailedRequest() throws Exception {
    CountDownLatch release = new CountDownLatch(1);
    try (FakeServer upstream = new FakeServer((request, connection, out) -> {
      if (request.contains("held")) {
        release.await();
      }
      FakeServer.write(out, FakeServer.ok("fine"));
    })) {
      Path config = folder.resolve("config.json");
      Files.writeString(config, TestNode.json(TestNode.unusedAddress(), 1, upstream));
      Path startNext = folder.resolve("again");
      InetSocketAddress firstAdmin = freeAddress();
      InetSocketAddress secondAdmin = freeAddress();
      ProcessBuilder builder = new ProcessBuilder(
          "perl",
          "-e",
          PLATFORM,
          startNext.toString(),
          TestNode.text(firstAdmin),
          TestNode.text(secondAdmin),
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
      oldPid = Long.parseLong(await("pid"));
      TestNode.until(() -> call(firstAdmin, "readyz").startsWith("YES"));

      AtomicBoolean finished = new AtomicBoolean();
      AtomicInteger served = new AtomicInteger();
      AtomicInteger broken = new AtomicInteger();
      AtomicInteger closes = new AtomicInteger();
      Thread client = new Thread(() -> sendRequests(address, finished, served, broken, closes));
      client.start();
      TestClient open = new TestClient(address);
      open.send(TestClient.look("held", 15_000, ""));
      TestNode.until(
          () -> upstream.requests.stream().anyMatch(r -> r.contains("held")) && served.get() > 0);
      TestNode.until(() -> served.get() > 200);
      assertEquals(0, closes.get(), "connections are kept until the handover");
      Files.writeString(startNext, "");
      await("pid");
      TestNode.until(() -> call(secondAdmin, "readyz").startsWith("YES"));
      assertEquals(
          0, new ProcessBuilder("kill", "-TERM", Long.toString(oldPid)).start().waitFor());
      TestNode.until(() -> call(firstAdmin, "readyz").startsWith("NO"));
      release.countDown();
      assertEquals("fine", open.read().body(), "accepted by the old process");
      assertTrue(open.ended());
      assertEquals(oldPid + " 0", await("ended"), "only the old process ends, with status 0");
      int before = served.get();
      TestNode.until(() -> served.get() > before + 10);
      finished.set(true);
      client.join(TimeUnit.SECONDS.toMillis(30));
      assertEquals(
          0,
          broken.get(),
          "requests that met a refused, reset or unread connection, or one that was not ready for them");
      assertTrue(call(secondAdmin, "readyz").startsWith("YES"));
    }
  }

  /** Sends requests on one connection until an answer announces its close, then on a new one. */
  private static void sendRequests(
      InetSocketAddress address,
      AtomicBoolean finished,
      AtomicInteger served,
      AtomicInteger broken,
      AtomicInteger closes) {
    TestClient client = null;
    while (!finished.get()) {
      try {
        client = client == null ? new TestClient(address) : client;
        TestClient.Reply reply = client.call(TestClient.look("c" + served.get(), 15_000, ""));
        served.incrementAndGet();
        broken.addAndGet(reply.status() == 200 ? 0 : 1);
        if (reply.head().contains("connection: close")) {
          closes.incrementAndGet();
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
