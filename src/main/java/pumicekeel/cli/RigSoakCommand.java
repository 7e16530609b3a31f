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

/** The soak test. */
@Command(
    name = "soak",
    mixinStandardHelpOptions = true,
    description =
        "Real processes under random, overlapping faults by seed: system calls that fail (a preloaded library, built with"
            + " cc), signals, restarts, upstreams and discovery in trouble, a stepped clock. Clients' and upstreams' logs"
            + " are held against the serving rules; one that is broken is shown with its request's timeline.",
    footer = {"Exit status: 0 where all rules held in all runs, else 1."})
final class RigSoakCommand implements Callable<Integer> {

  @Option(
      names = "--seed",
      paramLabel = "N",
      defaultValue = "1",
      description = "The first run's; each later one has the next. Default: ${DEFAULT-VALUE}.")
  private long seed;

  @Option(
      names = "--runs",
      paramLabel = "N",
      defaultValue = "10",
      description = "1 to 10000. Default: ${DEFAULT-VALUE}.")
  private int runs;

  @Option(
      names = "--parallel",
      paramLabel = "N",
      defaultValue = "2",
      description =
          "Runs at the same time, 1 to 16; each has two or three balancers. Default: ${DEFAULT-VALUE}.")
  private int parallel;

  @Option(
      names = "--calls",
      paramLabel = "KIND",
      split = ",",
      description = "Only calls of these kinds fail, at one balancer, and nothing else happens.")
  private List<CallKind> calls = List.of();

  @Option(
      names = "--per-mille",
      paramLabel = "N",
      defaultValue = "300",
      description = "With --calls: how many in a thousand fail. Default: ${DEFAULT-VALUE}.")
  private int perMille;

  @Option(
      names = "--add",
      paramLabel = "WHAT",
      split = ",",
      description = "What happens beside that: ${COMPLETION-CANDIDATES}.")
  private List<SoakPlan.Disturbance> add = List.of();

  @Option(
      names = "--lists",
      paramLabel = "TROUBLE",
      description =
          "Only lists of upstreams fail to arrive, in this way, while upstreams drain, end and return: ${COMPLETION-CANDIDATES}.")
  private ListTrouble lists;

  @Option(
      names = "--balancers",
      paramLabel = "N",
      defaultValue = "8",
      description = "With --lists: 1 to 200 processes. Default: ${DEFAULT-VALUE}.")
  private int balancers;

  @Option(
      names = "--seconds",
      paramLabel = "N",
      defaultValue = "45",
      description = "With --lists: of trouble, 1 to 600. Default: ${DEFAULT-VALUE}.")
  private int seconds;

  @Option(
      names = "--peers",
      description = "With --lists: balancers tell each other by datagrams who has left.")
  private boolean peers;

  @Option(
      names = "--logs",
      description = "Shows what the processes logged last, also where all rules held.")
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
    PrintStream out = DemoCommand.lines(spec.commandLine().getOut());
    ExecutorService players = Executors.newFixedThreadPool(parallel);
    try {
      List<Future<SoakRun.Result>> all = new ArrayList<>();
      for (long i = seed; i < seed + runs; i++) {
        SoakPlan plan = planOf(i);
        all.add(players.submit(() -> show(new SoakRun(plan).run(), out)));
      }
      return sum(all, out) ? 0 : 1;
    } finally {
      players.shutdownNow();
    }
  }

  private SoakPlan planOf(long one) {
    if (lists != null) {
      return SoakPlan.lists(one, lists, balancers, seconds, peers);
    }
    SoakPlan plan = calls.isEmpty()
        ? SoakPlan.random(one)
        : SoakPlan.calls(one, perMille, calls.toArray(CallKind[]::new));
    return plan.with(add.toArray(SoakPlan.Disturbance[]::new));
  }

  private SoakRun.Result show(SoakRun.Result result, PrintStream out) {
    synchronized (out) {
      out.println(result.summary());
      result.report().forEach(out::println);
      if (logs && result.report().isEmpty()) {
        result.logs().forEach(out::println);
      }
    }
    return result;
  }

  private static boolean sum(List<Future<SoakRun.Result>> all, PrintStream out)
      throws InterruptedException, ExecutionException {
    Map<CallKind, Long> injected = new EnumMap<>(CallKind.class);
    List<Long> failed = new ArrayList<>();
    long requests = 0;
    for (Future<SoakRun.Result> one : all) {
      SoakRun.Result result = one.get();
      requests += result.requests();
      result.injected().forEach((kind, n) -> injected.merge(kind, n, Long::sum));
      if (!result.passed()) {
        failed.add(result.plan().seed());
      }
    }
    out.println(all.size() + " runs, " + requests + " requests, " + failed.size() + " not held"
        + (failed.isEmpty()
            ? ""
            : ": " + failed.stream().map(String::valueOf).collect(Collectors.joining(" "))));
    out.println("injected " + injected);
    return failed.isEmpty();
  }
}
