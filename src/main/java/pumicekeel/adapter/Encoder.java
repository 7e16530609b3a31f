package pumicekeel.adapter;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.util.Base64;
import pumicekeel.Balancer.Action;
import pumicekeel.Balancer.Cancel;
import pumicekeel.Balancer.CloseIdle;
import pumicekeel.Balancer.Fail;
import pumicekeel.Balancer.FetchList;
import pumicekeel.Balancer.Log;
import pumicekeel.Balancer.Probe;
import pumicekeel.Balancer.Refuse;
import pumicekeel.Balancer.Send;
import pumicekeel.Balancer.SendToPeer;
import pumicekeel.Balancer.SetTimer;
import pumicekeel.Balancer.Watch;

/** Encodes the module's actions in the simulator's protocol. */
final class Encoder {

  private Encoder() {}

  /** Writes one action as an object with a single key. */
  static void write(JsonGenerator out, Action action) throws IOException {
    if (action instanceof Send a) {
      open(out, "Deliver");
      out.writeStringField("rid", a.id());
      out.writeNumberField("patience-ns", a.timeoutNanos());
      out.writeNumberField("upstream", a.upstream());
    } else if (action instanceof Cancel a) {
      open(out, "AbortAttempt");
      out.writeStringField("rid", a.id());
      out.writeNumberField("go", a.attempt());
    } else if (action instanceof Refuse a) {
      open(out, "Decline");
      out.writeStringField("rid", a.id());
      out.writeNumberField("not-before-for-ns", a.retryAfterNanos());
    } else if (action instanceof Fail a) {
      open(out, "DropRequest");
      out.writeStringField("rid", a.id());
    } else if (action instanceof SetTimer a) {
      open(out, "SetTimer");
      out.writeStringField("handle", a.token());
      out.writeNumberField("fire-at-ns", a.atNanos());
    } else if (action instanceof Watch a) {
      open(out, "Observe");
      out.writeBooleanField("enable", a.on());
    } else if (action instanceof FetchList) {
      open(out, "Resolve");
    } else if (action instanceof Probe a) {
      open(out, "SoundOut");
      out.writeNumberField("upstream", a.upstream());
    } else if (action instanceof CloseIdle a) {
      open(out, "Release");
      out.writeNumberField("upstream", a.upstream());
    } else if (action instanceof SendToPeer a) {
      open(out, "BroadcastTo");
      out.writeNumberField("recipient", a.to());
      out.writeStringField("octets", Base64.getEncoder().encodeToString(a.data()));
    } else if (action instanceof Log a) {
      open(out, "Emit");
      out.writeStringField("note-text", a.text());
    }
    out.writeEndObject();
    out.writeEndObject();
  }

  /** Reports an exception thrown by the decision code of an instance. */
  static void writeFault(JsonGenerator out, RuntimeException e) throws IOException {
    open(out, "Fault");
    StackTraceElement[] trace = e.getStackTrace();
    out.writeStringField(
        "note-text",
        e.getClass().getName() + ": " + e.getMessage() + " at "
            + (trace.length == 0 ? "unknown place" : trace[0].toString()));
    out.writeEndObject();
    out.writeEndObject();
  }

  private static void open(JsonGenerator out, String name) throws IOException {
    out.writeStartObject();
    out.writeObjectFieldStart(name);
  }
}
