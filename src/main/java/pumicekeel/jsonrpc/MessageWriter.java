package pumicekeel.jsonrpc;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** Builds messages. The balancer's own strings are written as ASCII; values from others are forwarded unchanged. */
public final class MessageWriter {

  private static final byte[] CALL = ascii("{\"jsonrpc\":\"2.0\",\"method\":");
  private static final byte[] RESULT = ascii("{\"jsonrpc\":\"2.0\",\"result\":");
  private static final byte[] ERROR = ascii("{\"jsonrpc\":\"2.0\",\"error\":");
  private static final byte[] PARAMS = ascii(",\"params\":");
  private static final byte[] ID = ascii(",\"id\":");
  /** The line end after a message; sent separately, as the message is complete without it. */
  private static final byte[] LINE = {'\n'};

  private MessageWriter() {}

  private static byte[] ascii(String text) {
    return text.getBytes(StandardCharsets.US_ASCII);
  }

  /** Builds a call; {@code params} may be null. */
  public static byte[] call(Id id, String method, byte[] params) {
    byte[] name = ascii(quoted(method));
    return params == null
        ? joined(CALL, name, ID, id.raw(), new byte[] {'}'})
        : joined(CALL, name, PARAMS, params, ID, id.raw(), new byte[] {'}'});
  }

  public static byte[] result(Id id, byte[] result) {
    return joined(RESULT, result, ID, id.raw(), new byte[] {'}'});
  }

  /** Builds a response whose error object is raw JSON. */
  public static byte[] error(Id id, byte[] error) {
    return joined(ERROR, error, ID, id.raw(), new byte[] {'}'});
  }

  /** Builds an error object; {@code data} is raw JSON or null. */
  public static byte[] errorObject(int code, String message, String data) {
    return ascii("{\"code\":" + code + ",\"message\":" + quoted(message)
        + (data == null ? "" : ",\"data\":" + data) + "}");
  }

  /** Joins several messages into one array. */
  public static byte[] array(List<byte[]> messages) {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    out.write('[');
    for (int i = 0; i < messages.size(); i++) {
      if (i > 0) {
        out.write(',');
      }
      out.writeBytes(messages.get(i));
    }
    out.write(']');
    return out.toByteArray();
  }

  private static byte[] joined(byte[]... parts) {
    int length = 0;
    for (byte[] part : parts) {
      length += part.length;
    }
    byte[] out = new byte[length];
    int at = 0;
    for (byte[] part : parts) {
      System.arraycopy(part, 0, out, at, part.length);
      at += part.length;
    }
    return out;
  }

  /** Returns a text as a JSON string in ASCII. */
  public static String quoted(String text) {
    StringBuilder out = new StringBuilder(text.length() + 2).append('"');
    for (int i = 0; i < text.length(); i++) {
      char c = text.charAt(i);
      if (c == '"' || c == '\\') {
        out.append('\\').append(c);
      } else if (c < 0x20 || c > 0x7e) {
        out.append(String.format("\\u%04x", (int) c));
      } else {
        out.append(c);
      }
    }
    return out.append('"').toString();
  }

  /** Returns the bytes to send before a message of the given size; null for none. */
  public static ByteBuf prefix(Framing framing, int size) {
    return framing == Framing.CONTENT_LENGTH
        ? Unpooled.wrappedBuffer(ascii("Content-Length: " + size + "\r\n\r\n"))
        : null;
  }

  /** Returns the bytes to send after a message; null for none. */
  public static ByteBuf suffix(Framing framing) {
    return framing == Framing.CONTENT_LENGTH ? null : Unpooled.wrappedBuffer(LINE);
  }

  /** Builds a complete frame. */
  public static ByteBuf frame(Framing framing, byte[] message) {
    ByteBuf prefix = prefix(framing, message.length);
    ByteBuf suffix = suffix(framing);
    ByteBuf body = Unpooled.wrappedBuffer(message);
    return prefix != null
        ? Unpooled.wrappedBuffer(prefix, body)
        : Unpooled.wrappedBuffer(body, suffix);
  }
}
