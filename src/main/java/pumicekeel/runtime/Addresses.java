package pumicekeel.runtime;

import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;

/** Formats and parses socket addresses as used by the platform, lists and files. */
public final class Addresses {

  private Addresses() {}

  /** Formats an address as {@link #parse} reads it. */
  public static String text(InetSocketAddress address) {
    return address.getAddress().getHostAddress() + ":" + address.getPort();
  }

  /**
   * Parses an address and a port; host names are not supported, as there is no DNS and a look-up would block the loop.
   */
  public static InetSocketAddress parse(String what, String text) {
    int colon = text.lastIndexOf(':');
    InetAddress host =
        colon < 0 ? null : NetUtil.createInetAddressFromIpAddressString(text.substring(0, colon));
    try {
      if (host != null) {
        return new InetSocketAddress(host, Integer.parseInt(text.substring(colon + 1)));
      }
    } catch (IllegalArgumentException e) {
      // Reported below: the port is not a number or out of range.
    }
    throw new IllegalArgumentException(what + ": expected ADDRESS:PORT, got \"" + text + "\"");
  }
}
