import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/** A run of a case: its folders, its record and the balancers that it started, which end with it. */
final class Case {

  /** What a case does; returns whether the rule held. */
  interface Body {
    boolean held(Case run) throws Exception;
  }

  /** A run that could not be played, so that it says nothing of the rule. */
  static final class NotPlayed extends Exception {
    private static final long serialVersionUID = 1L;

    NotPlayed(String why) {
      super(why);
    }
  }

  final RunRecord record;
  /** Whether the disruption is played. */
  final boolean trouble = !"0".equals(System.getenv("TROUBLE"));

  private final Path root;
  private final Path scratch;
  private final List<BalancerProcess> balancers = new ArrayList<>();

  private Case(Path root, Path folder) throws IOException {
    this.root = root;
    record = new RunRecord(folder.resolve("record.txt"));
    scratch = Files.createTempDirectory("review");
  }

  /** Plays a case and ends this process: 1 if the rule was broken, 0 if it held, 2 if the case could not be played. */
  static void main(String[] args, Body body) {
    int status = 2;
    try {
      Case run = new Case(Path.of(args[0]).toAbsolutePath().normalize(), Path.of(args[1]).toAbsolutePath());
      Runtime.getRuntime().addShutdownHook(new Thread(run::end));
      status = body.held(run) ? 0 : 1;
    } catch (Exception e) {
      System.out.println("not played: " + e);
    }
    System.exit(status);
  }

  /** Starts a balancer, which is not ready yet. */
  BalancerProcess balancer(String name, String configuration) throws IOException {
    BalancerProcess balancer = new BalancerProcess(root, scratch, name, configuration);
    balancers.add(balancer);
    balancer.start();
    return balancer;
  }

  void awaitReady() throws InterruptedException, NotPlayed {
    for (BalancerProcess b : balancers) {
      if (!b.awaitReady()) {
        throw new NotPlayed("a balancer is not ready within 30 s");
      }
      record.say("a balancer is ready, process " + b.pid());
    }
  }

  /** Adds the balancers' logs to the record. */
  void addLogs() throws IOException {
    for (BalancerProcess b : balancers) {
      Files.readAllLines(b.log).forEach(l -> record.add("log of " + b.log.getFileName() + ": " + l));
    }
  }

  private void end() {
    balancers.forEach(BalancerProcess::kill);
    record.close();
    try (Stream<Path> files = Files.walk(scratch)) {
      files.sorted(Comparator.reverseOrder()).forEach(f -> f.toFile().delete());
    } catch (IOException e) {
      System.out.println("the temporary folder remains: " + e);
    }
  }
}
