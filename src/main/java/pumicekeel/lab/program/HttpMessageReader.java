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
final class HttpMessageReader {

  /** A complete message; the names of header fields are in lower case. */
  record Message(String startLine, Map<String, String> headers, byte[] body) {

    /** Returns the status code of a response. */
    int status() {
      return Integer.parseInt(startLine.substring(9, 12));
    }

    /** Returns whether the sender closes the connection after this message. */
    boolean closesConnection() {
      return "close".equalsIgnoreCase(headers.get("connection"));
    }
  }

  /** The input is not valid HTTP. */
  static final class MalformedMessageException extends Exception {
    private static final long serialVersionUID = 1L;

    MalformedMessageException(String description) {
      super(description, null, false, false);
    }
  }

  private enum State {
    HEAD,
    FIXED_BODY,
    CHUNK_SIZE,
    CHUNK_DATA,
    CHUNK_END,
    TRAILER,
    BODY_UNTIL_CLOSE
  }

  private static final int MAX_LINE_BYTES = 64 << 10;

  private final boolean responses;
  private final Consumer<Message> receiver;
  private final ByteArrayOutputStream lineBuffer = new ByteArrayOutputStream();
  private final ByteArrayOutputStream body = new ByteArrayOutputStream();
  private State state = State.HEAD;
  private String startLine;
  private Map<String, String> headers = new HashMap<>();
  private long remainingBytes;
  /** The next response has no body whatever its header says: it answers a HEAD request. */
  private boolean withoutBody;

  /** Creates a reader of responses, or of requests if {@code responses} is false; {@code receiver} gets each complete message. */
  HttpMessageReader(boolean responses, Consumer<Message> receiver) {
    this.responses = responses;
    this.receiver = receiver;
  }

  /** Returns whether no message has been received in part. */
  boolean isBetweenMessages() {
    return state == State.HEAD && startLine == null && lineBuffer.size() == 0;
  }

  /** Selects whether responses have no body whatever their header says, as those to HEAD. */
  void setWithoutBody(boolean on) {
    withoutBody = on;
  }

  /** Processes the first {@code length} of these bytes. */
  void feed(byte[] bytes, int length) throws MalformedMessageException {
    int at = 0;
    while (at < length) {
      if (state == State.FIXED_BODY
          || state == State.CHUNK_DATA
          || state == State.BODY_UNTIL_CLOSE) {
        int n = (int) Math.min(remainingBytes, length - at);
        body.write(bytes, at, n);
        at += n;
        remainingBytes -= n;
        if (remainingBytes == 0) {
          bodyPartComplete();
        }
      } else {
        byte next = bytes[at++];
        lineBuffer.write(next);
        if (next == '\n') {
          String lineText = lineBuffer.toString(StandardCharsets.ISO_8859_1);
          lineBuffer.reset();
          if (!lineText.endsWith("\r\n")) {
            throw new MalformedMessageException("line ends without CR");
          }
          processLine(lineText.substring(0, lineText.length() - 2));
        } else if (lineBuffer.size() > MAX_LINE_BYTES) {
          throw new MalformedMessageException("line too long");
        }
      }
    }
  }

  /** Processes the end of the stream, which ends a response body without a length. */
  void endOfStream() {
    if (state == State.BODY_UNTIL_CLOSE) {
      messageComplete();
    }
  }

  private void bodyPartComplete() {
    if (state == State.FIXED_BODY) {
      messageComplete();
    } else {
      state = State.CHUNK_END;
    }
  }

  private void processLine(String text) throws MalformedMessageException {
    switch (state) {
      case CHUNK_SIZE -> {
        remainingBytes = Long.parseLong(text, 16);
        state = remainingBytes == 0 ? State.TRAILER : State.CHUNK_DATA;
      }
      case CHUNK_END -> {
        if (!text.isEmpty()) {
          throw new MalformedMessageException("chunk is longer than its announced size");
        }
        state = State.CHUNK_SIZE;
      }
      case TRAILER -> {
        if (text.isEmpty()) {
          messageComplete();
        }
      }
      default -> processHeadLine(text);
    }
  }

  private void processHeadLine(String text) throws MalformedMessageException {
    if (startLine == null) {
      if (responses && !text.matches("HTTP/1\\.1 [1-5][0-9][0-9].*")) {
        throw new MalformedMessageException("invalid status line: " + text);
      }
      startLine = text;
    } else if (text.isEmpty()) {
      headComplete();
    } else {
      int colon = text.indexOf(':');
      if (colon < 1) {
        throw new MalformedMessageException("invalid header field: " + text);
      }
      headers.put(
          text.substring(0, colon).toLowerCase(Locale.ROOT),
          text.substring(colon + 1).strip());
    }
  }

  private void headComplete() throws MalformedMessageException {
    if (responses && startLine.startsWith("HTTP/1.1 1")) {
      // An interim response; the final one follows (RFC 9110, 15.2).
      reset();
      return;
    }
    String length = headers.get("content-length");
    if ("chunked".equals(headers.get("transfer-encoding"))) {
      state = State.CHUNK_SIZE;
    } else if (withoutBody || !responses && length == null || "0".equals(length)) {
      messageComplete();
    } else if (length != null) {
      remainingBytes = Long.parseLong(length);
      state = State.FIXED_BODY;
    } else {
      remainingBytes = Long.MAX_VALUE;
      state = State.BODY_UNTIL_CLOSE;
    }
  }

  private void messageComplete() {
    Message complete = new Message(startLine, headers, body.toByteArray());
    reset();
    receiver.accept(complete);
  }

  private void reset() {
    state = State.HEAD;
    startLine = null;
    headers = new HashMap<>();
    body.reset();
  }

  // Bodies that identify their request

  private static final int LETTERS = 26;
  private static final int BLOCK_BYTES = LETTERS << 11;
  /** The alphabet, repeated, so that bodies are copied and compared in blocks. */
  private static final byte[] ALPHABET = alphabet();

  private static byte[] alphabet() {
    byte[] out = new byte[BLOCK_BYTES + LETTERS];
    for (int i = 0; i < out.length; i++) {
      out[i] = (byte) ('a' + i % LETTERS);
    }
    return out;
  }

  /** Returns the body of a request or response with this name, of about this size; no two names share a body. */
  static byte[] bodyOf(String name, int size) {
    byte[] prefix = (name + "|").getBytes(StandardCharsets.US_ASCII);
    byte[] all = Arrays.copyOf(prefix, Math.max(size, prefix.length));
    int from = paddingOffset(name, prefix.length);
    for (int at = prefix.length; at < all.length; at += BLOCK_BYTES) {
      System.arraycopy(ALPHABET, from, all, at, Math.min(BLOCK_BYTES, all.length - at));
    }
    return all;
  }

  /** Returns whether a body belongs to this name and is intact; a truncated end is not detected. */
  static boolean isBodyOf(String name, byte[] body) {
    byte[] prefix = (name + "|").getBytes(StandardCharsets.US_ASCII);
    if (body.length < prefix.length
        || !Arrays.equals(prefix, 0, prefix.length, body, 0, prefix.length)) {
      return false;
    }
    int from = paddingOffset(name, prefix.length);
    for (int at = prefix.length; at < body.length; at += BLOCK_BYTES) {
      int n = Math.min(BLOCK_BYTES, body.length - at);
      if (!Arrays.equals(ALPHABET, from, from + n, body, at, at + n)) {
        return false;
      }
    }
    return true;
  }

  /** Returns the position in the alphabet at which the padding of this name begins. */
  private static int paddingOffset(String name, int at) {
    return ((name.hashCode() & 0xffff) + at) % LETTERS;
  }
}
