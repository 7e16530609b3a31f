package pumicekeel.cli;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import pumicekeel.runtime.Addresses;

/** Parses addresses of control machines given as options; an invalid one ends the command with a usage error. */
final class ControlAddresses {

  private ControlAddresses() {}

  static InetSocketAddress parse(CommandSpec spec, String option, String text) {
    try {
      return Addresses.parse(option, text);
    } catch (IllegalArgumentException e) {
      throw new ParameterException(spec.commandLine(), e.getMessage());
    }
  }

  static List<InetSocketAddress> parseAll(CommandSpec spec, String option, List<String> texts) {
    List<InetSocketAddress> addresses = new ArrayList<>();
    for (String text : texts) {
      InetSocketAddress address = parse(spec, option, text);
      if (!addresses.contains(address)) {
        addresses.add(address);
      }
    }
    return addresses;
  }
}
