package pumicekeel.rig;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;

/** Finds ports for processes that have to listen on the same address again after a restart. */
public final class FreePorts {

  /** The first ephemeral port, by the default of Linux (ip_local_port_range). */
  private static final int FIRST_EPHEMERAL_PORT = 32_768;

  private static final int LOWEST_PORT = 20_000;
  private static final int MAX_ATTEMPTS = 200;

  private FreePorts() {}

  /**
   * Returns the first port of a block of consecutive ports that are free now. The block lies below the ephemeral ports: an outgoing
   * connection of any program on the machine could be given one of those between this check and the start of the process, which then
   * could not listen.
   *
   * @throws IOException if no free block was found
   */
  public static int findBlock(int count) throws IOException {
    for (int attempt = 0; attempt < MAX_ATTEMPTS; attempt++) {
      List<ServerSocket> held = new ArrayList<>();
      try {
        int first = ThreadLocalRandom.current().nextInt(LOWEST_PORT, FIRST_EPHEMERAL_PORT - count);
        for (int i = 0; i < count; i++) {
          held.add(new ServerSocket(first + i, 1, InetAddress.getLoopbackAddress()));
        }
        return first;
      } catch (IOException | IllegalArgumentException e) {
        // One of the ports is in use: try another block.
      } finally {
        for (ServerSocket socket : held) {
          socket.close();
        }
      }
    }
    throw new IOException("no block of " + count + " free ports found");
  }
}
