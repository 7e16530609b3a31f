package pumicekeel.jsonrpc;

import java.util.Map;

/** How messages are delimited on a connection. JSON-RPC 2.0 leaves that to the transport. */
public enum Framing {
  /** Detected from the first byte: the letter C starts a header of {@link #CONTENT_LENGTH}, else {@link #VALUES}. */
  DETECT,
  /** One message per line, ended by LF; a malformed line affects no other. */
  NEWLINE,
  /** Consecutive JSON values with or without white space; a malformed one ends the connection. */
  VALUES,
  /** A header with {@code Content-Length}, an empty line, and that many bytes. */
  CONTENT_LENGTH;

  /** Names in settings and commands. */
  public static final Map<String, Framing> NAMES = Map.of(
      "detect", DETECT, "newline", NEWLINE, "values", VALUES, "content-length", CONTENT_LENGTH);
}
