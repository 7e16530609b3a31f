package pumicekeel.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import pumicekeel.runtime.Addresses;

/** The program as a process: start, stop and exit status. */
class ProcessTest {

  @TempDir
  private Path folder;

  private Process process;
  private BufferedReader log;

  private void start(String configuration, String... variable) throws Exception {
    start(configuration, java.util.List.of(), variable);
  }

  private void start(String configuration, java.util.List<String> options, String... variable)
      throws Exception {
    Path file = folder.resolve("config.json");
    if (configuration != null) {
      Files.writeString(file, configuration);
    }
    ProcessBuilder builder = new ProcessBuilder(
        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
        "-XX:+UseSerialGC",
        "-cp",
        System.getProperty("java.class.path"),
        "pumicekeel.cli.Main",
        "serve");
    builder.command().addAll(options);
    builder.environment().keySet().removeIf(name -> name.startsWith("PROXY_"));
    builder.environment().put("PROXY_CONFIG", file.toString());
    for (int i = 0; i < variable.length; i += 2) {
      builder.environment().put(variable[i], variable[i + 1]);
    }
    process = builder.redirectErrorStream(true).start();
    log =
        new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
  }

  private InetSocketAddress address() throws Exception {
    for (String line = log.readLine(); line != null; line = log.readLine()) {
      if (line.contains(" serves at /")) {
        return Addresses.parse("log", line.substring(line.indexOf('/') + 1));
      }
    }
    throw new AssertionError("the program did not start");
  }

  private int status() throws Exception {
    assertTrue(process.waitFor(60, TimeUnit.SECONDS), "the program ended");
    return process.exitValue();
  }

  @AfterEach
  void stop() {
    process.destroyForcibly();
  }

  @Test
  void sigtermAnswersAcceptedRequestsAndEndsWithStatusZero() throws Exception {
    CountDownLatch release = new CountDownLatch(1);
    try (FakeServer upstream = new FakeServer((request, connection, out) -> {
      release.await();
      FakeServer.write(out, FakeServer.ok("fine"));
    })) {
      start(TestNode.json(TestNode.unusedAddress(), 1, upstream));
      InetSocketAddress address = address();
      try (TestClient open = new TestClient(address);
          TestClient idle = new TestClient(address);
          TestClient slow = new TestClient(address)) {
        slow.send(TestClient.order("2", 15_000).replace("Length: 4", "Length: 400"));
        idle.call("GET /up HTTP/1.1\r\nHost: h\r\n\r\n");
        open.send(TestClient.order("1", 15_000));
        TestNode.until(() -> upstream.requests.size() == 1);
        signal("TERM");
        awaitLog(" drains");
        assertEquals(
            503,
            idle.call("GET /up HTTP/1.1\r\nHost: h\r\n\r\n").status(),
            "connected clients are still served");
        try (TestClient late = new TestClient(address)) {
          assertEquals(503, late.call("GET /up HTTP/1.1\r\nHost: h\r\n\r\n").status());
        } catch (IOException e) {
          // On a busy machine the half second in which clients are still accepted may be over
          // already.
          assertTrue(process.isAlive(), "the accepted request is still open");
        }
        assertTrue(idle.ended(), "an idle connection is closed in the end");
        assertEquals(408, slow.read().status(), "a partly received request is not waited for");
        release.countDown();
        TestClient.Reply reply = open.read();
        assertEquals("fine", reply.body());
        assertTrue(reply.head().contains("connection: close"), reply.head());
        assertTrue(open.ended());
      }
      assertEquals(0, status());
    }
  }

  private void signal(String name) throws Exception {
    assertEquals(
        0,
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid()))
            .start()
            .waitFor());
  }

  private void awaitLog(String part) throws Exception {
    for (String line = log.readLine(); line != null; line = log.readLine()) {
      if (line.contains(part)) {
        return;
      }
    }
    throw new AssertionError("line not logged: " + part);
  }

  /** Without a handler SIGHUP ends a Java process. */
  @Test
  void sighupSwitchesDiscoveryAndAnInvalidFileChangesNothing() throws Exception {
    try (FakeServer upstream = FakeServer.serving("fine");
        FakeServer first = new FakeServer((r, c, out) -> {});
        FakeServer second = new FakeServer((r, c, out) -> {});
        FakeServer third = new FakeServer((r, c, out) -> {})) {
      start(
          TestNode.json(first.address(), 1, upstream),
          "PROXY_DISCOVERY",
          TestNode.text(first.address()));
      InetSocketAddress address = address();
      TestNode.until(() -> first.requests.size() == 1);
      Path file = folder.resolve("config.json");
      Files.writeString(file, TestNode.json(second.address(), 1, upstream));
      signal("HUP");
      TestNode.until(() -> second.requests.size() == 1 && first.closedByPeer.get() == 1);
      Files.writeString(file, "{");
      signal("HUP");
      awaitLog("the configuration stays as it was");
      Files.writeString(file, TestNode.json(third.address(), 1, upstream));
      signal("HUP");
      TestNode.until(() -> third.requests.size() == 1 && second.closedByPeer.get() == 1);
      try (TestClient client = new TestClient(address)) {
        assertEquals("fine", client.call(TestClient.order("1", 15_000)).body());
      }
      process.destroy();
      assertEquals(0, status());
    }
  }

  /** With SIGHUP ignored, as by nohup, Java never receives the signal, which the log has to say. */
  @Test
  void ignoredSighupIsLoggedAtTheStart() throws Exception {
    try (FakeServer upstream = FakeServer.serving("fine")) {
      Path file = folder.resolve("config.json");
      Files.writeString(file, TestNode.json(TestNode.unusedAddress(), 1, upstream));
      ProcessBuilder builder = new ProcessBuilder(
          "sh",
          "-c",
          "trap '' HUP; exec \"$0\" \"$@\"",
          Path.of(System.getProperty("java.home"), "bin", "java").toString(),
          "-cp",
          System.getProperty("java.class.path"),
          "pumicekeel.cli.Main",
          "serve");
      builder.environment().keySet().removeIf(name -> name.startsWith("PROXY_"));
      builder.environment().put("PROXY_CONFIG", file.toString());
      process = builder.redirectErrorStream(true).start();
      log = new BufferedReader(
          new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
      awaitLog("SIGHUP is ignored");
      address();
      signal("HUP");
      process.destroy();
      assertEquals(0, status());
    }
  }

  @Test
  void invalidConfigurationIsOneLineAndStatusTwo() throws Exception {
    String valid = TestNode.json(TestNode.unusedAddress(), 1);
    for (String invalid : new String[] {
      null,
      "",
      "{",
      "{}",
      valid.replace("8c1f30d27a5be964", "seed"),
      valid.replace("127.0.0.1:0", "localhost:0"),
      valid.replace("127.0.0.1:0", "127.0.0.1:99999"),
      valid.replace("\"aim-ns\":2000000000", "\"aim-ns\":0")
    }) {
      start(invalid);
      assertEquals(2, status(), invalid);
      String[] lines = log.lines().toArray(String[]::new);
      assertEquals(1, lines.length, String.join("\n", lines));
      assertTrue(
          lines[0].startsWith("configuration: ") && !lines[0].contains("Exception in"), lines[0]);
    }
  }

  @Test
  void descriptorWithoutAListeningSocketIsOneLineAndStatusTwo() throws Exception {
    for (String[] row : new String[][] {
      {"0", "expected a listening socket as descriptor 0"}, {"7", "expected 0, got \"7\""}
    }) {
      start(TestNode.json(TestNode.unusedAddress(), 1), "PROXY_SOCKET_FD", row[0]);
      assertEquals(2, status());
      String[] lines = log.lines().toArray(String[]::new);
      assertEquals(1, lines.length, String.join("\n", lines));
      assertTrue(lines[0].startsWith("configuration: PROXY_SOCKET_FD: " + row[1]), lines[0]);
    }
  }

  /** The operator file of a process: by option, by variable, reloaded, and invalid at a start and at a reload. */
  @Test
  void operatorFileIsAppliedAtTheStartAndAtSighupOrNotAtAll() throws Exception {
    Path operator = folder.resolve("operator.toml");
    try (FakeServer one = FakeServer.serving("one");
        FakeServer two = FakeServer.serving("two")) {
      String text =
          "[sources.s]\nstatic = [{ name = \"u\", address = \"%s\" }]\n[pools.p]\nsource = \"s\"\n"
              + "[[routes]]\nhost = \"%s\"\npool = \"p\"\n";
      Files.writeString(operator, text.formatted(TestNode.text(one.address()), "h"));
      start(
          TestNode.json(TestNode.unusedAddress(), 1),
          java.util.List.of("--operator", operator.toString()));
      InetSocketAddress address = address();
      try (TestClient client = new TestClient(address)) {
        assertEquals("one", client.call(TestClient.order("1", 15_000)).body());
        Files.writeString(operator, "[pools.p]\nsorce = \"s\"\n");
        signal("HUP");
        awaitLog("operator.toml:2: pools.p.sorce: unknown key");
        awaitLog("the operator file stays as it was");
        assertEquals("one", client.call(TestClient.order("2", 15_000)).body());
        Files.writeString(operator, text.formatted(TestNode.text(two.address()), "h"));
        signal("HUP");
        awaitLog(" reloads: the pools [p] by 1 routes");
        assertEquals("two", client.call(TestClient.order("3", 15_000)).body());
      }
      process.destroy();
      assertEquals(0, status());
      Files.writeString(operator, "[pools.p]\n");
      start(TestNode.json(TestNode.unusedAddress(), 1), "PROXY_OPERATOR", operator.toString());
      assertEquals(2, status());
      String[] lines = log.lines().toArray(String[]::new);
      assertEquals(1, lines.length, String.join("\n", lines));
      assertTrue(
          lines[0].contains("operator.toml:1: routes: expected at least one route"), lines[0]);
    }
  }
}
