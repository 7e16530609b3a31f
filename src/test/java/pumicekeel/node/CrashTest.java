package pumicekeel.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.InputStreamReader;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import pumicekeel.journal.History;
import pumicekeel.journal.RequestHistory;
import pumicekeel.measure.Torture;
import pumicekeel.runtime.Addresses;
import pumicekeel.standin.StandInUpstream.Mode;
import pumicekeel.standin.StandInUpstream.ReceivedRequest;

/** The process is killed by SIGKILL; its journal is compared with the logs of the stand-in upstreams. */
class CrashTest {

  private final TestServices t = new TestServices();

  @TempDir
  private Path folder;

  private Process process;
  private InetSocketAddress address;

  @AfterEach
  void stop() throws Exception {
    if (process != null) {
      process.destroyForcibly().waitFor();
    }
    t.close();
  }

  private Path journal() {
    return folder.resolve("journal");
  }

  private void start() throws Exception {
    start(t.list("q0", "q1"));
  }

  private void start(String list) throws Exception {
    Path config = folder.resolve("config.json");
    Files.writeString(
        config,
        "{\"name\":\"n0\",\"listen\":\"127.0.0.1:0\",\"discovery\":\"127.0.0.1:1\",\"seed\":\"1\","
            + "\"limits\":{\"sockets\":1024},\"settings\":" + TestServices.SETTINGS + "}");
    Path operator = folder.resolve("operator.toml");
    Files.writeString(
        operator,
        "[journal]\ndirectory = \"" + journal() + "\"\ndurability = \"process\"\n"
            + "[sources.s]\nstatic = " + list + "\n[pools.quotes]\nsource = \"s\"\n[[routes]]\n"
            + "pool = \"quotes\"\n");
    ProcessBuilder builder = new ProcessBuilder(
        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
        "-XX:+UseSerialGC",
        "-XX:TieredStopAtLevel=1",
        "-cp",
        System.getProperty("java.class.path"),
        "pumicekeel.cli.Main",
        "serve",
        "--operator",
        operator.toString());
    builder.environment().keySet().removeIf(name -> name.startsWith("PROXY_"));
    builder.environment().put("PROXY_CONFIG", config.toString());
    process = builder.redirectErrorStream(true).start();
    BufferedReader log =
        new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
    StringBuilder before = new StringBuilder();
    for (String line = log.readLine(); line != null; line = log.readLine()) {
      before.append(line).append('\n');
      if (line.contains(" serves at /")) {
        address = Addresses.parse("log", line.substring(line.indexOf('/') + 1));
        return;
      }
    }
    throw new AssertionError("did not start: " + before);
  }

  private void kill() throws Exception {
    process.destroyForcibly();
    assertTrue(process.waitFor(30, TimeUnit.SECONDS));
  }

  private History history() throws Exception {
    History history = new History(e -> true);
    history.read(journal());
    return history;
  }

  /** Kills the process repeatedly at random moments under load: the journal's verdict on each request must be correct. */
  @Test
  void journalIsCorrectAfterKillsAtRandomMoments() throws Exception {
    long seed = new SplittableRandom().nextLong();
    System.err.println("CrashTest seed " + seed);
    StringWriter output = new StringWriter();
    boolean correct = new Torture(
            List.of(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-cp",
                System.getProperty("java.class.path"),
                "pumicekeel.cli.Main"),
            folder,
            "process",
            seed,
            new PrintWriter(output))
        .run(30);
    assertTrue(correct, "seed " + seed + ": " + output);
  }

  /** A keyed request in flight at the crash: within its window a repeat goes only to the group that deduplicates it. */
  @Test
  void repeatAfterACrashGoesOnlyToTheGroupThatDeduplicatesIt() throws Exception {
    t.upstream("q0", 0).mode(Mode.HANG);
    t.upstream("q1", 0).mode(Mode.HANG);
    start();
    try (TestClient client = new TestClient(address)) {
      client.send(ServicePoolsTest.issue("first", "key-1", "h"));
      TestNode.until(() -> upstreamsOf("first").size() == 1);
      kill();
    }
    String upstream = upstreamsOf("first").get(0);
    t.upstreams.values().forEach(u -> u.mode(Mode.SERVE));
    start();
    for (int i = 0; i < 6; i++) {
      try (TestClient client = new TestClient(address)) {
        // Different session keys, which the hash ring alone would spread over both upstreams.
        int status = client
            .call(ServicePoolsTest.issue("again-" + i, "key-1", "h")
                .replace("Key: k\r", "Key: s" + i + "\r"))
            .status();
        assertTrue(status == 200 || status == 502, "status " + status);
        assertTrue(
            upstreamsOf("again-" + i).stream().allMatch(upstream::equals),
            upstreamsOf("again-" + i) + " and not " + upstream);
      }
    }
    RequestHistory first = history().requests().stream()
        .filter(s -> s.firstIntent().id().equals("first"))
        .findFirst()
        .get();
    assertEquals(RequestHistory.Verdict.MAY_HAVE_RUN, first.verdict(history().gapFor(first)));
    assertEquals(
        List.of(upstream),
        first.attempts().stream().map(a -> a.intent().upstream()).toList());
    // After its window of 5 s nobody deduplicates it any more, so it fails without being sent.
    TestNode.until(() -> System.currentTimeMillis() - first.firstIntent().wallMillis() > 5_100);
    try (TestClient client = new TestClient(address)) {
      assertEquals(
          502, client.call(ServicePoolsTest.issue("late", "key-1", "h")).status());
      assertTrue(upstreamsOf("late").isEmpty());
      assertEquals(
          200, client.call(ServicePoolsTest.issue("other", "key-2", "h")).status());
    }
  }

  /** Killed between the intent and the send: the connect was pending, so nothing was sent, but the journal can't prove that. */
  @Test
  void killBeforeTheSendIsReportedAsMayHaveRun() throws Exception {
    t.upstream("q0", 0);
    t.upstream("q1", 0);
    try (java.net.ServerSocket full =
        new java.net.ServerSocket(0, 1, java.net.InetAddress.getLoopbackAddress())) {
      java.util.List<java.net.Socket> fillers = new java.util.ArrayList<>();
      for (int i = 0; i < 4; i++) {
        java.net.Socket filler = new java.net.Socket();
        fillers.add(filler);
        try {
          filler.connect(full.getLocalSocketAddress(), 200);
        } catch (java.io.IOException e) {
          // The backlog is full: the next connect stays pending.
        }
      }
      start(t.list("q0", "q1")
          .replaceAll("127\\.0\\.0\\.1:\\d+", "127.0.0.1:" + full.getLocalPort()));
      try (TestClient client = new TestClient(address)) {
        client.send(ServicePoolsTest.issue("held", "key-1", "h"));
        TestNode.until(() -> {
          try {
            return !history().requests().isEmpty();
          } catch (Exception e) {
            throw new AssertionError(e);
          }
        });
        kill();
      }
      RequestHistory request = history().requests().get(0);
      assertEquals(
          RequestHistory.Verdict.MAY_HAVE_RUN, request.verdict(history().gapFor(request)));
      assertTrue(request.attempts().stream().noneMatch(RequestHistory.Attempt::written));
      for (java.net.Socket filler : fillers) {
        filler.close();
      }
    }
  }

  /** A second process on the same directory does not start; the lock is released when the first process is killed. */
  @Test
  void directoryIsLockedByOneProcessAndReleasedAtItsDeath() throws Exception {
    t.upstream("q0", 0);
    t.upstream("q1", 0);
    start();
    Process first = process;
    AssertionError e =
        org.junit.jupiter.api.Assertions.assertThrows(AssertionError.class, this::start);
    assertTrue(e.getMessage().contains("another one writes to"), e.getMessage());
    assertEquals(2, process.waitFor());
    first.destroyForcibly().waitFor();
    start();
  }

  private List<String> upstreamsOf(String id) {
    return t.upstreams.entrySet().stream()
        .filter(u -> u.getValue().received().stream().map(ReceivedRequest::id).anyMatch(id::equals))
        .map(Map.Entry::getKey)
        .toList();
  }
}
