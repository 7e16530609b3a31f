package pumicekeel.jsonrpc;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonFactoryBuilder;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.StreamReadFeature;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * Strict reader of one JSON-RPC 2.0 frame (sections 4 to 6). Input that parsers may interpret differently (duplicate names,
 * invalid UTF-8, unpaired surrogates) is rejected as invalid JSON. Values that are forwarded keep their original bytes.
 */
public final class MessageReader {

  /** Token limits are checked in this class with the message's limits, before any conversion. */
  static final JsonFactory FACTORY = new JsonFactoryBuilder()
      .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
      .disable(JsonFactory.Feature.INTERN_FIELD_NAMES)
      .streamReadConstraints(StreamReadConstraints.builder()
          .maxNestingDepth(Limits.MAX_DEPTH + 1)
          .maxNumberLength(Integer.MAX_VALUE)
          .build())
      .build();

  private final Limits limits;

  public MessageReader(Limits limits) {
    this.limits = limits;
  }

  /** Reads a frame; never throws. */
  public Message read(byte[] frame) {
    String fault = TextCheck.fault(frame);
    if (fault != null) {
      return new Message.Malformed(ErrorCodes.PARSE, fault);
    }
    try (JsonParser p = FACTORY.createParser(frame)) {
      JsonToken first = p.nextToken();
      Message message = first == JsonToken.START_ARRAY
          ? batch(p, frame)
          : first == JsonToken.START_OBJECT
              ? new Message.Single(entry(p, frame, 1))
              : first == null ? new Message.Malformed(ErrorCodes.PARSE, null) : scalarMessage(p);
      if (!(message instanceof Message.Malformed) && p.nextToken() != null) {
        return new Message.Malformed(ErrorCodes.PARSE, null);
      }
      return message;
    } catch (LimitExceededException e) {
      return new Message.Malformed(ErrorCodes.INVALID_REQUEST, e.getMessage());
    } catch (IOException | RuntimeException e) {
      // The library's message would copy bytes of the client into the answer.
      return new Message.Malformed(
          ErrorCodes.PARSE,
          e.getMessage() != null && e.getMessage().startsWith("Duplicate")
              ? "a name twice in one object"
              : null);
    }
  }

  /** Returns whether the bytes are one JSON value within the limits, so that a message can contain them unchanged. */
  public boolean isValue(byte[] bytes) {
    if (bytes.length == 0 || bytes.length > limits.bytes() || TextCheck.fault(bytes) != null) {
      return false;
    }
    try (JsonParser p = FACTORY.createParser(bytes)) {
      if (p.nextToken() == null) {
        return false;
      }
      skipValue(p, 1);
      return p.nextToken() == null;
    } catch (IOException | RuntimeException e) {
      return false;
    }
  }

  private static final class LimitExceededException extends IOException {
    private static final long serialVersionUID = 1L;

    LimitExceededException(String why) {
      super(why);
    }
  }

  private Message scalarMessage(JsonParser p) throws IOException {
    skipValue(p, 1);
    return new Message.Malformed(ErrorCodes.INVALID_REQUEST, null);
  }

  private Message batch(JsonParser p, byte[] frame) throws IOException {
    List<Message.Entry> entries = new ArrayList<>();
    for (JsonToken t = p.nextToken(); t != JsonToken.END_ARRAY; t = p.nextToken()) {
      if (t == null) {
        throw new IOException("truncated");
      }
      if (entries.size() == limits.calls()) {
        throw new LimitExceededException("more than " + limits.calls() + " calls in a batch");
      }
      if (t == JsonToken.START_OBJECT) {
        entries.add(entry(p, frame, 2));
      } else {
        skipValue(p, 2);
        entries.add(new Message.Invalid(Id.NULL, "expected an object"));
      }
    }
    return entries.isEmpty()
        ? new Message.Malformed(ErrorCodes.INVALID_REQUEST, null)
        : new Message.Batch(entries);
  }

  /** The known members of one object. */
  private static final class Members {
    private boolean version;
    private boolean hasId;
    private Id id;
    private boolean hasMethod;
    private String method;
    private boolean hasParams;
    private byte[] params;
    private byte[] result;
    private boolean hasError;
    private byte[] error;
    private long code;
    private boolean hasCode;
  }

  private Message.Entry entry(JsonParser p, byte[] frame, int depth) throws IOException {
    Members m = new Members();
    while (p.nextToken() != JsonToken.END_OBJECT) {
      if (p.currentToken() != JsonToken.FIELD_NAME) {
        throw new IOException("truncated");
      }
      String name = p.currentName();
      JsonToken t = p.nextToken();
      switch (name) {
        case "jsonrpc" ->
          m.version = t == JsonToken.VALUE_STRING
              && p.getTextLength() == 3
              && p.getText().equals("2.0");
        case "id" -> {
          m.hasId = true;
          m.id = id(p, t, frame);
        }
        case "method" -> {
          m.hasMethod = true;
          m.method = t == JsonToken.VALUE_STRING && p.getTextLength() <= Limits.MAX_METHOD_LENGTH
              ? p.getText()
              : null;
        }
        case "params" -> {
          m.hasParams = true;
          m.params = t == JsonToken.START_OBJECT || t == JsonToken.START_ARRAY
              ? rawValue(p, frame, depth)
              : null;
        }
        case "result" -> m.result = rawValue(p, frame, depth);
        case "error" -> {
          m.hasError = true;
          m.error = t == JsonToken.START_OBJECT ? error(p, frame, depth, m) : null;
        }
        default -> {}
      }
      // Skips a value that was not consumed above.
      if (p.currentToken().isStructStart() || p.currentToken().isScalarValue()) {
        skipValue(p, depth + 1);
      }
    }
    return entry(m);
  }

  private static Message.Entry entry(Members m) {
    Id id = m.id == null ? Id.NULL : m.id;
    if (!m.version) {
      return new Message.Invalid(id, "expected \"jsonrpc\": \"2.0\"");
    }
    if (m.hasId && m.id == null) {
      return new Message.Invalid(Id.NULL, "expected an id that is a string, a number or null");
    }
    if (!m.hasMethod
        && m.hasId
        && (m.result != null) != m.hasError
        && (!m.hasError || m.error != null && m.hasCode)) {
      return new Message.Reply(id, m.result, m.error, (int)
          Math.max(Integer.MIN_VALUE, Math.min(Integer.MAX_VALUE, m.code)));
    }
    if (m.method == null) {
      return new Message.Invalid(
          id, "expected a method that is a string of at most " + Limits.MAX_METHOD_LENGTH);
    }
    if (m.hasParams && m.params == null) {
      return new Message.Invalid(id, "expected params that are an object or an array");
    }
    return new Message.Call(m.hasId ? m.id : null, m.method, m.params);
  }

  private static Id id(JsonParser p, JsonToken t, byte[] frame) throws IOException {
    switch (t) {
      case VALUE_NULL:
        return Id.NULL;
      case VALUE_NUMBER_INT:
      case VALUE_NUMBER_FLOAT:
        return p.getTextLength() > Limits.MAX_ID_LENGTH ? null : Id.number(p.getText());
      case VALUE_STRING:
        int start = (int) p.currentTokenLocation().getByteOffset();
        String decoded = p.getText();
        int end = (int) p.currentLocation().getByteOffset();
        return end - start > Limits.MAX_ID_LENGTH
            ? null
            : Id.text(decoded, Arrays.copyOfRange(frame, start, end));
      default:
        return null;
    }
  }

  /** Returns the error's raw bytes and stores its code in the members. */
  private byte[] error(JsonParser p, byte[] frame, int depth, Members m) throws IOException {
    int start = (int) p.currentTokenLocation().getByteOffset();
    boolean message = false;
    while (p.nextToken() != JsonToken.END_OBJECT) {
      if (p.currentToken() != JsonToken.FIELD_NAME) {
        throw new IOException("truncated");
      }
      String name = p.currentName();
      JsonToken t = p.nextToken();
      if (name.equals("code") && t == JsonToken.VALUE_NUMBER_INT && p.getTextLength() <= 12) {
        m.code = p.getLongValue();
        m.hasCode = true;
      }
      message |= name.equals("message") && t == JsonToken.VALUE_STRING;
      skipValue(p, depth + 2);
    }
    m.hasCode &= message;
    return Arrays.copyOfRange(frame, start, (int) p.currentLocation().getByteOffset());
  }

  /** Returns the raw bytes of the value at the parser's position and moves past it. */
  private byte[] rawValue(JsonParser p, byte[] frame, int depth) throws IOException {
    int start = (int) p.currentTokenLocation().getByteOffset();
    skipValue(p, depth + 1);
    return Arrays.copyOfRange(frame, start, (int) p.currentLocation().getByteOffset());
  }

  /** Skips a value; {@code depth} is its depth if it is an array or object. */
  private void skipValue(JsonParser p, int depth) throws IOException {
    int open = 0;
    do {
      JsonToken t = p.currentToken();
      if (t == null) {
        throw new IOException("truncated");
      }
      if (t.isStructStart()) {
        open++;
        if (depth + open - 1 > limits.depth()) {
          throw new LimitExceededException(
              "more than " + limits.depth() + " arrays and objects in one another");
        }
      } else if (t.isStructEnd()) {
        open--;
      } else if (t.isNumeric()) {
        if (p.getTextLength() > Limits.MAX_NUMBER_LENGTH) {
          throw new LimitExceededException(
              "a number of more than " + Limits.MAX_NUMBER_LENGTH + " characters");
        }
      } else if (t == JsonToken.VALUE_STRING) {
        p.finishToken();
      }
      if (open > 0) {
        p.nextToken();
      }
    } while (open > 0);
  }

  /** Checks before the library parses: it accepts other encodings than UTF-8, and unpaired surrogates. */
  private static final class TextCheck {

    static String fault(byte[] b) {
      int from = 0;
      while (from < b.length
          && (b[from] == ' ' || b[from] == '\t' || b[from] == '\r' || b[from] == '\n')) {
        from++;
      }
      if (from < b.length && (b[from] & 0x80) != 0) {
        return "a mark or letter in front of the value";
      }
      for (int i = 0; i < b.length; i++) {
        if (b[i] == 0) {
          return "a zero byte";
        }
        if (b[i] == '\\') {
          int next = escape(b, i);
          if (next < 0) {
            return "half of a surrogate pair";
          }
          i = next;
        }
      }
      return ByteBufUtil.isText(Unpooled.wrappedBuffer(b), StandardCharsets.UTF_8)
          ? null
          : "not UTF-8";
    }

    /** Returns the last byte of the escape at a position, with the rest of its pair; -1 for an unpaired surrogate. */
    private static int escape(byte[] b, int at) {
      int unit = unit(b, at);
      if (unit < 0) {
        return at + 1;
      }
      if (Character.isLowSurrogate((char) unit)) {
        return -1;
      }
      if (!Character.isHighSurrogate((char) unit)) {
        return at + 5;
      }
      int low = unit(b, at + 6);
      return low >= 0 && Character.isLowSurrogate((char) low) ? at + 11 : -1;
    }

    /** Returns the UTF-16 unit of a \\uXXXX escape at a position, or -1. */
    private static int unit(byte[] b, int at) {
      if (at + 5 >= b.length || b[at] != '\\' || b[at + 1] != 'u') {
        return -1;
      }
      int value = 0;
      for (int i = 2; i < 6; i++) {
        int digit = Character.digit(b[at + i], 16);
        if (digit < 0) {
          return -1;
        }
        value = value << 4 | digit;
      }
      return value;
    }
  }
}
