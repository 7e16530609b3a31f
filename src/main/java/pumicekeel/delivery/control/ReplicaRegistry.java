package pumicekeel.delivery.control;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.TreeMap;
import pumicekeel.delivery.ReplicaReport;

/** Last report of each subscriber. Bounded: the least recent reports are evicted. */
final class ReplicaRegistry {

  /** Far above the size of any known fleet. */
  static final int MAX_REPLICAS = 4_000;

  /** A report and when it was received, in nanoseconds of the machine's clock. */
  record ReceivedReport(ReplicaReport report, long at) {}

  private final Map<String, ReceivedReport> replicas = new LinkedHashMap<>();

  /** Records a report; a caller without a name is not a replica. */
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

  /** Returns all reports, ordered by name. */
  Collection<ReceivedReport> all() {
    return new TreeMap<>(replicas).values();
  }
}
