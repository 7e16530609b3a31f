package pumicekeel.cli;

import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;
import pumicekeel.front.jsonrpc.CallFuzz;

/** Mutated input for the JSON-RPC front. */
@Command(
    name = "fuzz",
    mixinStandardHelpOptions = true,
    description =
        "Play mutated input against the JSON-RPC front, without sockets, and check that every call ends once, every"
            + " request object gets its one answer, and nothing is kept.",
    footer = {
      "Exit status: 0 where all held, 1 at the first input that did not; the line tells how to repeat it."
    })
final class FuzzCommand implements Callable<Integer> {

  private static final int STEPS = 20;

  @Option(
      names = "--inputs",
      paramLabel = "N",
      defaultValue = "1000000",
      description = "How many, 1 to 1000000000. Default: ${DEFAULT-VALUE}.")
  private long inputs;

  @Option(
      names = "--seed",
      paramLabel = "S",
      defaultValue = "1",
      description = "Default: ${DEFAULT-VALUE}.")
  private long seed;

  @Option(
      names = "--first",
      paramLabel = "N",
      defaultValue = "0",
      description = "The first input's number, to repeat one. Default: ${DEFAULT-VALUE}.")
  private long first;

  @Spec
  private CommandSpec spec;

  @Override
  public Integer call() {
    if (inputs < 1 || inputs > 1_000_000_000 || first < 0) {
      throw new ParameterException(
          spec.commandLine(), "expected --inputs 1 to 1000000000 and --first from 0 on");
    }
    var out = spec.commandLine().getOut();
    CallFuzz fuzz = new CallFuzz(seed);
    long step = Math.max(1, inputs / STEPS);
    long start = System.nanoTime();
    boolean held = fuzz.run(first, inputs, i -> {
      if (i > first && (i - first) % step == 0) {
        System.gc();
        long used = Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
        out.printf(
            "%d inputs, %.0f a second, %.1f MB held%n",
            i - first, (i - first) * 1e9 / (System.nanoTime() - start), used / 1048576.0);
        out.flush();
      }
    });
    out.println(
        held
            ? inputs + " inputs of seed " + seed + ": every call ended once, nothing was kept"
            : fuzz.failure() + "; again: fuzz --seed " + seed + " --inputs 1 --first N");
    return held ? 0 : 1;
  }
}
