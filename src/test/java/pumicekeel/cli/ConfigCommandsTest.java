package pumicekeel.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import pumicekeel.adapter.Fields;
import pumicekeel.delivery.ConfigurationVersion;
import pumicekeel.delivery.client.ControlApi;
import pumicekeel.delivery.control.ControlServer;
import pumicekeel.runtime.Addresses;

/** The config commands of writers and operators against three control machines. */
class ConfigCommandsTest {

  private static final long TIMEOUT_SECONDS = 30;
  private static final String VALID_FILE = "default-pool = \"a\"\n[pools.a]\n";

  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final ByteArrayOutputStream err = new ByteArrayOutputStream();
  private final List<ControlServer> machines = new ArrayList<>();
  private String to;

  @TempDir
  private Path folder;

  @BeforeEach
  void startMachines() throws Exception {
    for (int i = 0; i < 3; i++) {
      machines.add(
          machine("c" + i, machines.stream().map(ControlServer::address).toList()));
    }
    to = addresses();
  }

  private String addresses() {
    return String.join(
        ",", machines.stream().map(m -> Addresses.text(m.address())).toList());
  }

  private ControlServer machine(String directory, List<InetSocketAddress> peers) throws Exception {
    return ControlServer.start(
        new ControlServer.Settings(
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
            folder.resolve(directory),
            peers),
        text -> List.of());
  }

  @AfterEach
  void stopMachines() throws IOException {
    for (ControlServer machine : machines) {
      machine.close();
    }
  }

  private int run(String... args) throws IOException {
    out.reset();
    err.reset();
    return Main.run(
        args, InputStream.nullInputStream(), new PrintStream(out), new PrintStream(err));
  }

  private String file(String text) throws IOException {
    return Files.writeString(folder.resolve("routes.toml"), text).toString();
  }

  private int publish(String text, int epoch, String... more) throws IOException {
    List<String> args = new ArrayList<>(
        List.of("config", "publish", file(text), "--to", to, "--epoch", Integer.toString(epoch)));
    args.addAll(List.of(more));
    return run(args.toArray(String[]::new));
  }

  private void close(int machine) throws IOException {
    machines.remove(machine).close();
  }

  @Test
  void majorityDecidesAndMissingMachinesAreReported() throws Exception {
    assertEquals(0, publish(VALID_FILE, 1), err.toString());
    close(2);
    assertEquals(0, publish(VALID_FILE + "# 2\n", 1), err.toString());
    assertTrue(out.toString().contains(": no answer: "), out.toString());
    assertTrue(out.toString().contains("version 1.2 "), out.toString());
    assertEquals(0, publish(VALID_FILE + "# 2\n", 1), "publishing the same file again succeeds");
    assertTrue(out.toString().contains("already kept"), out.toString());
    close(1);
    assertEquals(1, publish(VALID_FILE + "# 3\n", 1));
    assertTrue(err.toString().contains("only 1 of 3"), err.toString());
    ConfigurationVersion two = ConfigurationVersion.of(1, 2, VALID_FILE + "# 2\n");
    assertEquals(two, new ControlApi(machines.get(0).address()).status().current());
  }

  /** A machine that accepts connections but does not answer, like a stopped process, is skipped within seconds. */
  @Test
  void unresponsiveMachineDoesNotDelayPublishing() throws Exception {
    close(2);
    try (ServerSocket silent = new ServerSocket(0, 10, InetAddress.getLoopbackAddress())) {
      to = addresses() + ",127.0.0.1:" + silent.getLocalPort();
      long start = System.nanoTime();
      assertEquals(0, publish(VALID_FILE, 1), err.toString());
      assertTrue(System.nanoTime() - start < TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS));
      assertTrue(out.toString().contains("no answer: request timed out"), out.toString());
    }
  }

  @Test
  void writerOfAnOlderEpochIsRejectedAndADryRunChangesNothing() throws Exception {
    assertEquals(0, publish(VALID_FILE, 2));
    assertEquals(1, publish(VALID_FILE + "# old\n", 1));
    assertTrue(err.toString().contains("older"), err.toString());
    assertEquals(0, publish(VALID_FILE + "# 2\n", 3, "--dry-run", "--json"), err.toString());
    Fields json = Fields.parse("json", out.toString());
    assertTrue(json.bool("acknowledged", false));
    assertEquals("would_be_kept", json.objects("machines").get(2).text("result"));
    assertEquals(
        ConfigurationVersion.of(2, 1, VALID_FILE),
        new ControlApi(machines.get(0).address()).status().current());
  }

  @Test
  void diffListsEntriesAndInvalidFilesAreNotPublished() throws Exception {
    String one = Addresses.text(machines.get(0).address());
    assertEquals(0, publish(VALID_FILE, 1));
    assertEquals(0, run("config", "diff", file(VALID_FILE), "--to", one), out.toString());
    assertEquals(1, run("config", "diff", file(VALID_FILE + "[pools.b]\n"), "--to", one));
    assertTrue(out.toString().contains("+ [pools.b]"), out.toString());
    assertEquals(
        2, publish(VALID_FILE + "[peers]\naddresses = [\"127.0.0.1:1\", \"127.0.0.1:2\"]\n", 1));
    assertTrue(err.toString().contains("peers: expected only in"), err.toString());
    assertEquals(2, publish("nonsense\n", 1));
    assertEquals(2, publish(VALID_FILE, 0));
    assertEquals(2, run("config", "status", "--to", "host:1"));
    assertEquals(2, run("config"));
    assertEquals(2, run("control"));
  }

  @Test
  void statusReportsMachinesUntilTheyHaveCaughtUp() throws Exception {
    assertEquals(0, publish(VALID_FILE, 1));
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
    while (run("config", "status", "--to", to) != 0 && System.nanoTime() < end) {
      Thread.sleep(50);
    }
    assertEquals(0, run("config", "status", "--to", to, "--json"), out.toString());
    Fields json = Fields.parse("json", out.toString());
    assertEquals(ConfigurationVersion.of(1, 1, VALID_FILE).text(), json.text("newest"));
    assertEquals(2, json.objects("subscribers").size(), "two machines that follow their peers");
    close(0);
    assertEquals(1, run("config", "status", "--to", to));
    assertTrue(out.toString().contains("no answer"), out.toString());
  }

  /** A machine returns with an old state: the writer waits until it has caught up, and all three keep the next version. */
  @Test
  void returningMachineKeepsTheNextVersionOnceItHasCaughtUp() throws Exception {
    assertEquals(0, publish(VALID_FILE, 1));
    List<InetSocketAddress> peers =
        machines.subList(0, 2).stream().map(ControlServer::address).toList();
    close(2);
    assertEquals(0, publish(VALID_FILE + "# 2\n", 1));
    machines.add(machine("c2", peers));
    to = addresses();
    assertEquals(0, publish(VALID_FILE + "# 3\n", 1));
    assertTrue(!out.toString().contains("no answer"), out.toString());
    assertEquals(
        ConfigurationVersion.of(1, 3, VALID_FILE + "# 3\n"),
        new ControlApi(machines.get(2).address()).status().current(),
        out.toString());
  }
}
