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

  private static final JsonFactory JSON_FACTORY = new JsonFactory();

  private DeltaJson() {}

  /** Returns the JSON in UTF-8. */
  public static byte[] write(ConfigurationDelta delta) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try (JsonGenerator out = JSON_FACTORY.createGenerator(bytes)) {
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
        writeUpsert(out, upsert);
      }
      out.writeEndArray();
      out.writeEndObject();
    } catch (IOException e) {
      throw new IllegalStateException("unexpected failure of an in-memory stream", e);
    }
    return bytes.toByteArray();
  }

  private static void writeUpsert(JsonGenerator out, ConfigurationDelta.Upsert upsert)
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
    try (JsonParser in = JSON_FACTORY.createParser(bytes)) {
      requireToken(in.nextToken(), JsonToken.START_OBJECT);
      ConfigurationVersion base = null;
      ConfigurationVersion target = null;
      List<String> removed = new ArrayList<>();
      List<ConfigurationDelta.Upsert> upserted = new ArrayList<>();
      while (in.nextToken() == JsonToken.FIELD_NAME) {
        String name = in.currentName();
        JsonToken valueToken = in.nextToken();
        switch (name) {
          case "base" -> base = ConfigurationVersion.parse(readText(in, valueToken));
          case "target" -> target = ConfigurationVersion.parse(readText(in, valueToken));
          case "removed" -> readKeys(in, valueToken, removed);
          case "upserted" -> readUpserts(in, valueToken, upserted);
          default -> in.skipChildren();
        }
      }
      requireToken(in.currentToken(), JsonToken.END_OBJECT);
      if (base == null || target == null) {
        throw new IOException("expected a base and a target");
      }
      return new ConfigurationDelta(base, target, removed, upserted);
    }
  }

  private static void readKeys(JsonParser in, JsonToken valueToken, List<String> keys)
      throws IOException {
    requireToken(valueToken, JsonToken.START_ARRAY);
    for (JsonToken element = in.nextToken();
        element != JsonToken.END_ARRAY;
        element = in.nextToken()) {
      keys.add(readText(in, element));
    }
  }

  private static void readUpserts(
      JsonParser in, JsonToken valueToken, List<ConfigurationDelta.Upsert> upserted)
      throws IOException {
    requireToken(valueToken, JsonToken.START_ARRAY);
    for (JsonToken element = in.nextToken();
        element != JsonToken.END_ARRAY;
        element = in.nextToken()) {
      requireToken(element, JsonToken.START_OBJECT);
      upserted.add(readUpsert(in));
    }
  }

  private static ConfigurationDelta.Upsert readUpsert(JsonParser in) throws IOException {
    String after = null;
    String key = null;
    String text = null;
    while (in.nextToken() == JsonToken.FIELD_NAME) {
      String name = in.currentName();
      JsonToken valueToken = in.nextToken();
      switch (name) {
        case "after" -> after = readText(in, valueToken);
        case "key" -> key = readText(in, valueToken);
        case "text" -> text = readText(in, valueToken);
        default -> in.skipChildren();
      }
    }
    requireToken(in.currentToken(), JsonToken.END_OBJECT);
    if (key == null || text == null) {
      throw new IOException("expected a key and a text");
    }
    return new ConfigurationDelta.Upsert(after, key, text);
  }

  private static String readText(JsonParser in, JsonToken token) throws IOException {
    requireToken(token, JsonToken.VALUE_STRING);
    return in.getText();
  }

  private static void requireToken(JsonToken token, JsonToken expected) throws IOException {
    if (token != expected) {
      throw new IOException("expected " + expected + ", got " + token);
    }
  }
}
