package pumicekeel.delivery.control;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.Collection;
import java.util.concurrent.TimeUnit;
import pumicekeel.delivery.ConfigurationVersion;

/** Replies of a control machine to operators and writers, as JSON in UTF-8. */
final class StatusJson {

  private static final JsonFactory JSON_FACTORY = new JsonFactory();

  @FunctionalInterface
  private interface FieldWriter {
    void write(JsonGenerator out) throws IOException;
  }

  private StatusJson() {}

  /** Returns the outcome of a call to publish: {@code {"result": KIND, "version": VERSION, "lines": [...]}}. */
  static byte[] of(PublishResult result) {
    return writeObject(out -> {
      out.writeStringField("result", result.kind().name().toLowerCase(java.util.Locale.ROOT));
      out.writeStringField("version", result.current().text());
      out.writeArrayFieldStart("lines");
      for (String line : result.lines()) {
        out.writeString(line);
      }
      out.writeEndArray();
    });
  }

  /**
   * Returns what the replicas last reported: {@code {"version": VERSION, "replicas": [{"name", "in-force", "refused", "behind", "trouble",
   * "heard-ms-ago"}]}}. {@code behind} is the number of versions between the one in force and the current one, null if their epochs
   * differ.
   */
  static byte[] of(
      ConfigurationVersion current, Collection<ReplicaRegistry.ReceivedReport> replicas, long now) {
    return writeObject(out -> {
      out.writeStringField("version", current.text());
      out.writeArrayFieldStart("replicas");
      for (ReplicaRegistry.ReceivedReport received : replicas) {
        writeReplica(out, received, current, now);
      }
      out.writeEndArray();
    });
  }

  private static void writeReplica(
      JsonGenerator out,
      ReplicaRegistry.ReceivedReport received,
      ConfigurationVersion current,
      long now)
      throws IOException {
    ConfigurationVersion inForce = received.report().inForce();
    out.writeStartObject();
    out.writeStringField("name", received.report().name());
    out.writeStringField("in-force", inForce.text());
    out.writeStringField("refused", received.report().refused().text());
    if (inForce.epoch() == current.epoch()) {
      out.writeNumberField("behind", current.sequence() - inForce.sequence());
    } else {
      out.writeNullField("behind");
    }
    out.writeStringField("trouble", received.report().trouble());
    out.writeNumberField("heard-ms-ago", TimeUnit.NANOSECONDS.toMillis(now - received.at()));
    out.writeEndObject();
  }

  private static byte[] writeObject(FieldWriter fields) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    try (JsonGenerator out = JSON_FACTORY.createGenerator(bytes)) {
      out.writeStartObject();
      fields.write(out);
      out.writeEndObject();
    } catch (IOException e) {
      throw new IllegalStateException("unexpected failure of an in-memory stream", e);
    }
    return bytes.toByteArray();
  }
}
