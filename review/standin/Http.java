import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** Reads HTTP/1.1 messages from a blocking socket. */
final class Http {

  /** A message: its first line, its headers by lower-case name, and its body. */
  record Message(String firstLine, Map<String, String> headers, byte[] body) {
    String header(String name) {
      return headers.get(name.toLowerCase(Locale.ROOT));
    }

    /** Returns the status of an answer. */
    int status() {
      return Integer.parseInt(firstLine.split(" ")[1]);
    }

    boolean closes() {
      return "close".equalsIgnoreCase(headers.getOrDefault("connection", ""));
    }
  }

  private Http() {}

  /** Reads one message; returns null if the connection ended before its first byte. */
  static Message read(BufferedInputStream in) throws IOException {
    String first = line(in);
    if (first == null) {
      return null;
    }
    Map<String, String> headers = new LinkedHashMap<>();
    for (String next = line(in); ; next = line(in)) {
      if (next == null) {
        throw new EOFException("the message ended in its head");
      }
      if (next.isEmpty()) {
        break;
      }
      int colon = next.indexOf(':');
      headers.put(next.substring(0, colon).trim().toLowerCase(Locale.ROOT), next.substring(colon + 1).trim());
    }
    return new Message(first, headers, body(in, first, headers));
  }

  private static byte[] body(InputStream in, String first, Map<String, String> headers)
      throws IOException {
    if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
      ByteArrayOutputStream all = new ByteArrayOutputStream();
      while (true) {
        String size = line(in);
        if (size == null) {
          throw new EOFException("the message ended in its body");
        }
        int length = Integer.parseInt(size.trim(), 16);
        all.write(exactly(in, length));
        line(in);
        if (length == 0) {
          return all.toByteArray();
        }
      }
    }
    String length = headers.get("content-length");
    if (length != null) {
      return exactly(in, Integer.parseInt(length));
    }
    // An answer without a length lasts until its connection ends; a request without one has no body.
    return first.startsWith("HTTP/") ? in.readAllBytes() : new byte[0];
  }

  private static byte[] exactly(InputStream in, int length) throws IOException {
    byte[] bytes = in.readNBytes(length);
    if (bytes.length < length) {
      throw new EOFException("the message ended in its body");
    }
    return bytes;
  }

  private static String line(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    for (int c = in.read(); c != '\n'; c = in.read()) {
      if (c < 0) {
        return line.size() == 0 ? null : line.toString(StandardCharsets.ISO_8859_1);
      }
      if (c != '\r') {
        line.write(c);
      }
    }
    return line.toString(StandardCharsets.ISO_8859_1);
  }
}
