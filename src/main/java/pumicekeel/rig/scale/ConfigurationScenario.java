package pumicekeel.rig.scale;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import pumicekeel.config.OperatorConfiguration;
import pumicekeel.config.OperatorReader;
import pumicekeel.rig.scale.ConfigurationGenerator.Size;
import pumicekeel.route.RouteTable;

/** Measures the cost of a reload: reads and validates an operator file and builds its route table, in this process. */
final class ConfigurationScenario implements Scenario {

  /** Upper estimate: the syntax tree of the file, and its text as characters. */
  private static final long BYTES_PER_ENTRY = 20_000;

  private static final long BASE_BYTES = 64L << 20;
  private static final long DESCRIPTORS = 200;
  private static final int WARM_UP_READS = 20;
  private static final int WARM_UP_PERCENT = 5;

  private static final String SMALL_FILE =
      new ConfigurationGenerator(ConfigurationSizes.of(Axis.SERVICES, 1), 1).text();

  private final Axis axis;

  ConfigurationScenario(Axis axis) {
    this.axis = axis;
  }

  @Override
  public String name() {
    return "configuration-by-" + axis.key();
  }

  @Override
  public Role role() {
    return Role.CONTROL_SIDE;
  }

  @Override
  public Axis axis() {
    return axis;
  }

  @Override
  public long estimatedBytes(int size) {
    Size counts = ConfigurationSizes.of(axis, size);
    return BASE_BYTES
        + BYTES_PER_ENTRY
            * (counts.pools() + counts.routes() + counts.tenants() + counts.upstreams());
  }

  @Override
  public long estimatedDescriptors(int size) {
    return DESCRIPTORS;
  }

  @Override
  public void warmUp(long seed, Deadline deadline) throws RefusedException {
    String text = new ConfigurationGenerator(
            ConfigurationSizes.of(Axis.PERCENT, WARM_UP_PERCENT), seed)
        .text();
    for (int i = 0; i < WARM_UP_READS; i++) {
      read(text);
    }
    for (int i = 0; i < WARM_UP_READS; i++) {
      read(SMALL_FILE);
    }
  }

  @Override
  public Map<String, Double> measure(int size, long seed, Deadline deadline)
      throws RefusedException {
    Map<String, Double> figures = new TreeMap<>();
    List<Object> state = new ArrayList<>();
    measureLoad(
        new ConfigurationGenerator(ConfigurationSizes.of(axis, size), seed).text(), state, figures);
    figures.put("state-bytes", stateBytes(state));
    return figures;
  }

  /** Loads a file and adds what is retained to {@code state}, the only reference to it: a local variable would prevent its collection. */
  private static void measureLoad(String text, List<Object> state, Map<String, Double> figures)
      throws RefusedException {
    figures.put("file-bytes", (double) text.length());
    long allocatedBefore = ProcessMeter.allocatedBytes();
    long processorBefore = ProcessMeter.processorNanos();
    long startedAt = System.nanoTime();
    OperatorConfiguration operator = read(text);
    figures.put("read-ms", (System.nanoTime() - startedAt) / 1e6);
    startedAt = System.nanoTime();
    RouteTable table = new RouteTable(operator.routes());
    int covered = table.covered().size();
    figures.put("table-ms", (System.nanoTime() - startedAt) / 1e6);
    figures.put("processor-ms", (ProcessMeter.processorNanos() - processorBefore) / 1e6);
    figures.put("allocated-bytes", (double) (ProcessMeter.allocatedBytes() - allocatedBefore));
    if (covered > 0) {
      throw new IllegalStateException("a generated route is covered by an earlier one");
    }
    state.add(operator);
    state.add(table);
  }

  /** Returns the heap size with the state minus that without it; what earlier measurements left on the heap is in both and cancels out. */
  private static double stateBytes(List<Object> state) throws RefusedException {
    // Replaces what the reader retains of the last file, which is not part of the state.
    read(SMALL_FILE);
    long heapWithState = ProcessMeter.heapAfterCollection();
    state.clear();
    return heapWithState - ProcessMeter.heapAfterCollection();
  }

  private static OperatorConfiguration read(String text) throws RefusedException {
    OperatorReader.Result result = OperatorReader.read(text);
    if (!result.faults().isEmpty()) {
      List<?> faults = result.faults();
      throw new RefusedException(faults.get(0) + ", total number of faults: " + faults.size());
    }
    return result.operator();
  }
}
