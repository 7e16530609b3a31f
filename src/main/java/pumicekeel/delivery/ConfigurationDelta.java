package pumicekeel.delivery;

import java.util.List;

/**
 * The way from one version of a configuration to a later one.
 *
 * @param removed keys of the base that the target lacks
 * @param upserted entries that are new, altered or moved, in the order of the target
 */
public record ConfigurationDelta(
    ConfigurationVersion base,
    ConfigurationVersion target,
    List<String> removed,
    List<Upsert> upserted) {

  /**
   * An entry and its place.
   *
   * @param after the key of the entry right before it in the target; null for the first
   */
  public record Upsert(String after, String key, String text) {}

  /** A delta that does not lead from the text at hand to the version that it names; a snapshot is needed instead. */
  public static final class NotApplicableException extends Exception {
    private static final long serialVersionUID = 1L;

    NotApplicableException(String why) {
      super(why);
    }
  }
}
