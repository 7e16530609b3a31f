package pumicekeel.rig.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Assumptions;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class ChildProcessTest {

  private static final List<String> FLAGS = List.of("-XX:+UseSerialGC", "-Xmx128m");

  @TempDir
  Path folder;

  @Test
  void exitStatusAndOutputAreAvailableAfterTheExit() throws Exception {
    try (ChildProcess child = ChildProcess.start(
        FLAGS, Map.of(), List.of("check", folder.resolve("none").toString()))) {
      Deadline.after(1, TimeUnit.MINUTES)
          .await("check has exited", () -> !child.isRunning() && !child.lines().isEmpty());
      assertEquals(2, child.status());
      assertTrue(child.lines().get(0).contains("none"), child.lines()::toString);
    }
  }

  @Test
  void killedRunLeavesNoProcessBehind() throws Exception {
    Assumptions.assumeTrue(Files.isExecutable(Path.of("/usr/bin/setpriv")));
    Deadline deadline = Deadline.after(2, TimeUnit.MINUTES);
    List<String> run = List.of(
        "rig",
        "scale",
        "--scenario",
        "serve-by-services",
        "--sizes",
        "2",
        "--rounds",
        "100",
        "--result",
        folder.resolve("result.jsonl").toString());
    try (ChildProcess child = ChildProcess.start(FLAGS, Map.of(), run)) {
      deadline.await(
          "a balancer runs",
          () -> !child.isRunning()
              || child.descendants().stream()
                  .anyMatch(p -> p.info().commandLine().orElse("").contains("--operator")));
      assertTrue(child.isRunning(), child.lines()::toString);
      List<ProcessHandle> balancers = child.descendants();
      child.close();
      deadline.await(
          "every balancer has exited", () -> balancers.stream().noneMatch(ProcessHandle::isAlive));
    }
  }
}
