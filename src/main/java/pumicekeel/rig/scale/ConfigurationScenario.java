package pumicekeel.rig.scale;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import pumicekeel.config.OperatorConfiguration;
import pumicekeel.config.OperatorReader;
import pumicekeel.rig.scale.ConfigurationGenerator.Size;
import pumicekeel.route.RouteTable;

/** An operator file that is read, checked and made into a table of routes, in this process: what a reload costs. */
final class ConfigurationScenario implements Scenario {

  /** On the high side: a tree of the file, and the text as characters. */
  private static final long BYTES_PER_ENTRY = 20_000;

  private static final long OTHER_BYTES = 64L << 20;
  private static final long DESCRIPTORS = 200;
  private static final int WARM_UPS = 20;
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
    Size of = ConfigurationSizes.of(axis, size);
    return OTHER_BYTES
        + BYTES_PER_ENTRY * (of.pools() + of.routes() + of.tenants() + of.upstreams());
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
    for (int i = 0; i < WARM_UPS; i++) {
      read(text);
    }
    for (int i = 0; i < WARM_UPS; i++) {
      read(SMALL_FILE);
    }
  }

  @Override
  public Map<String, Double> measure(int size, long seed, Deadline deadline)
      throws RefusedException {
    Map<String, Double> figures = new TreeMap<>();
    List<Object> state = new ArrayList<>();
    load(
        new ConfigurationGenerator(ConfigurationSizes.of(axis, size), seed).text(), state, figures);
    figures.put("state-bytes", stateBytes(state));
    return figures;
  }

  /** Reads a file and leaves what is kept of it in the list alone: a local variable would keep it from being collected. */
  private static void load(String text, List<Object> state, Map<String, Double> figures)
      throws RefusedException {
    figures.put("file-bytes", (double) text.length());
    long allocated = ProcessMeter.allocatedBytes();
    long processor = ProcessMeter.processorNanos();
    long from = System.nanoTime();
    OperatorConfiguration operator = read(text);
    figures.put("read-ms", (System.nanoTime() - from) / 1e6);
    from = System.nanoTime();
    RouteTable table = new RouteTable(operator.routes());
    int covered = table.covered().size();
    figures.put("table-ms", (System.nanoTime() - from) / 1e6);
    figures.put("processor-ms", (ProcessMeter.processorNanos() - processor) / 1e6);
    figures.put("allocated-bytes", (double) (ProcessMeter.allocatedBytes() - allocated));
    if (covered > 0) {
      throw new IllegalStateException("expected routes of which none covers another");
    }
    state.add(operator);
    state.add(table);
  }

  /** The heap with a state less the heap once it is dropped; what earlier points left behind is in neither. */
  private static double stateBytes(List<Object> state) throws RefusedException {
    // What the reader keeps of the file that it read last is not the state's.
    read(SMALL_FILE);
    long with = ProcessMeter.heapAfterCollection();
    state.clear();
    return with - ProcessMeter.heapAfterCollection();
  }

  private static OperatorConfiguration read(String text) throws RefusedException {
    OperatorReader.Result result = OperatorReader.read(text);
    if (!result.faults().isEmpty()) {
      List<?> faults = result.faults();
      throw new RefusedException(faults.get(0) + ", faults in all: " + faults.size());
    }
    return result.operator();
  }
}
