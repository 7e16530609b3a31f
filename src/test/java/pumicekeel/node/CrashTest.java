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
import pumicekeel.journal.Story;
import pumicekeel.measure.Torture;
import pumicekeel.runtime.Addresses;
import pumicekeel.standin.StandInUpstream.Mode;
import pumicekeel.standin.StandInUpstream.Seen;

/** The process dies by SIGKILL: what its journal says is held against the stand-ins' logs. */
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

  /** Killed at random moments under load, again and again: every answer of the journal is true. */
  @Test
  void journalTellsTheTruthHoweverTheProcessDied() throws Exception {
    long seed = new SplittableRandom().nextLong();
    System.err.println("CrashTest seed " + seed);
    StringWriter said = new StringWriter();
    boolean truthful = new Torture(
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
            new PrintWriter(said))
        .run(30);
    assertTrue(truthful, "seed " + seed + ": " + said);
  }

  /** The keyed request that was out when the process died: its repeat goes to the group that drops it, in its window. */
  @Test
  void repeatAfterACrashGoesOnlyToTheGroupThatDropsIt() throws Exception {
    t.upstream("q0", 0).mode(Mode.HANG);
    t.upstream("q1", 0).mode(Mode.HANG);
    start();
    try (TestClient client = new TestClient(address)) {
      client.send(ServicesTest.issue("first", "key-1", "h"));
      TestNode.until(() -> seen("first").size() == 1);
      kill();
    }
    String where = seen("first").get(0);
    t.upstreams.values().forEach(u -> u.mode(Mode.SERVE));
    start();
    for (int i = 0; i < 6; i++) {
      try (TestClient client = new TestClient(address)) {
        // Other session keys, so that the ring alone would spread them over both.
        int status = client
            .call(ServicesTest.issue("again-" + i, "key-1", "h")
                .replace("Key: k\r", "Key: s" + i + "\r"))
            .status();
        assertTrue(status == 200 || status == 502, "status " + status);
        assertTrue(
            seen("again-" + i).stream().allMatch(where::equals),
            seen("again-" + i) + " and not " + where);
      }
    }
    Story first = history().stories().stream()
        .filter(s -> s.first().id().equals("first"))
        .findFirst()
        .get();
    assertEquals(Story.Verdict.MAY_HAVE_RUN, first.verdict(history().gapOf(first)));
    assertEquals(
        List.of(where),
        first.attempts().stream().map(a -> a.intent().upstream()).toList());
    // Its window of 5 s is over: nobody drops it any more, so it is failed and not sent.
    TestNode.until(() -> System.currentTimeMillis() - first.first().wallMillis() > 5_100);
    try (TestClient client = new TestClient(address)) {
      assertEquals(502, client.call(ServicesTest.issue("late", "key-1", "h")).status());
      assertTrue(seen("late").isEmpty());
      assertEquals(200, client.call(ServicesTest.issue("other", "key-2", "h")).status());
    }
  }

  /** Killed between the intent and the send: the connection was not up yet, so nothing left, and nobody can prove it. */
  @Test
  void killBeforeTheSendIsToldAsMayHaveRun() throws Exception {
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
          // The backlog is full: the next connect stays open.
        }
      }
      start(t.list("q0", "q1")
          .replaceAll("127\\.0\\.0\\.1:\\d+", "127.0.0.1:" + full.getLocalPort()));
      try (TestClient client = new TestClient(address)) {
        client.send(ServicesTest.issue("held", "key-1", "h"));
        TestNode.until(() -> {
          try {
            return !history().stories().isEmpty();
          } catch (Exception e) {
            throw new AssertionError(e);
          }
        });
        kill();
      }
      Story story = history().stories().get(0);
      assertEquals(Story.Verdict.MAY_HAVE_RUN, story.verdict(history().gapOf(story)));
      assertTrue(story.attempts().stream().noneMatch(Story.Attempt::written));
      for (java.net.Socket filler : fillers) {
        filler.close();
      }
    }
  }

  /** The second of two processes on one folder does not start; once the first was killed, the lock is gone with it. */
  @Test
  void folderIsHeldByOneProcessAndItsLockDiesWithIt() throws Exception {
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

  private List<String> seen(String id) {
    return t.upstreams.entrySet().stream()
        .filter(u -> u.getValue().seen().stream().map(Seen::id).anyMatch(id::equals))
        .map(Map.Entry::getKey)
        .toList();
  }
}
