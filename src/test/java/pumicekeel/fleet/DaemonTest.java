package pumicekeel.fleet;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Tests of a daemon with real instances: starts, adoption of running instances, and what remains after it is killed. */
class DaemonTest {

  private static final long TIMEOUT_NANOS = 60_000_000_000L;
  private static final Pattern PID = Pattern.compile("\"pid\":(\\d+)");

  @TempDir
  private Path folder;

  private Path run;
  private Path config;
  private Path operator;
  private int port;
  private final List<Daemon> daemons = new ArrayList<>();
  private final List<String> log = java.util.Collections.synchronizedList(new ArrayList<>());
  private Process other;

  @BeforeEach
  void prepare() throws Exception {
    // Short: a socket's path has to fit 107 bytes.
    run = Files.createTempDirectory("hv");
    config = Files.copy(Path.of("deploy/rehearsal.json"), folder.resolve("config.json"));
    port = freePorts(3);
  }

  /** Returns the first of {@code count} consecutive free ports; if another program takes one meanwhile, the test fails. */
  private static int freePorts(int count) throws IOException {
    for (int tries = 0; tries < 100; tries++) {
      try (ServerSocket first = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
        int port = first.getLocalPort();
        boolean free = port + count < 65_536;
        for (int i = 1; i < count && free; i++) {
          try (ServerSocket next =
              new ServerSocket(port + i, 1, InetAddress.getLoopbackAddress())) {
            free = next.isBound();
          } catch (IOException e) {
            free = false;
          }
        }
        if (free) {
          return port;
        }
      }
    }
    throw new IOException("no free ports");
  }

  @AfterEach
  void stop() throws Exception {
    if (other != null) {
      other.destroyForcibly().waitFor();
    }
    try {
      for (Daemon d : daemons) {
        d.close();
      }
    } finally {
      // Instances outlive their daemon, so whatever failed they are ended here.
      processes().forEach(ProcessHandle::destroyForcibly);
      until(() -> processes().isEmpty());
    }
  }

  private Settings settings(int instances, List<String> more) {
    List<String> command = new ArrayList<>(List.of(
        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
        "-XX:+UseSerialGC",
        "-XX:TieredStopAtLevel=1"));
    command.addAll(more);
    command.addAll(List.of("-cp", System.getProperty("java.class.path"), "pumicekeel.cli.Main"));
    return new Settings(
        instances,
        run,
        new InetSocketAddress(InetAddress.getLoopbackAddress(), port),
        operator,
        config,
        "t",
        command,
        new Limits(
            1,
            60_000_000_000L,
            20_000_000_000L,
            300_000_000L,
            100_000_000L,
            1_000_000_000L,
            2_000_000_000L,
            5,
            60_000_000_000L));
  }

  private Daemon daemon(int instances, String... more) throws Exception {
    Daemon daemon = new Daemon(settings(instances, List.of(more)), log::add);
    daemons.add(daemon);
    daemon.start();
    return daemon;
  }

  private String status() {
    try {
      return Control.call(run, "status");
    } catch (IOException e) {
      return "";
    }
  }

  private boolean allReady(int count) {
    return allReady(status(), count);
  }

  private static boolean allReady(String status, int count) {
    return status.split("\"state\":\"ready\"", -1).length - 1 == count
        && pids(status).size() == count;
  }

  /** Returns whether both are ready and instance {@code changed} is another process, from one response: the next one may differ. */
  private boolean bothReadyAndAnother(int changed, List<Long> before) {
    String now = status();
    return allReady(now, 2) && !pids(now).get(changed).equals(before.get(changed));
  }

  private List<Long> pids() {
    return pids(status());
  }

  private static List<Long> pids(String status) {
    List<Long> out = new ArrayList<>();
    for (Matcher m = PID.matcher(status); m.find(); ) {
      out.add(Long.parseLong(m.group(1)));
    }
    return out;
  }

  /** Returns the live processes of this run directory, found without the daemon. */
  private List<ProcessHandle> processes() {
    String marker = java.util
        .UUID
        .nameUUIDFromBytes(realRunPath().getBytes(java.nio.charset.StandardCharsets.UTF_8))
        .toString();
    return ProcessHandle.allProcesses()
        .filter(p -> p.isAlive() && p.info().commandLine().orElse("").contains(marker))
        .toList();
  }

  private String realRunPath() {
    try {
      return run.toRealPath().toString();
    } catch (IOException e) {
      return run.toString();
    }
  }

  private static void until(BooleanSupplier condition) throws InterruptedException {
    long end = System.nanoTime() + TIMEOUT_NANOS;
    boolean holds = condition.getAsBoolean();
    while (!holds && System.nanoTime() < end) {
      TimeUnit.MILLISECONDS.sleep(20);
      holds = condition.getAsBoolean();
    }
    assertTrue(holds, "condition not met in time");
  }

  // Tests

  @Test
  void instancesComeUpCrashesAreMendedARollingRestartChangesEachAndAStopLeavesNothing()
      throws Exception {
    Daemon daemon = daemon(2);
    until(() -> allReady(2));
    List<Long> first = pids();
    assertTrue(ProcessHandle.of(first.get(0)).orElseThrow().destroyForcibly());
    until(() -> bothReadyAndAnother(0, first));
    assertEquals(first.get(1), pids().get(1));
    assertTrue(status().contains("\"crashes\":1"), status());
    List<Long> second = pids();
    assertEquals("{\"ok\":true}", Control.call(run, "restart"));
    assertTrue(Control.call(run, "restart").contains("under way"));
    until(() -> allReady(2) && status().contains("\"work\":\"none\""));
    assertTrue(status().contains("\"halted\":null"), status());
    assertTrue(pids().stream().noneMatch(second::contains), "each is another process");
    assertEquals("{\"ok\":true}", Control.call(run, "reload"));
    until(() -> status().contains("\"work\":\"none\""));
    assertTrue(allReady(2));
    assertEquals("{\"ok\":true}", Control.call(run, "stop"));
    daemon.awaitStopped();
    assertEquals(List.of(), processes());
  }

  @Test
  void daemonAdoptsTheInstancesOfAnEarlierOne() throws Exception {
    Daemon first = daemon(2);
    until(() -> allReady(2));
    List<Long> pids = pids();
    assertTrue(assertThrows(IOException.class, () -> new Daemon(settings(2, List.of()), log::add))
        .getMessage()
        .contains("another daemon holds it"));
    first.close();
    assertEquals(2, processes().size(), "instances keep running");
    daemon(2);
    until(() -> allReady(2));
    assertEquals(pids, pids());
    // An adopted instance is monitored like any other.
    ProcessHandle.of(pids.get(1)).orElseThrow().destroyForcibly();
    until(() -> bothReadyAndAnother(1, pids));
    assertEquals(2, processes().size());
  }

  /** A daemon killed at any moment of a rolling restart leaves no orphaned and no duplicate instance. */
  @Test
  void daemonKilledDuringARestartLeavesNeitherOrphanNorDuplicate() throws Exception {
    for (int round = 0; round < 2; round++) {
      ProcessBuilder builder = new ProcessBuilder(
          Path.of(System.getProperty("java.home"), "bin", "java").toString(),
          "-cp",
          System.getProperty("java.class.path"),
          "pumicekeel.cli.Main",
          "fleet",
          "--instances",
          "2",
          "--run-dir",
          run.toString(),
          "--config",
          config.toString(),
          "--listen",
          "127.0.0.1:" + port,
          "--watch-ms",
          "100",
          "--flag",
          "-XX:+UseSerialGC");
      other = builder
          .redirectErrorStream(true)
          .redirectOutput(folder.resolve("daemon.log").toFile())
          .start();
      until(() -> allReady(2));
      Control.call(run, "restart");
      until(() -> status().contains(stateEntry(0, "stopping"))
          || status().contains(stateEntry(0, "starting")));
      // Round 0 kills it during the stop of the first instance, round 1 about during its start.
      TimeUnit.MILLISECONDS.sleep(round * 700L);
      other.destroyForcibly().waitFor();
    }
    daemon(2);
    until(() -> allReady(2));
    assertEquals(2, processes().size());
    assertEquals(
        pids().stream().sorted().toList(),
        processes().stream().map(ProcessHandle::pid).sorted().toList());
  }

  private static String stateEntry(int instance, String state) {
    return "\"instance\":" + instance + ",\"state\":\"" + state + "\"";
  }

  @Test
  void buildThatDoesNotStartHaltsTheRollingRestartAndOtherInstancesServe() throws Exception {
    daemon(2);
    until(() -> allReady(2));
    List<Long> before = pids();
    // The next process is started with an invalid configuration.
    Files.writeString(config, "{");
    Control.call(run, "restart");
    until(() -> !status().contains("\"halted\":null"));
    assertTrue(status().contains("instance 0 ended with 2 after it was restarted"), status());
    assertTrue(status().contains("\"instance\":1,\"state\":\"ready\""), status());
    assertEquals(before.get(1), pids().get(pids().size() - 1));
    Files.copy(
        Path.of("deploy/rehearsal.json"),
        config,
        java.nio.file.StandardCopyOption.REPLACE_EXISTING);
    until(() -> allReady(2));
    assertNotEquals(before.get(0), pids().get(0));
  }

  @Test
  void invalidOperatorFileIsNotReloadedByAnyInstance() throws Exception {
    String good =
        "[sources.s]\nstatic = [{ name = \"u\", address = \"127.0.0.1:1\" }]\n[pools.p]\nsource = \"s\"\n[[routes]]\n"
            + "pool = \"p\"\n";
    operator = Files.writeString(folder.resolve("operator.toml"), good);
    daemon(2);
    until(() -> allReady(2));
    List<Long> before = pids();
    Files.writeString(operator, good.replace("source = ", "sorce = "));
    String answer = Control.call(run, "reload");
    assertTrue(answer.contains("operator.toml:") && answer.contains("unknown key"), answer);
    assertTrue(
        status().contains("\"work\":\"none\"") && status().contains("\"halted\":null"), status());
    Files.writeString(operator, good.replace("\"p\"\n", "\"p\" # again\n"));
    assertEquals("{\"ok\":true}", Control.call(run, "reload"));
    until(() -> status().contains("\"work\":\"none\""));
    assertTrue(allReady(2));
    assertEquals(before, pids());
  }

  @Test
  void unusableRunDirectoryIsReportedInOneLine() throws Exception {
    Path open = Files.createDirectory(
        folder.resolve("open"),
        PosixFilePermissions.asFileAttribute(PosixFilePermissions.fromString("rwxr-xr-x")));
    assertTrue(
        message(open).contains("expected it to be its owner's alone (mode 0700), got rwxr-xr-x"),
        message(open));
    Path file = Files.createFile(folder.resolve("file"));
    assertTrue(message(file).contains("cannot be made or entered"), message(file));
    Path full = Path.of("/dev/full/x");
    assertTrue(message(full).contains("cannot be made or entered"), message(full));
    Path deep = folder.resolve("x".repeat(120));
    assertTrue(message(deep).contains("expected a path of at most"), message(deep));
    Path lockIsADirectory = Files.createDirectory(
        folder.resolve("l"),
        PosixFilePermissions.asFileAttribute(PosixFilePermissions.fromString("rwx------")));
    Files.createDirectory(lockIsADirectory.resolve("lock"));
    assertTrue(
        message(lockIsADirectory).contains("cannot be written to"), message(lockIsADirectory));
    assertTrue(assertThrows(IOException.class, () -> Control.call(folder, "status"))
        .getMessage()
        .contains("no daemon answers"));
  }

  private String message(Path directory) {
    String text =
        assertThrows(IOException.class, () -> RunDirectory.take(directory)).getMessage();
    assertFalse(text.contains("\n"));
    return text;
  }

  @Test
  void unknownCommandsAreReported() throws Exception {
    daemon(1);
    assertTrue(Control.call(run, "dance").contains("expected status, restart, reload or stop"));
    assertTrue(Control.call(run, "x".repeat(300)).contains("expected a line"));
    assertTrue(Control.call(run, "reload").contains("is not ready") || allReady(1));
  }

  /** The kernel still accepts connections for a stopped process, so only a response proves that it runs. */
  @Test
  void stoppedInstanceIsReplacedAndTheOtherIsNot() throws Exception {
    daemon(2);
    until(() -> allReady(2));
    List<Long> before = pids();
    Process stop = new ProcessBuilder("kill", "-STOP", Long.toString(before.get(1))).start();
    assertEquals(0, stop.waitFor());
    until(() -> bothReadyAndAnother(1, before));
    assertEquals(before.get(0), pids().get(0));
    assertTrue(
        log.stream().anyMatch(l -> l.startsWith("instance 1 has not responded for ")),
        log.toString());
  }

  @Test
  void instanceStartsWithoutALogThatCannotBeWritten() throws Exception {
    assertTrue(run.toFile().setExecutable(true));
    Files.createSymbolicLink(run.resolve("instance-0.log"), Path.of("/dev/full"));
    Files.createDirectory(run.resolve("instance-1.log"));
    daemon(2);
    until(() -> allReady(2));
    assertTrue(
        log.stream().anyMatch(l -> l.startsWith("instance 1 runs without a log: ")),
        log.toString());
    assertTrue(status().contains("\"peers\":null"), status());
  }
}
