package pumicekeel.lab.program;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Incremental reader of HTTP/1.1 messages (RFC 9112). Deliberately independent of the program's own codec: the code that checks an answer
 * must not share the defects of the code under test.
 */
final class Messages {

  /** A complete message; the names of header fields are in lower case. */
  record Message(String first, Map<String, String> fields, byte[] body) {

    /** Returns the status code of a response. */
    int status() {
      return Integer.parseInt(first.substring(9, 12));
    }

    /** Returns whether the sender closes the connection after this message. */
    boolean closes() {
      return "close".equalsIgnoreCase(fields.get("connection"));
    }
  }

  /** The input is not valid HTTP. */
  static final class Malformed extends Exception {
    private static final long serialVersionUID = 1L;

    Malformed(String what) {
      super(what, null, false, false);
    }
  }

  private enum State {
    HEAD,
    LENGTH,
    SIZE,
    CHUNK,
    CHUNK_END,
    TRAILER,
    TO_THE_END
  }

  private static final int MOST_HEAD = 64 << 10;

  private final boolean answers;
  private final Consumer<Message> to;
  private final ByteArrayOutputStream line = new ByteArrayOutputStream();
  private final ByteArrayOutputStream body = new ByteArrayOutputStream();
  private State state = State.HEAD;
  private String first;
  private Map<String, String> fields = new HashMap<>();
  private long left;
  /** The next response has no body whatever its header says: it answers a HEAD request. */
  private boolean bare;

  /** Creates a reader of responses, or of requests if {@code answers} is false; {@code to} gets each complete message. */
  Messages(boolean answers, Consumer<Message> to) {
    this.answers = answers;
    this.to = to;
  }

  /** Returns whether no message has been received in part. */
  boolean atRest() {
    return state == State.HEAD && first == null && line.size() == 0;
  }

  /** Selects whether responses have no body whatever their header says, as those to HEAD. */
  void expectBare(boolean on) {
    bare = on;
  }

  /** Processes the first {@code length} of these bytes. */
  void feed(byte[] bytes, int length) throws Malformed {
    int at = 0;
    while (at < length) {
      if (state == State.LENGTH || state == State.CHUNK || state == State.TO_THE_END) {
        int n = (int) Math.min(left, length - at);
        body.write(bytes, at, n);
        at += n;
        left -= n;
        if (left == 0) {
          pieceOver();
        }
      } else {
        byte next = bytes[at++];
        line.write(next);
        if (next == '\n') {
          String text = line.toString(StandardCharsets.ISO_8859_1);
          line.reset();
          if (!text.endsWith("\r\n")) {
            throw new Malformed("line ends without CR");
          }
          line(text.substring(0, text.length() - 2));
        } else if (line.size() > MOST_HEAD) {
          throw new Malformed("line too long");
        }
      }
    }
  }

  /** Processes the end of the stream, which ends a response body without a length. */
  void ended() {
    if (state == State.TO_THE_END) {
      over();
    }
  }

  private void pieceOver() {
    if (state == State.LENGTH) {
      over();
    } else {
      state = State.CHUNK_END;
    }
  }

  private void line(String text) throws Malformed {
    switch (state) {
      case SIZE -> {
        left = Long.parseLong(text, 16);
        state = left == 0 ? State.TRAILER : State.CHUNK;
      }
      case CHUNK_END -> {
        if (!text.isEmpty()) {
          throw new Malformed("chunk is longer than its announced size");
        }
        state = State.SIZE;
      }
      case TRAILER -> {
        if (text.isEmpty()) {
          over();
        }
      }
      default -> head(text);
    }
  }

  private void head(String text) throws Malformed {
    if (first == null) {
      if (answers && !text.matches("HTTP/1\\.1 [1-5][0-9][0-9].*")) {
        throw new Malformed("invalid status line: " + text);
      }
      first = text;
    } else if (text.isEmpty()) {
      headOver();
    } else {
      int colon = text.indexOf(':');
      if (colon < 1) {
        throw new Malformed("invalid header field: " + text);
      }
      fields.put(
          text.substring(0, colon).toLowerCase(Locale.ROOT),
          text.substring(colon + 1).strip());
    }
  }

  private void headOver() throws Malformed {
    if (answers && first.startsWith("HTTP/1.1 1")) {
      // An interim response; the final one follows (RFC 9110, 15.2).
      reset();
      return;
    }
    String length = fields.get("content-length");
    if ("chunked".equals(fields.get("transfer-encoding"))) {
      state = State.SIZE;
    } else if (bare || !answers && length == null || "0".equals(length)) {
      over();
    } else if (length != null) {
      left = Long.parseLong(length);
      state = State.LENGTH;
    } else {
      left = Long.MAX_VALUE;
      state = State.TO_THE_END;
    }
  }

  private void over() {
    Message whole = new Message(first, fields, body.toByteArray());
    reset();
    to.accept(whole);
  }

  private void reset() {
    state = State.HEAD;
    first = null;
    fields = new HashMap<>();
    body.reset();
  }

  // Bodies that identify their request

  private static final int LETTERS = 26;
  private static final int BLOCK = LETTERS << 11;
  /** The alphabet, repeated, so that bodies are copied and compared in blocks. */
  private static final byte[] ALPHABET = alphabet();

  private static byte[] alphabet() {
    byte[] out = new byte[BLOCK + LETTERS];
    for (int i = 0; i < out.length; i++) {
      out[i] = (byte) ('a' + i % LETTERS);
    }
    return out;
  }

  /** Returns the body of a request or response with this name, of about this size; no two names share a body. */
  static byte[] bodyOf(String name, int size) {
    byte[] start = (name + "|").getBytes(StandardCharsets.US_ASCII);
    byte[] all = Arrays.copyOf(start, Math.max(size, start.length));
    int from = turn(name, start.length);
    for (int at = start.length; at < all.length; at += BLOCK) {
      System.arraycopy(ALPHABET, from, all, at, Math.min(BLOCK, all.length - at));
    }
    return all;
  }

  /** Returns whether a body belongs to this name and is intact; a truncated end is not detected. */
  static boolean isOf(String name, byte[] body) {
    byte[] start = (name + "|").getBytes(StandardCharsets.US_ASCII);
    if (body.length < start.length
        || !Arrays.equals(start, 0, start.length, body, 0, start.length)) {
      return false;
    }
    int from = turn(name, start.length);
    for (int at = start.length; at < body.length; at += BLOCK) {
      int n = Math.min(BLOCK, body.length - at);
      if (!Arrays.equals(ALPHABET, from, from + n, body, at, at + n)) {
        return false;
      }
    }
    return true;
  }

  /** Returns the position in the alphabet at which the padding of this name begins. */
  private static int turn(String name, int at) {
    return ((name.hashCode() & 0xffff) + at) % LETTERS;
  }
}
