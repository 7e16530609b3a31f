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

/** Shows the entries that publishing a file would change. */
@Command(
    name = "diff",
    mixinStandardHelpOptions = true,
    description =
        "Show the entries in which a file differs from the version that a control machine has.",
    footer = {
      "Exit status: 0 if nothing differs, 1 if an entry does, 2 for an invalid file or option."
    })
final class ConfigDiff implements Callable<Integer> {

  @Parameters(index = "0", paramLabel = "FILE", description = "The file to compare.")
  private Path file;

  @Option(
      names = "--to",
      paramLabel = "HOST:PORT",
      required = true,
      description = "The control machine to compare with.")
  private String to;

  @Option(names = "--json", description = "Print one JSON object on standard output.")
  private boolean json;

  @Spec
  private CommandSpec spec;

  /** A change of one entry: {@code +} added, {@code -} removed, {@code ~} changed or moved. */
  private record Change(char kind, String key) {}

  @Override
  public Integer call() throws IOException, InterruptedException {
    ControlApi machine = new ControlApi(ControlAddresses.parse(spec, "--to", to));
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
      out.println("compared with version " + version + ": " + changes.size() + " entries differ");
      changes.forEach(c -> out.println(c.kind() + " " + displayName(c.key())));
    }
    return changes.isEmpty() ? 0 : 1;
  }

  private static String displayName(String key) {
    return key.isEmpty() ? "(before the first header)" : key;
  }

  private static List<Change> changes(String before, String after) {
    ConfigurationDocument base = ConfigurationDocument.parse(before);
    ConfigurationDelta delta = ConfigurationDocument.parse(after)
        .deltaFrom(base, ConfigurationVersion.NONE, ConfigurationVersion.of(1, 1, after));
    Set<String> existingKeys = base.entries().stream().map(Entry::key).collect(Collectors.toSet());
    List<Change> changes = new ArrayList<>();
    delta.removed().stream().sorted().forEach(key -> changes.add(new Change('-', key)));
    delta
        .upserted()
        .forEach(u -> changes.add(new Change(existingKeys.contains(u.key()) ? '~' : '+', u.key())));
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
