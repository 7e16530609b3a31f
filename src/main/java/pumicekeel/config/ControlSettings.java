package pumicekeel.config;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import pumicekeel.runtime.Addresses;

/**
 * The table {@code [control]}: where configurations are delivered from. Takes effect only at start-up.
 *
 * @param addresses the addresses of the control machines, 1 to 16
 * @param directory the directory that stores the last delivered versions
 */
public record ControlSettings(List<InetSocketAddress> addresses, Path directory) {

  private static final int MAX_ADDRESSES = 16;

  /** Reads the table; returns null if there is none. */
  static ControlSettings read(Section s) {
    if (s == null) {
      return null;
    }
    List<InetSocketAddress> addresses = new ArrayList<>();
    List<String> texts = s.textList("addresses");
    for (String text : texts == null ? List.<String>of() : texts) {
      try {
        addresses.add(Addresses.parse("addresses", text));
      } catch (IllegalArgumentException e) {
        s.addFault(
            "addresses", "expected ADDRESS:PORT, without a name to look up, got \"" + text + "\"");
      }
    }
    String directory =
        s.requiredText("directory", "the directory in which the last delivered versions are kept");
    s.reportUnknownKeys();
    int count = addresses.size();
    if (count < 1 || count > MAX_ADDRESSES || Set.copyOf(addresses).size() != count) {
      s.addFault("addresses", "expected 1 to " + MAX_ADDRESSES + " control machines, each once");
    }
    return new ControlSettings(addresses, directory == null ? null : Path.of(directory));
  }
}
