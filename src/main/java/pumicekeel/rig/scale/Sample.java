package pumicekeel.rig.scale;

import java.util.Map;

/**
 * What one scenario came to at one size in one round.
 *
 * @param scenario the scenario's name
 * @param build the program that was measured
 * @param seed what decided all chance in it
 * @param loadBefore the machine's load average of one minute as it began, others' work included
 * @param processors processors that the run was allowed
 * @param at when it ended, ISO 8601 in UTC
 * @param figures by name; the name ends in the unit
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
    String at,
    Map<String, Double> figures) {

  public Sample {
    figures = Map.copyOf(figures);
  }
}
