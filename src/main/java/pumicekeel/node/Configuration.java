package pumicekeel.node;

import io.netty.util.NetUtil;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import pumicekeel.Balancer.Settings;
import pumicekeel.adapter.Decoder;
import pumicekeel.adapter.Fields;

/** What the platform tells a balancer at its start; a bad value is an IllegalArgumentException that names it. */
record Configuration(String name, InetSocketAddress listen, InetSocketAddress discovery, long seed, int sockets,
    HostList known, Settings settings) {

  /** Reads the file that PROXY_CONFIG names; the other variables, where set, come before what it says. */
  static Configuration read(Map<String, String> environment) throws IOException {
    String file = environment.get("PROXY_CONFIG");
    if (file == null) {
      throw new IllegalArgumentException("PROXY_CONFIG is not set");
    }
    Fields f = Fields.parse("configuration", Files.readString(Path.of(file)));
    Fields known = f.nested("known");
    return new Configuration(
        variable(environment, "PROXY_NAME", f, "name"),
        address("listen", variable(environment, "PROXY_LISTEN", f, "listen")),
        address("discovery", variable(environment, "PROXY_DISCOVERY", f, "discovery")),
        seed(f.text("seed")),
        (int) f.nested("limits").integer("sockets", 1024),
        known.has("endpoints") ? HostList.of(known) : new HostList(0, true, java.util.List.of()),
        Decoder.settings(f.nested("settings")));
  }

  /** Reads the file again at a reload: then it wins, for the other variables are as old as the process. */
  static Configuration reread(Map<String, String> environment) throws IOException {
    return read(Map.of("PROXY_CONFIG", environment.getOrDefault("PROXY_CONFIG", "")));
  }

  private static String variable(Map<String, String> environment, String variable, Fields f, String name) {
    String value = environment.get(variable);
    return value == null || value.isEmpty() ? f.text(name) : value;
  }

  private static long seed(String text) {
    try {
      return Long.parseUnsignedLong(text, 16);
    } catch (NumberFormatException e) {
      throw new IllegalArgumentException("seed: expected hex digits, got \"" + text + "\"");
    }
  }

  /** An address and a port; no names, since there is no DNS and a look-up would block the loop. */
  static InetSocketAddress address(String what, String text) {
    int colon = text.lastIndexOf(':');
    InetAddress host = colon < 0 ? null : NetUtil.createInetAddressFromIpAddressString(text.substring(0, colon));
    try {
      if (host != null) {
        return new InetSocketAddress(host, Integer.parseInt(text.substring(colon + 1)));
      }
    } catch (IllegalArgumentException e) {
      // Said below: a port that is no number or out of range.
    }
    throw new IllegalArgumentException(what + ": expected ADDRESS:PORT, got \"" + text + "\"");
  }
}
