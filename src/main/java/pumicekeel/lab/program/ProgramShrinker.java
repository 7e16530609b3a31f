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
    List<Integer> kept = new ArrayList<>();
    for (int i = 0; i < script.steps().size(); i++) {
      kept.add(i);
    }
    String breach = play(kept);
    if (breach == null) {
      return null;
    }
    String kind = kindOf(breach);
    for (int part = kept.size() / 2; part >= 1; ) {
      boolean smaller = false;
      for (int from = 0; from < kept.size(); from += part) {
        List<Integer> fewer = new ArrayList<>(kept.subList(0, from));
        fewer.addAll(kept.subList(Math.min(kept.size(), from + part), kept.size()));
        String still = play(fewer);
        if (still != null && kindOf(still).equals(kind)) {
          kept = fewer;
          breach = still;
          smaller = true;
          from -= part;
        }
      }
      progress.accept(kept.size() + " steps left: " + breach);
      part = smaller && part == 1 ? 1 : part / 2;
    }
    return new Shrunk(
        List.copyOf(kept),
        kept.stream().map(i -> script.steps().get(i).toString()).toList(),
        breach);
  }

  private String play(List<Integer> steps) {
    return new ProgramRun(script.only(steps), null).play().violation();
  }

  /** Returns a violation without its numbers and times, to recognize the same fault in another run. */
  static String kindOf(String breach) {
    return breach.replaceAll("[0-9.]+", "#");
  }
}
