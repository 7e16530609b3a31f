package pumicekeel.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.InputStream;
import java.io.PrintStream;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Output and exit statuses of the fleet commands. */
class FleetCommandsTest {

  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final ByteArrayOutputStream err = new ByteArrayOutputStream();

  @TempDir
  private Path folder;

  private int run(String... args) throws Exception {
    out.reset();
    err.reset();
    return Main.run(
        args, InputStream.nullInputStream(), new PrintStream(out), new PrintStream(err));
  }

  @Test
  void membershipSimulationRunsSeedsAndMeasuresDetection() throws Exception {
    assertEquals(0, run("sim", "fleet", "--seed", "7", "--runs", "5"));
    assertTrue(
        out.toString().contains("5 runs from seed 7: every view was the truth"), out.toString());
    assertEquals(0, run("sim", "fleet", "--detect", "--size", "5"));
    assertTrue(out.toString().matches("(?s)members .*\n +5 .*"), out.toString());
    assertEquals(2, run("sim", "fleet", "--size", "2"));
    assertEquals(2, run("sim"));
  }

  @Test
  void invalidFleetOptionsAreReported() throws Exception {
    String config = "deploy/rehearsal.json";
    assertEquals(
        2, run("fleet", "--instances", "0", "--run-dir", folder.toString(), "--config", config));
    assertEquals(
        2, run("fleet", "--instances", "2", "--run-dir", folder.toString(), "--config", "none"));
    assertTrue(
        err.toString().startsWith("--config: expected a file that can be read, got none"),
        err.toString());
    assertEquals(
        2,
        run(
            "fleet",
            "--instances",
            "2",
            "--run-dir",
            folder.toString(),
            "--config",
            config,
            "--listen",
            "x"));
    assertEquals(
        2,
        run(
            "fleet",
            "--instances",
            "2",
            "--run-dir",
            folder.toString(),
            "--config",
            config,
            "--operator",
            folder.resolve("none").toString()));
    assertTrue(
        err.toString().contains("none:1: file: expected a file, found none"), err.toString());
    assertEquals(1, run("fleet", "status", "--run-dir", folder.toString()));
    assertTrue(err.toString().contains("no daemon answers"), err.toString());
    assertEquals(2, run("fleet", "restart", "--run-dir", folder.toString()));
    assertTrue(err.toString().contains("expected --rolling"), err.toString());
    assertEquals(2, run("fleet", "status"));
    assertEquals(2, run("rig", "fleet", "--instances", "1"));
  }

  /** A small fleet of real processes; the rig itself checks the results. */
  @Test
  void rigOfThreeInstancesPassesARollingRestart() throws Exception {
    assertEquals(
        0,
        run("rig", "fleet", "--instances", "3", "--seconds", "10", "--per-second", "150"),
        () -> out.toString() + err);
    assertTrue(out.toString().contains("rolling restart done"), out.toString());
  }
}
