package pumicekeel.node;

import java.io.Closeable;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** A client connection that writes arbitrary bytes and reads HTTP answers. */
final class TestClient implements Closeable {

  private static final int TIMEOUT_MILLIS = 30_000;
  private static final int SHORT_WAIT_MILLIS = 50;

  private final Socket socket = new Socket();
  private final DataInputStream in;

  /** An answer: its status, its head in lower case, and its body. */
  record Reply(int status, String head, String body) {}

  TestClient(InetSocketAddress address) throws IOException {
    socket.connect(address, TIMEOUT_MILLIS);
    socket.setSoTimeout(TIMEOUT_MILLIS);
    in = new DataInputStream(socket.getInputStream());
  }

  TestClient send(String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
    return this;
  }

  Reply read() throws IOException {
    return read(new StringBuilder());
  }

  /** Reads the rest of an answer whose first byte was read alone. */
  Reply readAfter(char first) throws IOException {
    return read(new StringBuilder().append(first));
  }

  private Reply read(StringBuilder begun) throws IOException {
    String lower = readHead(begun);
    int at = lower.indexOf("content-length:") + 15;
    byte[] body =
        new byte[Integer.parseInt(lower.substring(at, lower.indexOf('\r', at)).trim())];
    in.readFully(body);
    return new Reply(
        Integer.parseInt(lower.substring(9, 12)), lower, new String(body, StandardCharsets.UTF_8));
  }

  /** Reads the head of an answer, in lower case. */
  String readHead() throws IOException {
    return readHead(new StringBuilder());
  }

  private String readHead(StringBuilder head) throws IOException {
    while (head.length() < 4 || !head.substring(head.length() - 4).equals("\r\n\r\n")) {
      head.append((char) in.readUnsignedByte());
    }
    return head.toString().toLowerCase();
  }

  /** Returns whether the connection is still open after a short while in which more of an answer may be read. */
  boolean isOpen() throws IOException {
    socket.setSoTimeout(SHORT_WAIT_MILLIS);
    try {
      return in.read() >= 0;
    } catch (java.net.SocketTimeoutException e) {
      return true;
    } finally {
      socket.setSoTimeout(TIMEOUT_MILLIS);
    }
  }

  int readByte() throws IOException {
    return in.read();
  }

  Reply call(String text) throws IOException {
    return send(text).read();
  }

  /** Whether the node closes this connection, by a reset or not. */
  boolean ended() {
    try {
      return in.read() < 0;
    } catch (IOException e) {
      return !(e instanceof java.net.SocketTimeoutException);
    }
  }

  /** Whether the node closes this connection without a reset, which could discard data that the client has not read. */
  boolean closedWithoutReset() {
    try {
      return in.read() < 0;
    } catch (IOException e) {
      return false;
    }
  }

  /** Resets the connection, even with data in transit. */
  void reset() throws IOException {
    socket.setSoLinger(true, 0);
    socket.close();
  }

  /** Shuts down the sending side; reading goes on. */
  void halfClose() throws IOException {
    socket.shutdownOutput();
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }

  /** Returns a request of class "look" (safe) with these further header lines, each ended by CRLF. */
  static String look(String id, long leftMillis, String more) {
    return "GET /look/a?b=c HTTP/1.1\r\nHost: h\r\nX-Correlation-Id: " + id
        + "\r\nX-Service-Class: look\r\n"
        + "X-Account: acme\r\nX-Session-Key: k\r\nX-Time-Left-Ms: " + leftMillis + "\r\n" + more
        + "\r\n";
  }

  /** Returns a request of class "order" (keyed, deduplicated within a cell) with a body. */
  static String order(String id, long leftMillis) {
    return "POST /order HTTP/1.1\r\nHost: h\r\nX-Correlation-Id: " + id
        + "\r\nX-Service-Class: order\r\n"
        + "X-Account: acme\r\nX-Session-Key: k\r\nX-Time-Left-Ms: " + leftMillis
        + "\r\nIdempotency-Key: once-" + id + "\r\nContent-Length: 4\r\n\r\nbody";
  }
}
