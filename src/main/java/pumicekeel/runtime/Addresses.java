package pumicekeel.runtime;

import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;

/** Socket addresses as the platform, lists and files write them. */
public final class Addresses {

  private Addresses() {}

  /** An address as it is parsed here. */
  public static String text(InetSocketAddress address) {
    return address.getAddress().getHostAddress() + ":" + address.getPort();
  }

  /** An address and a port; no names, since there is no DNS and a look-up would block the loop. */
  public static InetSocketAddress parse(String what, String text) {
    int colon = text.lastIndexOf(':');
    InetAddress host =
        colon < 0 ? null : NetUtil.createInetAddressFromIpAddressString(text.substring(0, colon));
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
