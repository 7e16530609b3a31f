package pumicekeel.cli;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;
import pumicekeel.delivery.client.ControlApi;
import pumicekeel.delivery.client.ControlCluster;
import pumicekeel.runtime.Addresses;

/** Publishes a file to all control machines. */
@Command(
    name = "publish",
    mixinStandardHelpOptions = true,
    description =
        "Check a file and publish it as the next version; a majority of the machines has to keep it.",
    footer = {
      "Publishing the same file again gives the same version, so a publish without a majority can be repeated.",
      "Exit status: 0 if a majority keeps it, 1 if not, 2 for an invalid file or option."
    })
final class ConfigPublish implements Callable<Integer> {

  @Parameters(
      index = "0",
      paramLabel = "FILE",
      description = "An operator file without [process], [journal], [peers] and [control].")
  private Path file;

  @Option(
      names = "--to",
      paramLabel = "HOST:PORT",
      split = ",",
      required = true,
      description = "All control machines; the majority is counted among these.")
  private List<String> to;

  @Option(
      names = "--epoch",
      paramLabel = "N",
      required = true,
      description =
          "The writer's epoch, 1 or more. A writer that takes over from another uses a higher one.")
  private long epoch;

  @Option(names = "--dry-run", description = "Check whether it would be kept; change nothing.")
  private boolean dryRun;

  @Option(names = "--json", description = "Print one JSON object on standard output.")
  private boolean json;

  @Spec
  private CommandSpec spec;

  @Override
  public Integer call() throws IOException, InterruptedException {
    if (epoch < 1) {
      throw new ParameterException(spec.commandLine(), "--epoch: expected 1 or more");
    }
    List<InetSocketAddress> machines = ControlAddresses.parseAll(spec, "--to", to);
    String text = ConfigFile.read(file, spec.commandLine().getErr());
    if (text == null) {
      return 2;
    }
    ControlCluster.Publication publication =
        new ControlCluster(machines).publish(epoch, dryRun, text);
    if (json) {
      JsonOutput.print(spec, out -> write(out, publication));
    } else {
      print(publication);
    }
    return publication.isAcknowledged() ? 0 : 1;
  }

  private void print(ControlCluster.Publication publication) {
    PrintWriter out = spec.commandLine().getOut();
    PrintWriter err = spec.commandLine().getErr();
    if (publication.refusal() != null) {
      err.println("not published: " + publication.refusal());
      return;
    }
    for (ControlCluster.Answer<ControlApi.Published> answer : publication.answers()) {
      out.println(Addresses.text(answer.address()) + ": " + resultOf(answer));
      if (answer.value() != null) {
        answer.value().lines().forEach(line -> out.println("  " + line));
      }
    }
    if (publication.isAcknowledged()) {
      out.println("version " + publication.version() + (dryRun ? " would be" : " is")
          + " kept by a majority");
    } else {
      err.println(
          "version " + publication.version() + " is not kept by a majority; it may still take"
              + " effect: publish it again, or publish another one");
    }
  }

  private static String resultOf(ControlCluster.Answer<ControlApi.Published> answer) {
    return answer.value() == null
        ? "no answer: " + answer.error()
        : answer.value().result().replace('_', ' ');
  }

  private static void write(JsonGenerator out, ControlCluster.Publication publication)
      throws IOException {
    out.writeBooleanField("acknowledged", publication.isAcknowledged());
    out.writeStringField(
        "version", publication.version() == null ? null : publication.version().text());
    out.writeStringField("refusal", publication.refusal());
    out.writeArrayFieldStart("machines");
    for (ControlCluster.Answer<ControlApi.Published> answer : publication.answers()) {
      out.writeStartObject();
      out.writeStringField("address", Addresses.text(answer.address()));
      out.writeStringField(
          "result", answer.value() == null ? null : answer.value().result());
      out.writeStringField("error", answer.error());
      out.writeArrayFieldStart("lines");
      for (String line :
          answer.value() == null ? List.<String>of() : answer.value().lines()) {
        out.writeString(line);
      }
      out.writeEndArray();
      out.writeEndObject();
    }
    out.writeEndArray();
  }
}
