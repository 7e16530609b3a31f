package pumicekeel.rig.soak;

import io.netty.buffer.ByteBuf;
import java.nio.charset.StandardCharsets;

/** The body of an answer to one request: its id, its length and letters that follow from both, so that any mix-up shows. */
final class AnswerBody {

  private static final int LETTERS = 26;
  private static final int STEP = 31;

  private AnswerBody() {}

  /** Returns the body of this length in bytes, which is at least that of its prefix. */
  static byte[] of(String id, int length) {
    byte[] prefix = (id + ":" + length + ":").getBytes(StandardCharsets.US_ASCII);
    byte[] body = new byte[Math.max(length, prefix.length)];
    System.arraycopy(prefix, 0, body, 0, prefix.length);
    for (int i = prefix.length; i < body.length; i++) {
      body[i] = letter(id, i);
    }
    return body;
  }

  private static byte letter(String id, int position) {
    return (byte) ('a' + Math.floorMod(id.hashCode() + position * STEP, LETTERS));
  }

  /** Returns the id of the request that this is the complete body of, else a description of the difference. */
  static String identify(String id, ByteBuf content) {
    String text = content.toString(StandardCharsets.US_ASCII);
    if (text.equals(id)) {
      return id;
    }
    String[] parts = text.split(":", 3);
    if (parts.length < 3 || !parts[0].equals(id) || !parts[1].matches("\\d{1,9}")) {
      return "foreign body of " + text.length() + " bytes: "
          + text.substring(0, Math.min(40, text.length()));
    }
    byte[] expected = of(id, Integer.parseInt(parts[1]));
    return content.equals(io.netty.buffer.Unpooled.wrappedBuffer(expected))
        ? id
        : "other body of " + text.length() + " bytes, expected " + parts[1];
  }
}
