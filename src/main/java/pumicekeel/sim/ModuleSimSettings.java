package pumicekeel.sim;

import java.util.List;
import pumicekeel.Balancer.Contract;
import pumicekeel.Balancer.DedupScope;
import pumicekeel.Balancer.Effect;
import pumicekeel.Balancer.Limits;
import pumicekeel.Balancer.Prices;
import pumicekeel.Balancer.RequestClass;
import pumicekeel.Balancer.Settings;
import pumicekeel.Balancer.WeightKind;

/** Settings of the modules of {@link ModuleSim} and parameters of their upstreams. Durations are in nanoseconds. */
final class ModuleSimSettings {

  static final long MS = 1_000_000L;
  static final long SECOND = 1_000 * MS;
  /** Time after the notification of a drain within which an instance may still send to the upstream. */
  static final long DRAIN_GRACE_NANOS = 2 * SECOND;
  /** Time in which a started upstream reaches its full capacity, rising linearly from {@link #COLD_FROM}. */
  static final long WARM_AFTER_NANOS = 8 * SECOND;

  static final double COLD_FROM = 0.3;
  /** Multiple of its capacity that a cold upstream may get in any {@link #COLD_WINDOW_NANOS}, from all instances together. */
  static final double COLD_BUDGET_MULTIPLE = 3;

  static final long COLD_WINDOW_NANOS = 3 * SECOND;
  /** Dedup window: the time in which a cell discards repeats of a keyed request. */
  static final long DEDUP_WINDOW_NANOS = 2 * SECOND;

  static final long DEADLINE_NANOS = 2 * SECOND;
  /** Time after the deadline within which an answer may still be given. */
  static final long ANSWER_SLACK_NANOS = 8 * MS;

  static final double ARRIVALS_PER_SECOND = 10;
  /** Capacity of an upstream in multiples of its usual load; the cold budget is computed from it. */
  static final double CAPACITY_MULTIPLE = 2;

  private ModuleSimSettings() {}

  /** Returns the settings of each module in a fleet of this size. */
  static Settings of(int size) {
    return new Settings(
        0,
        size,
        "a",
        List.of(
            requestClass("look", Effect.SAFE, DedupScope.ALL),
            requestClass("quote", Effect.KEYED, DedupScope.CELL),
            requestClass("order", Effect.UNSAFE, DedupScope.ALL)),
        List.of(),
        new Limits(true, false, false, true, true, SECOND, 4, 10_000, 1, 200 * MS, 5 * SECOND),
        new Contract(
            ANSWER_SLACK_NANOS,
            0,
            DRAIN_GRACE_NANOS,
            COLD_FROM,
            WARM_AFTER_NANOS,
            COLD_BUDGET_MULTIPLE,
            COLD_WINDOW_NANOS),
        new Prices(0, 0, 0),
        false,
        WeightKind.NONE,
        0.2,
        true,
        MS);
  }

  private static RequestClass requestClass(String name, Effect effect, DedupScope scope) {
    return new RequestClass(
        name, effect, scope, DEDUP_WINDOW_NANOS, 400 * MS, 0, DEADLINE_NANOS, 1, 0, false);
  }
}
