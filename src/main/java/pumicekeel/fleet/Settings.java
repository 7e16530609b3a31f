package pumicekeel.fleet;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;

/**
 * What a daemon runs.
 *
 * @param first where instance 0 listens; each further one at the next port. With one address, where its operators' door is
 * @param oneAddress whether all take clients from the listening socket that is the daemon's own descriptor 0
 * @param operator the operator file of all, or null
 * @param configuration the platform's configuration of all
 * @param command how a JVM is started, up to and without {@code serve}; the marker goes behind its first word
 */
public record Settings(
    int instances,
    Path directory,
    InetSocketAddress first,
    Path operator,
    Path configuration,
    String name,
    List<String> command,
    Limits limits,
    boolean oneAddress) {

  /** Instances with an address each. */
  public Settings(
      int instances,
      Path directory,
      InetSocketAddress first,
      Path operator,
      Path configuration,
      String name,
      List<String> command,
      Limits limits) {
    this(instances, directory, first, operator, configuration, name, command, limits, false);
  }

  /** More than a machine has cores for; each costs some 60 MB. */
  public static final int MAX_INSTANCES = 256;

  InetSocketAddress addressOf(int instance) {
    return new InetSocketAddress(first.getAddress(), first.getPort() + instance);
  }
}
