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
 * What the platform tells a balancer at its start; a bad value is an IllegalArgumentException that names it.
 *
 * @param supervised a fleet's daemon restarts instances a few at a time: while this one stops, others are there
 * @param admin where operators call; null for nowhere
 * @param inherited whether the clients' listening socket is the process's descriptor 0, which others may hold too
 * @param read the file as it was read; empty where there was none
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

  /** An operators' door at a path of the file system, which only those reach who may enter there. */
  public static final String UNIX_PREFIX = "unix:";

  /** One of which nothing is known of others. */
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

  /** Reads the file that PROXY_CONFIG names; the other variables, where set, come before what it says. */
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

  /** Java adopts a socket as descriptor 0 only. */
  private static boolean inherited(String descriptor) {
    if (!descriptor.isEmpty() && !descriptor.equals("0")) {
      throw new IllegalArgumentException("PROXY_SOCKET_FD: expected 0, got \"" + descriptor + "\"");
    }
    return !descriptor.isEmpty();
  }

  /** What a fleet's daemon says, as {@code NUMBER/SIZE}: one configuration serves all its instances. */
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
   * Reads the file again at a reload: then it wins, for the other variables are as old as the process; only who this
   * instance is in a fleet stays the daemon's word. One that lacks a key which this one had is no good.
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
