package pumicekeel.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import pumicekeel.delivery.ConfigurationVersion;
import pumicekeel.delivery.client.ControlApi;
import pumicekeel.runtime.Addresses;

/** A control machine and a balancer as processes, killed one after the other. */
class DeliveryProcessTest {

  private static final long TIMEOUT_SECONDS = 60;

  @TempDir
  private Path folder;

  private final List<Process> processes = new ArrayList<>();

  @AfterEach
  void stop() {
    processes.forEach(Process::destroyForcibly);
  }

  /** A process of the program and its log. */
  private final class Program {
    private final Process process;
    private final BufferedReader log;

    private Program(String... arguments) throws IOException {
      List<String> command = new ArrayList<>(List.of(
          Path.of(System.getProperty("java.home"), "bin", "java").toString(),
          "-XX:+UseSerialGC",
          "-Xlog:class+load:file=" + folder.resolve("classes.log"),
          "-cp",
          System.getProperty("java.class.path"),
          "pumicekeel.cli.Main"));
      command.addAll(List.of(arguments));
      ProcessBuilder builder = new ProcessBuilder(command).redirectErrorStream(true);
      builder.environment().keySet().removeIf(name -> name.startsWith("PROXY_"));
      builder.environment().put("PROXY_CONFIG", folder.resolve("config.json").toString());
      process = builder.start();
      processes.add(process);
      log = new BufferedReader(
          new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
    }

    private String await(String part) throws IOException {
      StringBuilder seen = new StringBuilder();
      for (String line = log.readLine(); line != null; line = log.readLine()) {
        seen.append(line).append('\n');
        if (line.contains(part)) {
          return line;
        }
      }
      throw new AssertionError("the process ended without \"" + part + "\": " + seen);
    }

    private void kill() throws InterruptedException {
      process.destroyForcibly();
      assertTrue(process.waitFor(TIMEOUT_SECONDS, TimeUnit.SECONDS));
    }
  }

  private Program control() throws IOException {
    return new Program(
        "control",
        "serve",
        "--listen",
        "127.0.0.1:0",
        "--directory",
        folder.resolve("control").toString());
  }

  private static InetSocketAddress addressOf(Program control) throws IOException {
    String line = control.await("control machine at ");
    return Addresses.parse("log", line.split(" ")[3].replace(",", ""));
  }

  private Program balancer(InetSocketAddress control) throws IOException {
    Path operator = folder.resolve("operator.toml");
    Files.writeString(
        operator,
        pool(1) + "[control]\naddresses = [\"" + Addresses.text(control) + "\"]\ndirectory = \""
            + folder.resolve("balancer") + "\"\n");
    return new Program("serve", "--operator", operator.toString());
  }

  private static String pool(int maxAttempts) {
    return "default-pool = \"a\"\n[pools.a]\nlimits = { max-attempts = " + maxAttempts + " }\n";
  }

  /** After SIGKILL of the control machine and of the balancer, each restarts with the version that it had before. */
  @Test
  void versionSurvivesTheKillOfBothProcesses() throws Exception {
    Files.writeString(folder.resolve("config.json"), TestNode.json(TestNode.unusedAddress(), 1));
    Program control = control();
    InetSocketAddress address = addressOf(control);
    Program balancer = balancer(address);
    balancer.await(" serves at ");
    ConfigurationVersion one = ConfigurationVersion.of(1, 1, pool(2));
    assertTrue(new ControlApi(address).publish(one, false, pool(2)).accepted());
    balancer.await("version " + one + " is in force");
    TestNode.until(() -> Files.exists(folder.resolve("balancer").resolve("1-1.configuration")));
    control.kill();
    balancer.kill();
    Program again = balancer(address);
    assertTrue(again.await("configuration: version").contains("version " + one + ", stored "));
    again.await(" serves at ");
    Program controlAgain = control();
    InetSocketAddress newAddress = addressOf(controlAgain);
    assertEquals(one, new ControlApi(newAddress).status().current());
    controlAgain.process.destroy();
    assertTrue(controlAgain.process.waitFor(TIMEOUT_SECONDS, TimeUnit.SECONDS));
    assertEquals(0, controlAgain.process.exitValue());
  }

  /** Without delivery none of its classes is loaded. */
  @Test
  void balancerWithoutDeliveryLoadsNoneOfItsClasses() throws Exception {
    Files.writeString(folder.resolve("config.json"), TestNode.json(TestNode.unusedAddress(), 1));
    Program balancer = new Program("serve");
    balancer.await(" serves at ");
    balancer.kill();
    String loaded = Files.readString(folder.resolve("classes.log"));
    assertTrue(loaded.contains("pumicekeel.node.Node "), "loaded classes are logged");
    assertFalse(loaded.contains("pumicekeel.delivery."));
    assertFalse(loaded.contains("pumicekeel.node.Delivered"));
  }
}
