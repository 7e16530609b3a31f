package pumicekeel.rig;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;

/** Ports for processes that have to listen at the same address again after a restart. */
public final class FreePorts {

  /** Where Linux begins to give ports to connections unless it is told otherwise (ip_local_port_range). */
  private static final int EPHEMERAL_PORTS = 32_768;

  private static final int LOWEST_PORT = 20_000;
  private static final int MOST_TRIES = 200;

  private FreePorts() {}

  /**
   * The first of a block of ports that are free now. Below those that the system gives to connections: between the look and a
   * process's start, a connection of any program on the machine may get one of them, and that process can't listen.
   */
  public static int findBlock(int count) throws IOException {
    for (int tries = 0; tries < MOST_TRIES; tries++) {
      List<ServerSocket> held = new ArrayList<>();
      try {
        int first = ThreadLocalRandom.current().nextInt(LOWEST_PORT, EPHEMERAL_PORTS - count);
        for (int i = 0; i < count; i++) {
          held.add(new ServerSocket(first + i, 1, InetAddress.getLoopbackAddress()));
        }
        return first;
      } catch (IOException | IllegalArgumentException e) {
        // One of them is taken: another block.
      } finally {
        for (ServerSocket socket : held) {
          socket.close();
        }
      }
    }
    throw new IOException("no block of " + count + " free ports");
  }
}
