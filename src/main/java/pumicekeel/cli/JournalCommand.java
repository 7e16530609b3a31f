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
import pumicekeel.journal.Story;
import pumicekeel.measure.Torture;

/** Asks journals of requests that must not run twice, of live and of dead processes. */
@Command(
    name = "journal",
    mixinStandardHelpOptions = true,
    description =
        "Ask the journals of keyed and unsafe requests: which reached which upstream, and when.",
    subcommands = {
      JournalCommand.Ask.class,
      JournalCommand.Verify.class,
      JournalCommand.Stats.class,
      JournalCommand.Export.class,
      JournalCommand.TortureIt.class
    })
final class JournalCommand implements Callable<Integer> {

  @Spec
  private CommandSpec spec;

  @Override
  public Integer call() {
    throw new ParameterException(spec.commandLine(), "expected ask, verify, stats or export");
  }

  /** What all of them share. */
  abstract static class OnFolders implements Callable<Integer> {
    @Parameters(
        arity = "1..*",
        paramLabel = "DIR",
        description = "Journal folders, of several instances at once.")
    private List<Path> folders;

    @Spec
    private CommandSpec spec;

    PrintWriter out() {
      return spec.commandLine().getOut();
    }

    PrintWriter err() {
      return spec.commandLine().getErr();
    }

    ParameterException wrong(String what) {
      return new ParameterException(spec.commandLine(), what);
    }

    History read(Predicate<Entry.Intent> asked) throws IOException {
      History history = new History(asked);
      for (Path folder : folders) {
        if (!Files.isDirectory(folder)) {
          throw wrong("expected a folder, got " + folder);
        }
        history.read(folder);
      }
      return history;
    }
  }

  /** What may be asked for: all that is given has to hold. */
  abstract static class Filtered extends OnFolders {
    @Option(names = "--id", paramLabel = "ID", description = "The request's id.")
    private String id;

    @Option(names = "--key", paramLabel = "KEY", description = "Its idempotency key.")
    private String key;

    @Option(
        names = "--upstream",
        paramLabel = "NAME",
        description = "An upstream that an attempt was for.")
    private String upstream;

    @Option(names = "--tenant", paramLabel = "NAME", description = "Its tenant.")
    private String tenant;

    @Option(
        names = "--from",
        paramLabel = "TIME",
        description = "Not before, such as 2026-12-01T10:00:00Z.")
    private String from;

    @Option(names = "--to", paramLabel = "TIME", description = "Not after.")
    private String to;

    History filtered() throws IOException {
      long first = millis("--from", from, Long.MIN_VALUE);
      long last = millis("--to", to, Long.MAX_VALUE);
      return read(e -> (id == null || History.matchesRecorded(id, e.id()))
          && (key == null || History.matchesRecorded(key, e.key()))
          && (upstream == null || upstream.equals(e.upstream()))
          && (tenant == null || tenant.equals(e.tenant()))
          && e.wallMillis() >= first
          && e.wallMillis() <= last);
    }

    private long millis(String option, String text, long absent) {
      try {
        return text == null ? absent : Instant.parse(text).toEpochMilli();
      } catch (DateTimeException e) {
        throw wrong(option + ": expected a time such as 2026-12-01T10:00:00Z, got '" + text + "'");
      }
    }
  }

  private static String time(long millis) {
    return Instant.ofEpochMilli(millis).toString();
  }

  /** A line for people: the verdict, then all attempts. */
  static String line(Story story, String gap) {
    Story.Verdict verdict = story.verdict(gap);
    Story.Attempt last = null;
    for (Story.Attempt a : story.attempts()) {
      last = a.mayHaveRun() ? a : last;
    }
    String where = last == null
        ? ""
        : last.intent().upstream() + " (" + last.intent().address() + ") since "
            + time(last.intent().wallMillis());
    String what = switch (verdict) {
      case NEVER_LEFT -> "never left";
      case MAY_HAVE_RUN -> "may have run at " + where;
      case ANSWERED -> "ran at " + where + " and was answered " + time(story.toldMillis());
      case NOT_TOLD -> "ran at " + where + ", and the client was not told: " + story.told();
      case UNKNOWN ->
        story.attempts().stream().anyMatch(a -> a.status() == pumicekeel.Balancer.Status.SERVED)
            ? "ran at " + where + ", unknown whether the client was told: no record of its answer"
            : "unknown: " + gap;
    };
    StringBuilder text =
        new StringBuilder(story.first().id() + " key " + story.first().key() + " "
            + story.first().className() + " " + story.instance() + ": " + what);
    for (Story.Attempt a : story.attempts()) {
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
          .append(a.written() ? " written whole" : "")
          .append(", ")
          .append(a.status() == null ? "no outcome on record" : a.status());
    }
    return text.toString();
  }

  private static String json(Story story, String gap) throws IOException {
    StringWriter text = new StringWriter();
    try (JsonGenerator g = new JsonFactory().createGenerator(text)) {
      g.writeStartObject();
      g.writeStringField("id", story.first().id());
      g.writeStringField("key", story.first().key());
      g.writeStringField("class", story.first().className());
      g.writeStringField("tenant", story.first().tenant());
      g.writeStringField("pool", story.first().pool());
      g.writeStringField("instance", story.instance());
      g.writeStringField("epoch", Long.toHexString(story.epoch()));
      g.writeStringField("verdict", story.verdict(gap).name());
      g.writeStringField("told", story.told() == null ? null : story.told().name());
      g.writeStringField("gap", gap);
      g.writeArrayFieldStart("attempts");
      for (Story.Attempt a : story.attempts()) {
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

  /** What became of requests. */
  @Command(
      name = "ask",
      mixinStandardHelpOptions = true,
      description =
          "Say of each request whether it never left, may have run, ran and was answered, ran and the client was"
              + " not told, or why that is unknown.",
      footer = {
        "Exit status: 0 where requests were found, 1 where none was, 2 for a wrong command line."
      })
  static final class Ask extends Filtered {
    @Option(names = "--json", description = "Print a JSON object a line.")
    private boolean json;

    @Override
    public Integer call() throws IOException {
      History history = filtered();
      for (Story story : history.stories()) {
        String gap = history.gapFor(story);
        out().println(json ? json(story, gap) : line(story, gap));
      }
      if (history.tooMany()) {
        err().println("more requests than are kept: ask for less, by --from and --to");
      }
      if (history.stories().isEmpty() && !json) {
        String gap = history.anyGap();
        out()
            .println("nothing on record from " + time(history.firstMillis()) + " to "
                + time(history.lastMillis()) + ": "
                + (gap == null
                    ? "a request of that time never left"
                    : "unknown, because of this gap: " + gap));
      }
      return history.stories().isEmpty() ? 1 : 0;
    }
  }

  /** Damage by segment and offset. */
  @Command(
      name = "verify",
      mixinStandardHelpOptions = true,
      description = "Name every hole and damage.",
      footer = {"Exit status: 0 where all is whole, 1 where something is not."})
  static final class Verify extends OnFolders {
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
      boolean good = history.holes().isEmpty() && history.unreadableFiles().isEmpty();
      out()
          .println(history.segments().size() + " segments, "
              + (good
                  ? "all whole"
                  : history.holes().size() + " holes, "
                      + history.unreadableFiles().size() + " unreadable"));
      return good ? 0 : 1;
    }
  }

  /** What is in it. */
  @Command(
      name = "stats",
      mixinStandardHelpOptions = true,
      description = "Count segments and records.")
  static final class Stats extends OnFolders {
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

  /** Kills and asks. */
  @Command(
      name = "torture",
      mixinStandardHelpOptions = true,
      description =
          "Kill balancers under load at random moments, and hold every answer of their journals against what"
              + " stand-in upstreams and clients saw.",
      footer = {"Exit status: 0 where every answer was true, 1 where one was not."})
  static final class TortureIt implements Callable<Integer> {
    @Option(
        names = "--kills",
        paramLabel = "N",
        defaultValue = "100",
        description = "Default: ${DEFAULT-VALUE}.")
    private int kills;

    @Option(
        names = "--seed",
        paramLabel = "S",
        description = "Default: a new one, which is printed.")
    private Long seed;

    @Option(
        names = "--durability",
        paramLabel = "D",
        defaultValue = "process",
        description = "process or host. Default: ${DEFAULT-VALUE}.")
    private String durability;

    @Spec
    private CommandSpec spec;

    @Override
    public Integer call() throws Exception {
      if (kills < 1 || kills > 1_000_000) {
        throw new ParameterException(
            spec.commandLine(), "--kills: expected 1 to 1,000,000, got " + kills);
      }
      long start = seed == null ? System.nanoTime() : seed;
      spec.commandLine().getOut().println("seed " + start);
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
                  start,
                  spec.commandLine().getOut())
              .run(kills)
          ? 0
          : 1;
    }
  }

  /** All stories as JSON lines. */
  @Command(
      name = "export",
      mixinStandardHelpOptions = true,
      description = "Print every request as a line of JSON.")
  static final class Export extends Filtered {
    @Override
    public Integer call() throws IOException {
      History history = filtered();
      for (Story story : history.stories()) {
        out().println(json(story, history.gapFor(story)));
      }
      return 0;
    }
  }
}
