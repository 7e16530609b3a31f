package pumicekeel.adapter;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonProcessingException;
import java.io.BufferedReader;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import pumicekeel.AdaptiveBalancer;
import pumicekeel.Balancer;

/** Serves the simulator: reads a batch of events per line, writes a line of actions; one module instance per balancer. */
public final class SimulatorSession {

  private final JsonFactory json = new JsonFactory();
  private final BufferedReader in;
  private final OutputStream out;
  private final Map<Long, Balancer> instances = new HashMap<>();

  public SimulatorSession(InputStream in, OutputStream out) {
    this.in = new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8), 1 << 16);
    this.out = out;
  }

  /** Answers batches until the input ends. */
  public void run() throws IOException {
    long line = 0;
    ByteArrayOutputStream reply = new ByteArrayOutputStream(1 << 16);
    for (String text = in.readLine(); text != null; text = in.readLine()) {
      line++;
      reply.reset();
      try (JsonGenerator generator = json.createGenerator(reply)) {
        answer(Fields.parse("batch", text), generator);
      } catch (JsonProcessingException e) {
        throw new WireException("line " + line + ": not JSON: " + e.getOriginalMessage());
      } catch (WireException | IllegalArgumentException e) {
        throw new WireException("line " + line + ": " + e.getMessage());
      }
      reply.write('\n');
      reply.writeTo(out);
      out.flush();
    }
  }

  private void answer(Fields batch, JsonGenerator generator) throws IOException {
    long now = batch.integer("clock-ns");
    generator.writeStartObject();
    generator.writeArrayFieldStart("groups");
    for (Fields group : batch.objects("groups")) {
      long id = group.integer("balancer");
      generator.writeStartObject();
      generator.writeNumberField("balancer", id);
      generator.writeArrayFieldStart("actions");
      for (Fields message : group.objects("msgs")) {
        handle(now, id, message, generator);
      }
      generator.writeEndArray();
      generator.writeEndObject();
    }
    generator.writeEndArray();
    generator.writeEndObject();
  }

  private void handle(long now, long id, Fields message, JsonGenerator generator)
      throws IOException {
    if (message.values().size() != 1) {
      throw new WireException("field " + message.path() + ": expected one event, got "
          + message.values().size());
    }
    String name = (String) message.values().keySet().iterator().next();
    Fields f = Fields.object(message.path() + "." + name, message.values().get(name));
    if (name.equals("Provision")) {
      if (!f.has("boot-info")) {
        throw new WireException(
            "field " + f.path() + ".boot-info: expected an object, got nothing");
      }
      instances.put(
          id, new AdaptiveBalancer(Decoder.settings(f.nested("boot-info")), f.integer("seed")));
      return;
    }
    Balancer instance = instances.get(id);
    if (instance == null) {
      throw new WireException("field " + f.path() + ": balancer " + id + " was never provisioned");
    }
    if (name.equals("Kill")) {
      instances.remove(id);
      return;
    }
    Balancer.Event event = Decoder.event(name, f);
    try {
      instance.handle(now, event, action -> write(generator, action));
    } catch (RuntimeException e) {
      Encoder.writeFault(generator, e);
    }
  }

  private static void write(JsonGenerator generator, Balancer.Action action) {
    try {
      Encoder.write(generator, action);
    } catch (IOException e) {
      throw new java.io.UncheckedIOException(e);
    }
  }
}
