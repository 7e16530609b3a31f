package pumicekeel.cli;

import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import pumicekeel.measure.Measure;

/** Measures on loopback; the figures are ratios within one run. */
@Command(
    name = "measure",
    mixinStandardHelpOptions = true,
    description =
        "Measure on loopback. relay: compared with a bare relay, without and with an operator file; isolation: one pool's"
            + " p99 beside a failing pool; pools: start time and memory by number of pools; versus: compared with another build's"
            + " jar; journal: keyed requests without a journal and with durability process and host; writer: the journal's writer,"
            + " query and recovery alone; jsonrpc: calls compared with a relay that only frames messages, and with HTTP.")
final class MeasureCommand implements Callable<Integer> {

  /** The measurements, described in the command's help; their names are the values of the parameter. */
  enum What {
    relay,
    isolation,
    pools,
    versus,
    journal,
    writer,
    jsonrpc
  }

  @Parameters(
      index = "0",
      paramLabel = "WHAT",
      description = "The measurement: ${COMPLETION-CANDIDATES}.")
  private What measurement;

  @Option(
      names = "--seconds",
      paramLabel = "N",
      defaultValue = "5",
      description = "Duration of each run, 1 to 600. Default: ${DEFAULT-VALUE}.")
  private int seconds;

  @Option(
      names = "--rounds",
      paramLabel = "N",
      defaultValue = "5",
      description = "Number of runs of each kind, 1 to 100. Default: ${DEFAULT-VALUE}.")
  private int rounds;

  @Option(
      names = "--jar",
      paramLabel = "FILE",
      defaultValue = "target/pumicekeel.jar",
      description = "The jar of this build, for pools and versus. Default: ${DEFAULT-VALUE}.")
  private Path jar;

  @Option(
      names = "--mib",
      paramLabel = "N",
      defaultValue = "1024",
      description =
          "How much the measurement writer writes, 1 to 16384. Default: ${DEFAULT-VALUE}.")
  private int mebibytes;

  @Option(
      names = "--other",
      paramLabel = "FILE",
      description = "The jar of the other build, for versus.")
  private Path other;

  @Option(
      names = "--flag",
      paramLabel = "FLAG",
      description = "A flag for the started JVMs; may be repeated.")
  private List<String> flags = List.of();

  @Spec
  private CommandSpec spec;

  @Override
  public Integer call() throws Exception {
    if (seconds < 1
        || seconds > 600
        || rounds < 1
        || rounds > 100
        || mebibytes < 1
        || mebibytes > 16_384
        || measurement == What.versus && other == null) {
      throw new ParameterException(
          spec.commandLine(),
          "expected --seconds 1 to 600, --rounds 1 to 100, and --other FILE for versus");
    }
    Measure measure = new Measure(spec.commandLine().getOut(), seconds, rounds);
    try {
      switch (measurement) {
        case relay -> measure.relay();
        case isolation -> measure.isolation();
        case pools -> measure.pools(jar, flags);
        case journal -> measure.journal();
        case jsonrpc -> measure.jsonRpc();
        case writer -> measure.journalAlone(mebibytes);
        case versus -> measure.versus(jar, other, flags);
      }
    } finally {
      measure.close();
    }
    return 0;
  }
}
