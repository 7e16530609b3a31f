package pumicekeel.fleet;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;

/**
 * Settings of a daemon.
 *
 * @param first address of instance 0; each further instance uses the next port. With one address, those of the admin endpoints
 * @param oneAddress whether all instances accept clients from the listening socket passed to the daemon as descriptor 0
 * @param operator the operator file of all instances, or null
 * @param configuration the platform's configuration of all instances
 * @param command the command that starts a JVM, without {@code serve}; the marker is inserted after its first word
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

  /** Creates settings of instances with an address each. */
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

  /** Maximum number of instances, more than a machine has cores for; each takes about 60 MB. */
  public static final int MAX_INSTANCES = 256;

  InetSocketAddress addressOf(int instance) {
    return new InetSocketAddress(first.getAddress(), first.getPort() + instance);
  }
}
