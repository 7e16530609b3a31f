package pumicekeel.rig.scale;

import java.util.Map;

/**
 * The result of one scenario at one size in one round.
 *
 * @param scenario the scenario's name
 * @param axis what the size counts
 * @param size the size on the axis
 * @param round the round, starting at 1
 * @param build the build of the program that was measured
 * @param seed the seed of all random choices
 * @param loadBefore the machine's one-minute load average before the measurement, including the load of other processes
 * @param processors the number of processors available to the process
 * @param finishedAt the time at which the measurement ended, as ISO 8601 in UTC
 * @param figures the measured figures by name; each name ends in its unit
 */
public record Sample(
    String scenario,
    Axis axis,
    int size,
    int round,
    String build,
    long seed,
    double loadBefore,
    int processors,
    String finishedAt,
    Map<String, Double> figures) {

  public Sample {
    figures = Map.copyOf(figures);
  }
}
