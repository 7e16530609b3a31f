package pumicekeel.fleet;

import java.io.IOException;
import java.net.UnixDomainSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;

/** Sends commands to a running daemon through the control socket in its run directory. */
public final class Control {

  private static final int MAX_RESPONSE_BYTES = 1 << 20;

  private Control() {}

  /** Returns the daemon's response, a JSON object. Fails with an IOException whose message is one line if there is none. */
  public static String call(Path directory, String command) throws IOException {
    Path socket = RunDirectory.socket(directory.toAbsolutePath().normalize());
    try (SocketChannel channel = SocketChannel.open(UnixDomainSocketAddress.of(socket))) {
      channel.write(ByteBuffer.wrap((command + "\n").getBytes(StandardCharsets.UTF_8)));
      ByteBuffer in = ByteBuffer.allocate(MAX_RESPONSE_BYTES);
      while (in.hasRemaining() && channel.read(in) >= 0) {
        // The daemon closes the connection after its response.
      }
      String response = new String(in.array(), 0, in.position(), StandardCharsets.UTF_8).strip();
      if (response.isEmpty()) {
        throw new IOException("the daemon gave no answer");
      }
      return response;
    } catch (java.net.SocketException | java.nio.file.FileSystemException e) {
      throw new IOException("no daemon answers in " + directory + ": " + e.getMessage());
    }
  }
}
