package pumicekeel.node;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import pumicekeel.runtime.LoopLag;
import pumicekeel.runtime.Reactor;

/**
 * Nine in ten restarted processes are ready within 10 s, many starting at once. What a start costs is processor time, so that is what is
 * held to a bound: it says the same on a busy machine, where ten of them share what is left.
 */
class StartTest {

  private static final int PROCESSES = 10;
  /** What 10 s bring on half a core, the least that a process may have. */
  private static final Duration MOST = Duration.ofSeconds(5);

  /** The warm-up's own bound, and one of its requests that is on its way then. */
  private static final long LONGEST_MILLIS = 2_500;

  /** All requests of the warm-up, one after the other by eights, would take several times its bound. */
  private static final long SLOW_MILLIS = 200;

  @TempDir
  private Path folder;

  private Process start(int number, FakeServer discovery) throws IOException {
    Path file = folder.resolve("config" + number + ".json");
    Files.writeString(file, TestNode.json(discovery.address(), 3));
    ProcessBuilder builder = new ProcessBuilder(
        Path.of(System.getProperty("java.home"), "bin", "java").toString(),
        "-XX:+UseSerialGC",
        "-XX:TieredStopAtLevel=1",
        "-Xmx64m",
        "-cp",
        System.getProperty("java.class.path"),
        "pumicekeel.cli.Main",
        "serve");
    builder.environment().keySet().removeIf(name -> name.startsWith("PROXY_"));
    builder.environment().put("PROXY_CONFIG", file.toString());
    return builder.redirectErrorStream(true).start();
  }

  /** Processor time of a process until it says that it serves. */
  private static Duration untilReady(Process process) throws IOException {
    BufferedReader log =
        new BufferedReader(new InputStreamReader(process.getInputStream(), StandardCharsets.UTF_8));
    for (String line = log.readLine(); line != null; line = log.readLine()) {
      if (line.contains(" serves at /")) {
        return process.info().totalCpuDuration().orElseThrow();
      }
    }
    throw new AssertionError("a process did not start");
  }

  /** Discovery says nothing meanwhile: a start does not wait for it. */
  @Test
  void nineInTenAreReadyInTimeWhileAllStartAtOnce() throws Exception {
    List<Process> processes = new ArrayList<>();
    try (FakeServer silent = new FakeServer((request, connection, out) -> {})) {
      for (int i = 0; i < PROCESSES; i++) {
        processes.add(start(i, silent));
      }
      List<Duration> taken = new ArrayList<>();
      for (Process process : processes) {
        taken.add(untilReady(process));
      }
      Collections.sort(taken);
      assertTrue(
          taken.get(PROCESSES * 9 / 10 - 1).compareTo(MOST) < 0,
          "processor time until ready: " + taken);
    } finally {
      processes.forEach(Process::destroyForcibly);
    }
  }

  /** A warm-up whose answers come slowly, as on a busy machine, ends by its time alone; the limit is a timer of the same loop. */
  @Test
  void warmUpOnASlowMachineEndsInItsTime() throws Exception {
    Reactor on = Reactor.start();
    CountDownLatch done = new CountDownLatch(1);
    AtomicBoolean late = new AtomicBoolean();
    try (FakeServer slow = new FakeServer((request, connection, out) -> {
      Thread.sleep(SLOW_MILLIS);
      FakeServer.write(out, FakeServer.ok(""));
    })) {
      InetSocketAddress self = slow.address();
      on.loop().execute(() -> {
        on.loop()
            .schedule(() -> late.set(done.getCount() > 0), LONGEST_MILLIS, TimeUnit.MILLISECONDS);
        try {
          WarmUp.run(
              on,
              new LoopLag(on),
              self,
              WarmUp.newPath(),
              TestNode.read(TestNode.json(self, 3), 1).settings(),
              done::countDown);
        } catch (IOException e) {
          throw new IllegalStateException(e);
        }
      });
      assertTrue(done.await(30, TimeUnit.SECONDS), "an end");
      assertFalse(on.loop().submit(late::get).get(), "later than " + LONGEST_MILLIS + " ms");
    } finally {
      on.loop().parent().shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }
  }
}
