package pumicekeel.cli;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.PrintWriter;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;
import pumicekeel.delivery.ConfigurationVersion;
import pumicekeel.delivery.client.ControlApi;
import pumicekeel.delivery.client.ControlCluster;
import pumicekeel.runtime.Addresses;

/** Shows which version each control machine and each balancer has. */
@Command(
    name = "status",
    mixinStandardHelpOptions = true,
    description = "Show which version is where, who is behind, by how much and why.",
    footer = {"Exit status: 0 if all have the newest version, 1 if not, 2 for an invalid option."})
final class ConfigStatus implements Callable<Integer> {

  @Option(
      names = "--to",
      paramLabel = "HOST:PORT",
      split = ",",
      required = true,
      description = "All control machines.")
  private List<String> to;

  @Option(names = "--all", description = "Show all balancers, not only those that are behind.")
  private boolean all;

  @Option(
      names = "--json",
      description = "Print one JSON object on standard output, with all balancers.")
  private boolean json;

  @Spec
  private CommandSpec spec;

  @Override
  public Integer call() throws IOException, InterruptedException {
    List<ControlCluster.Answer<ControlApi.Status>> machines =
        new ControlCluster(ControlAddresses.parseAll(spec, "--to", to)).statuses();
    ConfigurationVersion newest = ControlCluster.newest(machines);
    Collection<ControlApi.Replica> replicas = latestReports(machines);
    if (json) {
      JsonOutput.print(spec, out -> write(out, machines, newest, replicas));
    } else {
      print(machines, newest, replicas);
    }
    boolean machinesUpToDate =
        machines.stream().allMatch(m -> m.value() != null && m.value().current().equals(newest));
    return machinesUpToDate && replicas.stream().allMatch(r -> isCurrent(r, newest)) ? 0 : 1;
  }

  /** Returns each balancer's latest report; a balancer calls the machines in turn, so several may know it. */
  private static Collection<ControlApi.Replica> latestReports(
      List<ControlCluster.Answer<ControlApi.Status>> machines) {
    Map<String, ControlApi.Replica> byName = new TreeMap<>();
    for (ControlCluster.Answer<ControlApi.Status> machine : machines) {
      for (ControlApi.Replica replica : machine.value() == null
          ? List.<ControlApi.Replica>of()
          : machine.value().replicas()) {
        byName.merge(
            replica.report().name(),
            replica,
            (a, b) -> a.lastReportMillisAgo() <= b.lastReportMillisAgo() ? a : b);
      }
    }
    return byName.values();
  }

  private static boolean isCurrent(ControlApi.Replica replica, ConfigurationVersion newest) {
    return replica.report().inForce().equals(newest);
  }

  private static String versionsBehind(ControlApi.Replica replica, ConfigurationVersion newest) {
    ConfigurationVersion inForce = replica.report().inForce();
    return inForce.epoch() == newest.epoch()
        ? Long.toString(newest.sequence() - inForce.sequence())
        : "another epoch";
  }

  private void print(
      List<ControlCluster.Answer<ControlApi.Status>> machines,
      ConfigurationVersion newest,
      Collection<ControlApi.Replica> replicas) {
    PrintWriter out = spec.commandLine().getOut();
    for (ControlCluster.Answer<ControlApi.Status> machine : machines) {
      out.println("control machine " + Addresses.text(machine.address()) + ": "
          + (machine.value() == null
              ? "no answer: " + machine.error()
              : "version " + machine.value().current()));
    }
    long behind = replicas.stream().filter(r -> !isCurrent(r, newest)).count();
    out.println("newest version " + newest + ", " + replicas.size() + " subscribers, " + behind
        + " of them behind");
    for (ControlApi.Replica replica : replicas) {
      if (all || !isCurrent(replica, newest)) {
        out.println(replica.report().name() + ": version " + replica.report().inForce()
            + ", behind: " + versionsBehind(replica, newest) + ", last report "
            + replica.lastReportMillisAgo() + " ms ago"
            + (replica.report().trouble().isEmpty()
                ? ""
                : ": " + replica.report().trouble()));
      }
    }
  }

  private static void write(
      JsonGenerator out,
      List<ControlCluster.Answer<ControlApi.Status>> machines,
      ConfigurationVersion newest,
      Collection<ControlApi.Replica> replicas)
      throws IOException {
    out.writeStringField("newest", newest.text());
    out.writeArrayFieldStart("machines");
    for (ControlCluster.Answer<ControlApi.Status> machine : machines) {
      out.writeStartObject();
      out.writeStringField("address", Addresses.text(machine.address()));
      out.writeStringField(
          "version", machine.value() == null ? null : machine.value().current().text());
      out.writeStringField("error", machine.error());
      out.writeEndObject();
    }
    out.writeEndArray();
    out.writeArrayFieldStart("subscribers");
    for (ControlApi.Replica replica : replicas) {
      out.writeStartObject();
      out.writeStringField("name", replica.report().name());
      out.writeStringField("in-force", replica.report().inForce().text());
      out.writeStringField("refused", replica.report().refused().text());
      out.writeStringField("behind", versionsBehind(replica, newest));
      out.writeStringField("trouble", replica.report().trouble());
      out.writeNumberField("heard-ms-ago", replica.lastReportMillisAgo());
      out.writeEndObject();
    }
    out.writeEndArray();
  }
}
