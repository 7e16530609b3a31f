package pumicekeel.cli;

import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;
import pumicekeel.front.jsonrpc.CallFuzz;

/** Feeds mutated input to the JSON-RPC front. */
@Command(
    name = "fuzz",
    mixinStandardHelpOptions = true,
    description =
        "Feed mutated input to the JSON-RPC front, without sockets, and check that every call ends once, every"
            + " request object gets exactly one answer, and no state remains.",
    footer = {
      "Exit status: 0 if all checks passed, 1 at the first input that failed one; its line says how to repeat it."
    })
final class FuzzCommand implements Callable<Integer> {

  private static final int PROGRESS_REPORTS = 20;

  @Option(
      names = "--inputs",
      paramLabel = "N",
      defaultValue = "1000000",
      description = "Number of inputs, 1 to 1000000000. Default: ${DEFAULT-VALUE}.")
  private long inputs;

  @Option(
      names = "--seed",
      paramLabel = "S",
      defaultValue = "1",
      description = "Seed of the mutations. Default: ${DEFAULT-VALUE}.")
  private long seed;

  @Option(
      names = "--first",
      paramLabel = "N",
      defaultValue = "0",
      description = "Number of the first input, to repeat one. Default: ${DEFAULT-VALUE}.")
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
    long reportInterval = Math.max(1, inputs / PROGRESS_REPORTS);
    long start = System.nanoTime();
    boolean passed = fuzz.run(first, inputs, i -> {
      if (i > first && (i - first) % reportInterval == 0) {
        System.gc();
        long used = Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
        out.printf(
            "%d inputs, %.0f a second, %.1f MB in use%n",
            i - first, (i - first) * 1e9 / (System.nanoTime() - start), used / 1048576.0);
        out.flush();
      }
    });
    out.println(
        passed
            ? inputs + " inputs of seed " + seed + ": every call ended once, no state remained"
            : fuzz.failure() + "; repeat with: fuzz --seed " + seed + " --inputs 1 --first N");
    return passed ? 0 : 1;
  }
}
