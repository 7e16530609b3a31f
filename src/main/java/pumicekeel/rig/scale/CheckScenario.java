package pumicekeel.rig.scale;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeoutException;

/** Measures the command {@code check FILE} as an operator runs it: a process that reads and validates a whole configuration. */
final class CheckScenario implements Scenario {

  private static final long HEAP_BYTES = 512L << 20;
  private static final List<String> JVM_FLAGS =
      List.of("-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xmx" + HEAP_BYTES);
  /** A few copies of the file's text in this process. */
  private static final long FILE_TEXT_BYTES = 32L << 20;

  private static final long DESCRIPTORS = 200;

  @Override
  public String name() {
    return "check-command";
  }

  @Override
  public Role role() {
    return Role.OPERATOR_COMMAND;
  }

  @Override
  public Axis axis() {
    return Axis.PERCENT;
  }

  @Override
  public long estimatedBytes(int size) {
    return HEAP_BYTES;
  }

  @Override
  public long estimatedHeapBytes(int size) {
    return FILE_TEXT_BYTES;
  }

  @Override
  public long estimatedDescriptors(int size) {
    return DESCRIPTORS;
  }

  @Override
  public Map<String, Double> measure(int size, long seed, Deadline deadline)
      throws RefusedException, TimeoutException, InterruptedException, IOException {
    Path directory = Files.createTempDirectory("scale");
    Path file = directory.resolve("operator.toml");
    try {
      Files.writeString(
          file, new ConfigurationGenerator(ConfigurationSizes.of(Axis.PERCENT, size), seed).text());
      return measure(file, deadline);
    } finally {
      Files.deleteIfExists(file);
      Files.delete(directory);
    }
  }

  private static Map<String, Double> measure(Path file, Deadline deadline)
      throws RefusedException, TimeoutException, InterruptedException, IOException {
    Map<String, Double> figures = new TreeMap<>();
    long startedAt = System.nanoTime();
    try (ChildProcess check =
        ChildProcess.start(JVM_FLAGS, Map.of(), List.of("check", file.toString()))) {
      double processorMillis = 0;
      while (check.isRunning() && !deadline.hasExpired()) {
        check.peakBytes();
        processorMillis = Math.max(processorMillis, check.processorTime().toMillis());
        Thread.sleep(5);
      }
      if (check.isRunning()) {
        throw new TimeoutException("check did not end within the time limit");
      }
      if (check.status() != 0) {
        throw new RefusedException("check exited with status " + check.status() + ": "
            + check.lines().stream().findFirst().orElse("no output"));
      }
      figures.put("wall-ms", (System.nanoTime() - startedAt) / 1e6);
      figures.put("processor-ms", processorMillis);
      figures.put("resident-peak-bytes", (double) check.peakBytes());
    }
    return figures;
  }
}
