package pumicekeel.jsonrpc;

import java.util.ArrayList;
import java.util.List;

/** A JSON Pointer (RFC 6901); {@code ""} is the whole document. */
public record JsonPointer(String text, List<String> tokens) {

  /** Maximum number of tokens in a configured pointer; params are not nested more deeply. */
  public static final int MAX_TOKENS = Limits.MAX_DEPTH;

  /** Parses a pointer; throws an IllegalArgumentException that names what was expected. */
  public static JsonPointer of(String text) {
    if (!text.isEmpty() && text.charAt(0) != '/') {
      throw new IllegalArgumentException("a JSON Pointer, which is empty or begins with /");
    }
    List<String> tokens = new ArrayList<>();
    if (!text.isEmpty()) {
      for (String token : text.substring(1).split("/", -1)) {
        tokens.add(unescaped(token));
      }
    }
    if (tokens.size() > MAX_TOKENS) {
      throw new IllegalArgumentException("a JSON Pointer of at most " + MAX_TOKENS + " parts");
    }
    return new JsonPointer(text, List.copyOf(tokens));
  }

  /** Decodes escapes, ~1 before ~0, as ~01 means ~1 (section 4 of the RFC). */
  private static String unescaped(String token) {
    for (int i = token.indexOf('~'); i >= 0; i = token.indexOf('~', i + 1)) {
      if (i + 1 == token.length() || token.charAt(i + 1) != '0' && token.charAt(i + 1) != '1') {
        throw new IllegalArgumentException("a JSON Pointer in which ~ is followed by 0 or 1");
      }
    }
    return token.replace("~1", "/").replace("~0", "~");
  }

  @Override
  public String toString() {
    return text;
  }
}
