package pumicekeel.config;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.net.UnixDomainSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import pumicekeel.Balancer.Settings;
import pumicekeel.adapter.Decoder;
import pumicekeel.adapter.Fields;
import pumicekeel.discovery.HostList;
import pumicekeel.runtime.Addresses;

/**
 * The platform's configuration of a balancer at start-up. An invalid value causes an IllegalArgumentException that names its key.
 *
 * @param supervised whether a fleet daemon manages this instance: it restarts a few instances at a time, so others serve meanwhile
 * @param admin the address of the admin endpoint; null for none
 * @param inherited whether the client listening socket is descriptor 0 of the process, which other processes may share
 * @param read the parsed file; empty if there was none
 */
public record Configuration(
    String name,
    InetSocketAddress listen,
    InetSocketAddress discovery,
    long seed,
    int sockets,
    HostList known,
    Settings settings,
    boolean supervised,
    SocketAddress admin,
    boolean inherited,
    Map<?, ?> read) {

  /** Prefix of an admin address that is a Unix domain socket, protected by file system permissions. */
  public static final String UNIX_PREFIX = "unix:";

  /** Creates a configuration without a fleet daemon, an admin endpoint or an inherited socket. */
  public Configuration(
      String name,
      InetSocketAddress listen,
      InetSocketAddress discovery,
      long seed,
      int sockets,
      HostList known,
      Settings settings) {
    this(name, listen, discovery, seed, sockets, known, settings, false, null, false, Map.of());
  }

  /** Reads the file that PROXY_CONFIG names; the other environment variables, where set, override its values. */
  public static Configuration read(Map<String, String> environment) throws IOException {
    String file = environment.get("PROXY_CONFIG");
    if (file == null) {
      throw new IllegalArgumentException("PROXY_CONFIG is not set");
    }
    Fields f = Fields.parse("configuration", Files.readString(Path.of(file)));
    Fields known = f.nested("known");
    return new Configuration(
        variableOrField(environment, "PROXY_NAME", f, "name"),
        Addresses.parse("listen", variableOrField(environment, "PROXY_LISTEN", f, "listen")),
        Addresses.parse(
            "discovery", variableOrField(environment, "PROXY_DISCOVERY", f, "discovery")),
        seed(f.text("seed")),
        (int) f.nested("limits").integer("sockets", 1024),
        known.has("endpoints") ? HostList.of(known) : new HostList(0, true, java.util.List.of()),
        withGroup(environment.get("PROXY_GROUP"), Decoder.settings(f.nested("settings"))),
        !environment.getOrDefault("PROXY_GROUP", "").isEmpty(),
        admin(environment, f),
        inherited(environment.getOrDefault("PROXY_SOCKET_FD", "")),
        f.values());
  }

  private static SocketAddress admin(Map<String, String> environment, Fields f) {
    String variable = environment.getOrDefault("PROXY_ADMIN", "");
    String value = variable.isEmpty() ? f.text("admin", "") : variable;
    if (value.startsWith(UNIX_PREFIX)) {
      return UnixDomainSocketAddress.of(value.substring(UNIX_PREFIX.length()));
    }
    return value.isEmpty() ? null : Addresses.parse("admin", value);
  }

  /** Java can only inherit a listening socket as descriptor 0. */
  private static boolean inherited(String descriptor) {
    if (!descriptor.isEmpty() && !descriptor.equals("0")) {
      throw new IllegalArgumentException("PROXY_SOCKET_FD: expected 0, got \"" + descriptor + "\"");
    }
    return !descriptor.isEmpty();
  }

  /** Applies the instance number and group size, {@code NUMBER/SIZE}, from the fleet daemon: all instances share one file. */
  private static Settings withGroup(String group, Settings s) {
    if (group == null || group.isEmpty()) {
      return s;
    }
    java.util.regex.Matcher m =
        java.util.regex.Pattern.compile("(\\d{1,5})/(\\d{1,5})").matcher(group);
    if (!m.matches() || Integer.parseInt(m.group(1)) >= Integer.parseInt(m.group(2))) {
      throw new IllegalArgumentException(
          "PROXY_GROUP: expected NUMBER/SIZE, got \"" + group + "\"");
    }
    return new Settings(
        Integer.parseInt(m.group(1)),
        Integer.parseInt(m.group(2)),
        s.zone(),
        s.classes(),
        s.tenants(),
        s.limits(),
        s.contract(),
        s.prices(),
        s.listOnRequest(),
        s.weightKind(),
        s.overShareWorth(),
        s.warmKeys(),
        s.tickNanos());
  }

  /**
   * Reads the file again for a reload. The file then overrides the environment, whose values date from the process start,
   * except for PROXY_GROUP, which the fleet daemon sets. A file that lacks a key of the previous one is rejected.
   */
  public Configuration reread(Map<String, String> environment) throws IOException {
    Configuration next = read(Map.of(
        "PROXY_CONFIG",
        environment.getOrDefault("PROXY_CONFIG", ""),
        "PROXY_GROUP",
        environment.getOrDefault("PROXY_GROUP", "")));
    String missing = RequiredKeys.firstMissing(read, next.read);
    if (missing != null) {
      throw new IllegalArgumentException(missing + ": expected a value, as before, got none");
    }
    return next;
  }

  private static String variableOrField(
      Map<String, String> environment, String variable, Fields f, String name) {
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
}
