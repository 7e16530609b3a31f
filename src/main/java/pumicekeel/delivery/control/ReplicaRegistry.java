package pumicekeel.delivery.control;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;
import pumicekeel.delivery.ReplicaReport;

/** What the subscribers told of themselves when they last called. Bounded: those that were heard longest ago are forgotten. */
final class ReplicaRegistry {

  /** Far above any known fleet. */
  static final int MAX_REPLICAS = 4_000;

  /** A report and when it came, in nanoseconds of the machine's clock. */
  record ReceivedReport(ReplicaReport report, long at) {}

  private final Map<String, ReceivedReport> replicas = new LinkedHashMap<>();

  /** Notes a report; a caller without a name is no replica. */
  void record(ReplicaReport report, long now) {
    if (report.name().isEmpty()) {
      return;
    }
    replicas.remove(report.name());
    replicas.put(report.name(), new ReceivedReport(report, now));
    if (replicas.size() > MAX_REPLICAS) {
      replicas.remove(replicas.keySet().iterator().next());
    }
  }

  /** All, by name. */
  Collection<ReceivedReport> all() {
    return new TreeMap<>(replicas).values();
  }
}
