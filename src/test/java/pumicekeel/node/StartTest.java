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
 * Nine in ten restarted processes are ready within 10 s, even if many start at once. The test limits the processor time of a start rather
 * than its duration, because that gives the same result on a busy machine.
 */
class StartTest {

  private static final int PROCESSES = 10;
  /** The processor time of 10 s on half a core, the minimum for a process. */
  private static final Duration MAX_CPU_TIME = Duration.ofSeconds(5);

  /** The warm-up's own limit plus the duration of one request in flight at its end. */
  private static final long MAX_WARM_UP_MILLIS = 2_500;

  /** Delay of each answer: all requests of the warm-up, eight at a time, would take several times its limit. */
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

  /** Returns the processor time of a process until it reports that it serves. */
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

  /** Discovery is silent: a start does not wait for it. */
  @Test
  void nineInTenAreReadyInTimeWhenAllStartAtOnce() throws Exception {
    List<Process> processes = new ArrayList<>();
    try (FakeServer silent = new FakeServer((request, connection, out) -> {})) {
      for (int i = 0; i < PROCESSES; i++) {
        processes.add(start(i, silent));
      }
      List<Duration> cpuTimes = new ArrayList<>();
      for (Process process : processes) {
        cpuTimes.add(untilReady(process));
      }
      Collections.sort(cpuTimes);
      assertTrue(
          cpuTimes.get(PROCESSES * 9 / 10 - 1).compareTo(MAX_CPU_TIME) < 0,
          "processor time until ready: " + cpuTimes);
    } finally {
      processes.forEach(Process::destroyForcibly);
    }
  }

  /** A warm-up with slow answers, as on a busy machine, ends by its time limit; the test's limit is a timer of the same loop. */
  @Test
  void warmUpOnASlowMachineEndsWithinItsLimit() throws Exception {
    Reactor reactor = Reactor.start();
    CountDownLatch done = new CountDownLatch(1);
    AtomicBoolean late = new AtomicBoolean();
    try (FakeServer slow = new FakeServer((request, connection, out) -> {
      Thread.sleep(SLOW_MILLIS);
      FakeServer.write(out, FakeServer.ok(""));
    })) {
      InetSocketAddress self = slow.address();
      reactor.loop().execute(() -> {
        reactor
            .loop()
            .schedule(
                () -> late.set(done.getCount() > 0), MAX_WARM_UP_MILLIS, TimeUnit.MILLISECONDS);
        try {
          WarmUp.run(
              reactor,
              new LoopLag(reactor),
              self,
              WarmUp.newPath(),
              TestNode.read(TestNode.json(self, 3), 1).settings(),
              done::countDown);
        } catch (IOException e) {
          throw new IllegalStateException(e);
        }
      });
      assertTrue(done.await(30, TimeUnit.SECONDS), "the warm-up ended");
      assertFalse(
          reactor.loop().submit(late::get).get(), "later than " + MAX_WARM_UP_MILLIS + " ms");
    } finally {
      reactor.loop().parent().shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }
  }
}
