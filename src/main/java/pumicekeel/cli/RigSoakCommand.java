package pumicekeel.cli;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.stream.Collectors;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;
import pumicekeel.rig.soak.CallKind;
import pumicekeel.rig.soak.ListTrouble;
import pumicekeel.rig.soak.SoakPlan;
import pumicekeel.rig.soak.SoakRun;

/** Runs the soak test. */
@Command(
    name = "soak",
    mixinStandardHelpOptions = true,
    description =
        "Test real processes under random, overlapping faults by seed: failing system calls (by a preloaded library, built with"
            + " cc), signals, restarts, failing upstreams and discovery, a stepped clock. The logs of clients and upstreams"
            + " are checked against the serving rules; a violation is printed with the timeline of its request.",
    footer = {"Exit status: 0 if all rules held in all runs, else 1."})
final class RigSoakCommand implements Callable<Integer> {

  @Option(
      names = "--seed",
      paramLabel = "N",
      defaultValue = "1",
      description =
          "Seed of the first run; each later run uses the next. Default: ${DEFAULT-VALUE}.")
  private long seed;

  @Option(
      names = "--runs",
      paramLabel = "N",
      defaultValue = "10",
      description = "Number of runs, 1 to 10000. Default: ${DEFAULT-VALUE}.")
  private int runs;

  @Option(
      names = "--parallel",
      paramLabel = "N",
      defaultValue = "2",
      description =
          "Number of parallel runs, 1 to 16; each has two or three balancers. Default: ${DEFAULT-VALUE}.")
  private int parallel;

  @Option(
      names = "--calls",
      paramLabel = "KIND",
      split = ",",
      description =
          "Inject only failures of these system calls, at one balancer, and no other fault.")
  private List<CallKind> calls = List.of();

  @Option(
      names = "--per-mille",
      paramLabel = "N",
      defaultValue = "300",
      description = "With --calls: how many of 1000 calls fail. Default: ${DEFAULT-VALUE}.")
  private int perMille;

  @Option(
      names = "--add",
      paramLabel = "WHAT",
      split = ",",
      description = "Further faults to inject: ${COMPLETION-CANDIDATES}.")
  private List<SoakPlan.Disturbance> add = List.of();

  @Option(
      names = "--lists",
      paramLabel = "TROUBLE",
      description =
          "Only the delivery of upstream lists fails, in this way, while upstreams drain, stop and return: ${COMPLETION-CANDIDATES}.")
  private ListTrouble lists;

  @Option(
      names = "--balancers",
      paramLabel = "N",
      defaultValue = "8",
      description =
          "With --lists: number of balancer processes, 1 to 200. Default: ${DEFAULT-VALUE}.")
  private int balancers;

  @Option(
      names = "--seconds",
      paramLabel = "N",
      defaultValue = "45",
      description = "With --lists: duration of the failure, 1 to 600. Default: ${DEFAULT-VALUE}.")
  private int seconds;

  @Option(
      names = "--peers",
      description = "With --lists: balancers notify each other by datagrams of departed upstreams.")
  private boolean peers;

  @Option(
      names = "--slow-peers",
      description =
          "Add upstreams that write sound answers slowly, and some that stop, to the random faults.")
  private boolean slowPeers;

  @Option(
      names = "--overtime-answers",
      description =
          "Instead of random faults: upstreams write sound answers that end behind their client's time, and some that stop; odd"
              + " seeds add signals, a leaving upstream, a crowd, slow readers.")
  private boolean overtimeAnswers;

  @Option(
      names = "--logs",
      description = "Print the end of the processes' logs even if all rules held.")
  private boolean logs;

  @Spec
  private CommandSpec spec;

  @Override
  public Integer call() throws Exception {
    if (runs < 1 || runs > 10_000 || parallel < 1 || parallel > 16) {
      throw new ParameterException(
          spec.commandLine(), "expected --runs 1 to 10000, --parallel 1 to 16");
    }
    if (balancers < 1 || balancers > 200 || seconds < 1 || seconds > 600) {
      throw new ParameterException(
          spec.commandLine(), "expected --balancers 1 to 200, --seconds 1 to 600");
    }
    PrintStream out = DemoCommand.lineStream(spec.commandLine().getOut());
    ExecutorService executor = Executors.newFixedThreadPool(parallel);
    try {
      List<Future<SoakRun.Result>> results = new ArrayList<>();
      for (long i = seed; i < seed + runs; i++) {
        SoakPlan plan = planOf(i);
        results.add(executor.submit(() -> print(new SoakRun(plan).run(), out)));
      }
      return summarize(results, out) ? 0 : 1;
    } finally {
      executor.shutdownNow();
    }
  }

  private SoakPlan planOf(long runSeed) {
    if (lists != null) {
      return SoakPlan.lists(runSeed, lists, balancers, seconds, peers);
    }
    return basePlanOf(runSeed).with(add.toArray(SoakPlan.Disturbance[]::new));
  }

  private SoakPlan basePlanOf(long runSeed) {
    if (overtimeAnswers) {
      return SoakPlan.overtimeAnswers(runSeed);
    }
    if (!calls.isEmpty()) {
      return SoakPlan.calls(runSeed, perMille, calls.toArray(CallKind[]::new));
    }
    return slowPeers ? SoakPlan.slowPeers(runSeed) : SoakPlan.random(runSeed);
  }

  private SoakRun.Result print(SoakRun.Result result, PrintStream out) {
    synchronized (out) {
      out.println(result.summary());
      result.report().forEach(out::println);
      if (logs && result.report().isEmpty()) {
        result.logs().forEach(out::println);
      }
    }
    return result;
  }

  private static boolean summarize(List<Future<SoakRun.Result>> results, PrintStream out)
      throws InterruptedException, ExecutionException {
    Map<CallKind, Long> injected = new EnumMap<>(CallKind.class);
    List<Long> failed = new ArrayList<>();
    long requests = 0;
    for (Future<SoakRun.Result> one : results) {
      SoakRun.Result result = one.get();
      requests += result.requests();
      result.injected().forEach((kind, n) -> injected.merge(kind, n, Long::sum));
      if (!result.passed()) {
        failed.add(result.plan().seed());
      }
    }
    out.println(
        results.size() + " runs, " + requests + " requests, " + failed.size() + " with broken rules"
            + (failed.isEmpty()
                ? ""
                : ": " + failed.stream().map(String::valueOf).collect(Collectors.joining(" "))));
    out.println("injected " + injected);
    return failed.isEmpty();
  }
}
