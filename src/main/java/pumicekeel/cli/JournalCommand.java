package pumicekeel.cli;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.DateTimeException;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.function.Predicate;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import pumicekeel.journal.Entry;
import pumicekeel.journal.History;
import pumicekeel.journal.RequestHistory;
import pumicekeel.measure.Torture;

/** Queries the journals of requests that must not run twice, of running and of terminated processes. */
@Command(
    name = "journal",
    mixinStandardHelpOptions = true,
    description =
        "Query the journals of keyed and unsafe requests: which reached which upstream, and when.",
    subcommands = {
      JournalCommand.Ask.class,
      JournalCommand.Verify.class,
      JournalCommand.Stats.class,
      JournalCommand.Export.class,
      JournalCommand.TortureCommand.class
    })
final class JournalCommand implements Callable<Integer> {

  @Spec
  private CommandSpec spec;

  @Override
  public Integer call() {
    throw new ParameterException(spec.commandLine(), "expected ask, verify, stats or export");
  }

  /** Base of the commands that read journal folders. */
  abstract static class FolderCommand implements Callable<Integer> {
    @Parameters(
        arity = "1..*",
        paramLabel = "DIR",
        description = "Journal folders, of one or more instances.")
    private List<Path> folders;

    @Spec
    private CommandSpec spec;

    PrintWriter out() {
      return spec.commandLine().getOut();
    }

    PrintWriter err() {
      return spec.commandLine().getErr();
    }

    ParameterException usageError(String message) {
      return new ParameterException(spec.commandLine(), message);
    }

    History read(Predicate<Entry.Intent> filter) throws IOException {
      History history = new History(filter);
      for (Path folder : folders) {
        if (!Files.isDirectory(folder)) {
          throw usageError("expected a folder, got " + folder);
        }
        history.read(folder);
      }
      return history;
    }
  }

  /** Base of the commands that select requests: an attempt has to match every given option. */
  abstract static class FilteredCommand extends FolderCommand {
    @Option(names = "--id", paramLabel = "ID", description = "The request's ID.")
    private String id;

    @Option(names = "--key", paramLabel = "KEY", description = "The request's idempotency key.")
    private String key;

    @Option(
        names = "--upstream",
        paramLabel = "NAME",
        description = "The upstream of at least one of the request's attempts.")
    private String upstream;

    @Option(names = "--tenant", paramLabel = "NAME", description = "The request's tenant.")
    private String tenant;

    @Option(
        names = "--from",
        paramLabel = "TIME",
        description = "Earliest time, such as 2026-12-01T10:00:00Z.")
    private String from;

    @Option(names = "--to", paramLabel = "TIME", description = "Latest time.")
    private String to;

    History filtered() throws IOException {
      long first = parseMillis("--from", from, Long.MIN_VALUE);
      long last = parseMillis("--to", to, Long.MAX_VALUE);
      return read(e -> (id == null || History.matchesRecorded(id, e.id()))
          && (key == null || History.matchesRecorded(key, e.key()))
          && (upstream == null || upstream.equals(e.upstream()))
          && (tenant == null || tenant.equals(e.tenant()))
          && e.wallMillis() >= first
          && e.wallMillis() <= last);
    }

    private long parseMillis(String option, String text, long defaultMillis) {
      try {
        return text == null ? defaultMillis : Instant.parse(text).toEpochMilli();
      } catch (DateTimeException e) {
        throw usageError(
            option + ": expected a time such as 2026-12-01T10:00:00Z, got '" + text + "'");
      }
    }
  }

  private static String time(long millis) {
    return Instant.ofEpochMilli(millis).toString();
  }

  /** Returns a line with the verdict on a request, then a line for each of its attempts. */
  static String line(RequestHistory request, String gap) {
    RequestHistory.Verdict verdict = request.verdict(gap);
    RequestHistory.Attempt lastRun = null;
    for (RequestHistory.Attempt a : request.attempts()) {
      lastRun = a.mayHaveRun() ? a : lastRun;
    }
    String location = lastRun == null
        ? ""
        : lastRun.intent().upstream() + " (" + lastRun.intent().address() + ") since "
            + time(lastRun.intent().wallMillis());
    String outcome = switch (verdict) {
      case NEVER_LEFT -> "never sent to an upstream";
      case MAY_HAVE_RUN -> "may have run at " + location;
      case ANSWERED ->
        "ran at " + location + " and was answered at " + time(request.clientOutcomeMillis());
      case NOT_TOLD ->
        "ran at " + location + ", but the client did not receive the answer: "
            + request.clientOutcome();
      case UNKNOWN ->
        request.attempts().stream().anyMatch(a -> a.status() == pumicekeel.Balancer.Status.SERVED)
            ? "ran at " + location
                + ", unknown whether the client received the answer: no record of it"
            : "unknown: " + gap;
    };
    StringBuilder text = new StringBuilder(
        request.firstIntent().id() + " key " + request.firstIntent().key() + " "
            + request.firstIntent().className() + " " + request.instance() + ": " + outcome);
    for (RequestHistory.Attempt a : request.attempts()) {
      text.append("\n    attempt ")
          .append(a.intent().attempt())
          .append(" at ")
          .append(a.intent().upstream())
          .append(' ')
          .append(a.intent().address())
          .append(" cell ")
          .append(a.intent().cell())
          .append(' ')
          .append(time(a.intent().wallMillis()))
          .append(a.written() ? " fully written" : "")
          .append(", ")
          .append(a.status() == null ? "no recorded outcome" : a.status());
    }
    return text.toString();
  }

  private static String json(RequestHistory request, String gap) throws IOException {
    StringWriter text = new StringWriter();
    try (JsonGenerator g = new JsonFactory().createGenerator(text)) {
      g.writeStartObject();
      g.writeStringField("id", request.firstIntent().id());
      g.writeStringField("key", request.firstIntent().key());
      g.writeStringField("class", request.firstIntent().className());
      g.writeStringField("tenant", request.firstIntent().tenant());
      g.writeStringField("pool", request.firstIntent().pool());
      g.writeStringField("instance", request.instance());
      g.writeStringField("epoch", Long.toHexString(request.epoch()));
      g.writeStringField("verdict", request.verdict(gap).name());
      g.writeStringField(
          "told",
          request.clientOutcome() == null ? null : request.clientOutcome().name());
      g.writeStringField("gap", gap);
      g.writeArrayFieldStart("attempts");
      for (RequestHistory.Attempt a : request.attempts()) {
        g.writeStartObject();
        g.writeNumberField("attempt", a.intent().attempt());
        g.writeStringField("upstream", a.intent().upstream());
        g.writeStringField("address", a.intent().address());
        g.writeStringField("zone", a.intent().zone());
        g.writeNumberField("cell", a.intent().cell());
        g.writeNumberField("wallMillis", a.intent().wallMillis());
        g.writeBooleanField("written", a.written());
        g.writeStringField("status", a.status() == null ? null : a.status().name());
        g.writeEndObject();
      }
      g.writeEndArray();
      g.writeEndObject();
    }
    return text.toString();
  }

  /** Reports what happened to requests. */
  @Command(
      name = "ask",
      mixinStandardHelpOptions = true,
      description =
          "Report for each request whether it was never sent, may have run, ran and was answered, ran but the client"
              + " did not receive the answer, or why that is unknown.",
      footer = {"Exit status: 0 if requests were found, 1 if none was, 2 for a wrong command line."
      })
  static final class Ask extends FilteredCommand {
    @Option(names = "--json", description = "Print one JSON object per line.")
    private boolean json;

    @Override
    public Integer call() throws IOException {
      History history = filtered();
      for (RequestHistory request : history.requests()) {
        String gap = history.gapFor(request);
        out().println(json ? json(request, gap) : line(request, gap));
      }
      if (history.tooMany()) {
        err().println("too many matching requests: narrow the query with --from and --to");
      }
      if (history.requests().isEmpty() && !json) {
        String gap = history.anyGap();
        out()
            .println("no record from " + time(history.firstMillis()) + " to "
                + time(history.lastMillis()) + ": "
                + (gap == null
                    ? "no request of that period was sent to an upstream"
                    : "unknown because of this gap: " + gap));
      }
      return history.requests().isEmpty() ? 1 : 0;
    }
  }

  /** Lists gaps and damaged places by segment and offset. */
  @Command(
      name = "verify",
      mixinStandardHelpOptions = true,
      description = "List every gap and every damaged place in the journals.",
      footer = {"Exit status: 0 if all journals are complete and undamaged, 1 if not."})
  static final class Verify extends FolderCommand {
    @Override
    public Integer call() throws IOException {
      History history = read(e -> false);
      history
          .holes()
          .forEach(h -> out()
              .println(h.file()
                  + (h.length() > 0 ? " at " + h.offset() + ", " + h.length() + " bytes" : "")
                  + ": " + h.why()));
      history.unreadableFiles().forEach(r -> out().println(r.file() + ": " + r.why()));
      boolean complete = history.holes().isEmpty() && history.unreadableFiles().isEmpty();
      out()
          .println(history.segments().size() + " segments, "
              + (complete
                  ? "all complete"
                  : history.holes().size() + " holes, "
                      + history.unreadableFiles().size() + " unreadable"));
      return complete ? 0 : 1;
    }
  }

  /** Prints the number of segments and records. */
  @Command(
      name = "stats",
      mixinStandardHelpOptions = true,
      description = "Count segments and records.")
  static final class Stats extends FolderCommand {
    @Override
    public Integer call() throws IOException {
      History history = read(e -> false);
      history
          .segments()
          .forEach(s -> out()
              .println(
                  s.file() + ": " + s.bytes() + " bytes, " + s.records() + " records, instance "
                      + s.instance() + ", epoch " + Long.toHexString(s.epoch())));
      for (Map.Entry<String, Long> kind : new TreeMap<>(history.kinds()).entrySet()) {
        out().println(kind.getKey() + " " + kind.getValue());
      }
      out().println("from " + time(history.firstMillis()) + " to " + time(history.lastMillis()));
      return 0;
    }
  }

  /** Kills balancers under load and verifies their journals. */
  @Command(
      name = "torture",
      mixinStandardHelpOptions = true,
      description =
          "Kill balancers under load at random moments, and compare every answer of their journals with what"
              + " stand-in upstreams and clients recorded.",
      footer = {"Exit status: 0 if every answer was correct, 1 if one was not."})
  static final class TortureCommand implements Callable<Integer> {
    @Option(
        names = "--kills",
        paramLabel = "N",
        defaultValue = "100",
        description = "Number of kills. Default: ${DEFAULT-VALUE}.")
    private int kills;

    @Option(
        names = "--seed",
        paramLabel = "S",
        description = "Seed of all random choices. Default: a new one, which is printed.")
    private Long seed;

    @Option(
        names = "--durability",
        paramLabel = "D",
        defaultValue = "process",
        description = "Durability of the journals, process or host. Default: ${DEFAULT-VALUE}.")
    private String durability;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws Exception {
      if (kills < 1 || kills > 1_000_000) {
        throw new ParameterException(
            spec.commandLine(), "--kills: expected 1 to 1,000,000, got " + kills);
      }
      long usedSeed = seed == null ? System.nanoTime() : seed;
      spec.commandLine().getOut().println("seed " + usedSeed);
      Path jar = Path.of(JournalCommand.class
          .getProtectionDomain()
          .getCodeSource()
          .getLocation()
          .getPath());
      List<String> java = List.of(
          Path.of(System.getProperty("java.home"), "bin", "java").toString(),
          "-XX:+UseSerialGC",
          "-XX:TieredStopAtLevel=1",
          "-jar",
          jar.toString());
      return new Torture(
                  java,
                  Files.createTempDirectory("torture"),
                  durability,
                  usedSeed,
                  spec.commandLine().getOut())
              .run(kills)
          ? 0
          : 1;
    }
  }

  /** Prints all matching requests as JSON lines. */
  @Command(
      name = "export",
      mixinStandardHelpOptions = true,
      description = "Print every matching request as one JSON object per line.")
  static final class Export extends FilteredCommand {
    @Override
    public Integer call() throws IOException {
      History history = filtered();
      for (RequestHistory request : history.requests()) {
        out().println(json(request, history.gapFor(request)));
      }
      return 0;
    }
  }
}
