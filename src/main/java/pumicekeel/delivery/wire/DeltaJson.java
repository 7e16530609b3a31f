package pumicekeel.delivery.wire;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import pumicekeel.delivery.ConfigurationDelta;
import pumicekeel.delivery.ConfigurationVersion;

/**
 * Deltas as JSON: {@code {"base": VERSION, "target": VERSION, "removed": [KEY, ...], "upserted": [{"after": KEY, "key": KEY, "text":
 * TEXT}, ...]}}, where VERSION is EPOCH.SEQUENCE.HASH and the first entry's {@code after} is omitted. Unknown fields are ignored.
 */
public final class DeltaJson {

  private static final JsonFactory JSON = new JsonFactory();

  private DeltaJson() {}

  /** Returns the JSON in UTF-8. */
  public static byte[] write(ConfigurationDelta delta) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try (JsonGenerator out = JSON.createGenerator(bytes)) {
      out.writeStartObject();
      out.writeStringField("base", delta.base().text());
      out.writeStringField("target", delta.target().text());
      out.writeArrayFieldStart("removed");
      for (String key : delta.removed()) {
        out.writeString(key);
      }
      out.writeEndArray();
      out.writeArrayFieldStart("upserted");
      for (ConfigurationDelta.Upsert upsert : delta.upserted()) {
        write(out, upsert);
      }
      out.writeEndArray();
      out.writeEndObject();
    } catch (IOException e) {
      throw new IllegalStateException("unexpected failure of an in-memory stream", e);
    }
    return bytes.toByteArray();
  }

  private static void write(JsonGenerator out, ConfigurationDelta.Upsert upsert)
      throws IOException {
    out.writeStartObject();
    if (upsert.after() != null) {
      out.writeStringField("after", upsert.after());
    }
    out.writeStringField("key", upsert.key());
    out.writeStringField("text", upsert.text());
    out.writeEndObject();
  }

  /** Parses a delta; throws an IOException or IllegalArgumentException if it is malformed. */
  public static ConfigurationDelta read(byte[] bytes) throws IOException {
    try (JsonParser in = JSON.createParser(bytes)) {
      expect(in.nextToken(), JsonToken.START_OBJECT);
      ConfigurationVersion base = null;
      ConfigurationVersion target = null;
      List<String> removed = new ArrayList<>();
      List<ConfigurationDelta.Upsert> upserted = new ArrayList<>();
      while (in.nextToken() == JsonToken.FIELD_NAME) {
        String name = in.currentName();
        JsonToken value = in.nextToken();
        switch (name) {
          case "base" -> base = ConfigurationVersion.parse(text(in, value));
          case "target" -> target = ConfigurationVersion.parse(text(in, value));
          case "removed" -> readKeys(in, value, removed);
          case "upserted" -> readUpserts(in, value, upserted);
          default -> in.skipChildren();
        }
      }
      expect(in.currentToken(), JsonToken.END_OBJECT);
      if (base == null || target == null) {
        throw new IOException("expected a base and a target");
      }
      return new ConfigurationDelta(base, target, removed, upserted);
    }
  }

  private static void readKeys(JsonParser in, JsonToken value, List<String> keys)
      throws IOException {
    expect(value, JsonToken.START_ARRAY);
    for (JsonToken t = in.nextToken(); t != JsonToken.END_ARRAY; t = in.nextToken()) {
      keys.add(text(in, t));
    }
  }

  private static void readUpserts(
      JsonParser in, JsonToken value, List<ConfigurationDelta.Upsert> upserted) throws IOException {
    expect(value, JsonToken.START_ARRAY);
    for (JsonToken t = in.nextToken(); t != JsonToken.END_ARRAY; t = in.nextToken()) {
      expect(t, JsonToken.START_OBJECT);
      upserted.add(readUpsert(in));
    }
  }

  private static ConfigurationDelta.Upsert readUpsert(JsonParser in) throws IOException {
    String after = null;
    String key = null;
    String text = null;
    while (in.nextToken() == JsonToken.FIELD_NAME) {
      String name = in.currentName();
      JsonToken value = in.nextToken();
      switch (name) {
        case "after" -> after = text(in, value);
        case "key" -> key = text(in, value);
        case "text" -> text = text(in, value);
        default -> in.skipChildren();
      }
    }
    expect(in.currentToken(), JsonToken.END_OBJECT);
    if (key == null || text == null) {
      throw new IOException("expected a key and a text");
    }
    return new ConfigurationDelta.Upsert(after, key, text);
  }

  private static String text(JsonParser in, JsonToken token) throws IOException {
    expect(token, JsonToken.VALUE_STRING);
    return in.getText();
  }

  private static void expect(JsonToken token, JsonToken expected) throws IOException {
    if (token != expected) {
      throw new IOException("expected " + expected + ", got " + token);
    }
  }
}
