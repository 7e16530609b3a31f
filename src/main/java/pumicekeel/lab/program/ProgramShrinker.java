package pumicekeel.lab.program;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

/**
 * Reduces a run in which a rule is violated to few steps that still violate it (delta debugging, Zeller and Hildebrandt 2002): leaves out
 * halves first, then smaller parts, then single steps.
 */
public final class ProgramShrinker {

  /**
   * A reduced run.
   *
   * @param steps numbers of the remaining steps in the seed's script
   * @param descriptions the remaining steps as text
   * @param violation the rule that they violate
   */
  public record Shrunk(List<Integer> steps, List<String> descriptions, String violation) {}

  private final Script script;
  private final Consumer<String> progress;

  /** Creates a shrinker for the run of a seed; {@code progress} receives one line per round. */
  public ProgramShrinker(long seed, Consumer<String> progress) {
    this(Script.of(seed), progress);
  }

  ProgramShrinker(Script script, Consumer<String> progress) {
    this.script = script;
    this.progress = progress;
  }

  /** Returns the smallest run that was found, or null if the whole run violates no rule. */
  public Shrunk shrink() {
    List<Integer> remaining = new ArrayList<>();
    for (int i = 0; i < script.steps().size(); i++) {
      remaining.add(i);
    }
    String violation = play(remaining);
    if (violation == null) {
      return null;
    }
    String original = withoutNumbers(violation);
    for (int chunk = remaining.size() / 2; chunk >= 1; ) {
      boolean reduced = false;
      for (int from = 0; from < remaining.size(); from += chunk) {
        List<Integer> candidate = new ArrayList<>(remaining.subList(0, from));
        candidate.addAll(
            remaining.subList(Math.min(remaining.size(), from + chunk), remaining.size()));
        String result = play(candidate);
        if (result != null && withoutNumbers(result).equals(original)) {
          remaining = candidate;
          violation = result;
          reduced = true;
          from -= chunk;
        }
      }
      progress.accept(remaining.size() + " steps left: " + violation);
      chunk = reduced && chunk == 1 ? 1 : chunk / 2;
    }
    return new Shrunk(
        List.copyOf(remaining),
        remaining.stream().map(i -> script.steps().get(i).toString()).toList(),
        violation);
  }

  private String play(List<Integer> steps) {
    return new ProgramRun(script.withSteps(steps), null).play().violation();
  }

  /** Returns a violation without its numbers and times, to recognize the same fault in another run. */
  static String withoutNumbers(String violation) {
    return violation.replaceAll("[0-9.]+", "#");
  }
}
