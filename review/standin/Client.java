import java.io.BufferedInputStream;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;

/** One client connection: one request at a time. */
final class Client implements Closeable {

  /** How a request ended: the answer's status, or 0 with a reason for no whole answer. */
  record Result(int status, byte[] body, String reason) {}

  private final Socket socket = new Socket();
  private final BufferedInputStream in;
  private boolean open = true;

  Client(String address) throws IOException {
    int colon = address.indexOf(':');
    socket.setTcpNoDelay(true);
    socket.connect(
        new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))), 3_000);
    in = new BufferedInputStream(socket.getInputStream());
  }

  /** Returns whether the connection can take another request. */
  boolean open() {
    return open;
  }

  /** Sends a request in one write and reads its answer, for so many milliseconds from the last byte. */
  Result exchange(byte[] request, int millis) {
    write(request);
    return read(millis);
  }

  /** Writes a request, or a part of one, at once. */
  void write(byte[] request) {
    try {
      socket.getOutputStream().write(request);
    } catch (IOException e) {
      // An answer may have come before; the read tells.
      open = false;
    }
  }

  /** Reads an answer. */
  Result read(int millis) {
    try {
      socket.setSoTimeout(millis);
      Http.Message answer = Http.read(in);
      if (answer == null) {
        open = false;
        return new Result(0, null, "closed");
      }
      open &= !answer.closes();
      return new Result(answer.status(), answer.body(), null);
    } catch (SocketTimeoutException e) {
      open = false;
      return new Result(0, null, "time-out");
    } catch (IOException e) {
      open = false;
      return new Result(0, null, String.valueOf(e.getMessage()));
    }
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
