package pumicekeel.jsonrpc;

import java.util.Map;

/** How messages are told apart on a connection. JSON-RPC 2.0 leaves that to the transport. */
public enum Framing {
  /** Found from the first byte: a letter is the head of {@link #CONTENT_LENGTH}, anything else {@link #VALUES}. */
  DETECT,
  /** One message a line, ended by LF; a malformed line costs that line alone. */
  NEWLINE,
  /** JSON values one behind the other, with or without white space; what is malformed ends the connection. */
  VALUES,
  /** A head with {@code Content-Length}, an empty line, and so many bytes. */
  CONTENT_LENGTH;

  /** As settings and commands name them. */
  public static final Map<String, Framing> NAMES = Map.of(
      "detect", DETECT, "newline", NEWLINE, "values", VALUES, "content-length", CONTENT_LENGTH);
}
