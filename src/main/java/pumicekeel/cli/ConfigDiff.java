package pumicekeel.cli;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.Callable;
import java.util.stream.Collectors;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import pumicekeel.delivery.ConfigurationDelta;
import pumicekeel.delivery.ConfigurationDocument;
import pumicekeel.delivery.ConfigurationDocument.Entry;
import pumicekeel.delivery.ConfigurationVersion;
import pumicekeel.delivery.StoredConfiguration;
import pumicekeel.delivery.client.ControlApi;

/** Shows what publishing a file would change. */
@Command(
    name = "diff",
    mixinStandardHelpOptions = true,
    description =
        "The entries in which a file differs from the version that a control machine has.",
    footer = {"Exit status: 0 for no difference, 1 for one, 2 for a faulty file or option."})
final class ConfigDiff implements Callable<Integer> {

  @Parameters(index = "0", paramLabel = "FILE", description = "The file.")
  private Path file;

  @Option(
      names = "--to",
      paramLabel = "HOST:PORT",
      required = true,
      description = "A control machine.")
  private String to;

  @Option(names = "--json", description = "One JSON object on standard output.")
  private boolean json;

  @Spec
  private CommandSpec spec;

  /** A change of one entry: {@code +} new, {@code -} gone, {@code ~} altered or moved. */
  private record Change(char kind, String key) {}

  @Override
  public Integer call() throws IOException, InterruptedException {
    ControlApi machine = new ControlApi(ControlAddresses.one(spec, "--to", to));
    String text = ConfigFile.read(file, spec.commandLine().getErr());
    if (text == null) {
      return 2;
    }
    StoredConfiguration current = machine.fetch();
    ConfigurationVersion version = current == null ? ConfigurationVersion.NONE : current.version();
    List<Change> changes = changes(current == null ? "" : current.text(), text);
    if (json) {
      JsonOutput.print(spec, out -> write(out, version, changes));
    } else {
      PrintWriter out = spec.commandLine().getOut();
      out.println("against version " + version + ": " + changes.size() + " entries differ");
      changes.forEach(c -> out.println(c.kind() + " " + name(c.key())));
    }
    return changes.isEmpty() ? 0 : 1;
  }

  private static String name(String key) {
    return key.isEmpty() ? "(before the first header)" : key;
  }

  private static List<Change> changes(String before, String after) {
    ConfigurationDocument base = ConfigurationDocument.parse(before);
    ConfigurationDelta delta = ConfigurationDocument.parse(after)
        .deltaFrom(base, ConfigurationVersion.NONE, ConfigurationVersion.of(1, 1, after));
    Set<String> known = base.entries().stream().map(Entry::key).collect(Collectors.toSet());
    List<Change> changes = new ArrayList<>();
    delta.removed().stream().sorted().forEach(key -> changes.add(new Change('-', key)));
    delta
        .upserted()
        .forEach(u -> changes.add(new Change(known.contains(u.key()) ? '~' : '+', u.key())));
    return changes;
  }

  private static void write(JsonGenerator out, ConfigurationVersion version, List<Change> changes)
      throws IOException {
    out.writeStringField("version", version.text());
    out.writeArrayFieldStart("changes");
    for (Change change : changes) {
      out.writeStartObject();
      out.writeStringField("kind", String.valueOf(change.kind()));
      out.writeStringField("key", change.key());
      out.writeEndObject();
    }
    out.writeEndArray();
  }
}
