package pumicekeel.fleet;

import java.io.IOException;
import java.net.UnixDomainSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;

/** A command to a running daemon, by the socket in its run directory. */
public final class Control {

  private static final int MOST_ANSWER = 1 << 20;

  private Control() {}

  /** The daemon's answer, a JSON object; an IOException says in one line why there is none. */
  public static String call(Path directory, String command) throws IOException {
    Path socket = RunDirectory.socket(directory.toAbsolutePath().normalize());
    try (SocketChannel channel = SocketChannel.open(UnixDomainSocketAddress.of(socket))) {
      channel.write(ByteBuffer.wrap((command + "\n").getBytes(StandardCharsets.UTF_8)));
      ByteBuffer in = ByteBuffer.allocate(MOST_ANSWER);
      while (in.hasRemaining() && channel.read(in) >= 0) {
        // The daemon closes behind its answer.
      }
      String answer = new String(in.array(), 0, in.position(), StandardCharsets.UTF_8).strip();
      if (answer.isEmpty()) {
        throw new IOException("the daemon gave no answer");
      }
      return answer;
    } catch (java.net.SocketException | java.nio.file.FileSystemException e) {
      throw new IOException("no daemon answers in " + directory + ": " + e.getMessage());
    }
  }
}
