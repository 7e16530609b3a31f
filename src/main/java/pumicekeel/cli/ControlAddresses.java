package pumicekeel.cli;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.ParameterException;
import pumicekeel.runtime.Addresses;

/** Addresses of control machines as options; one that is none ends the command with one line. */
final class ControlAddresses {

  private ControlAddresses() {}

  static InetSocketAddress one(CommandSpec spec, String option, String text) {
    try {
      return Addresses.parse(option, text);
    } catch (IllegalArgumentException e) {
      throw new ParameterException(spec.commandLine(), e.getMessage());
    }
  }

  static List<InetSocketAddress> all(CommandSpec spec, String option, List<String> texts) {
    List<InetSocketAddress> out = new ArrayList<>();
    for (String text : texts) {
      InetSocketAddress address = one(spec, option, text);
      if (!out.contains(address)) {
        out.add(address);
      }
    }
    return out;
  }
}
