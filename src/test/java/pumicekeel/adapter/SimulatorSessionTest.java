package pumicekeel.adapter;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.StringWriter;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import pumicekeel.Balancer;

/** The simulator's protocol: exact input and output of sessions, every action, and each kind of malformed input. */
class SimulatorSessionTest {

  private static final String CLASS =
      "{\"name\":\"c\",\"aim-ns\":400000000,\"deadline-ns\":2000000000,"
          + "\"effect\":\"idempotent\",\"unknown\":[1,{}]}";
  private static final String PROVISION =
      "{\"clock-ns\":1000000000,\"groups\":[{\"balancer\":3,\"msgs\":["
          + "{\"Provision\":{\"seed\":1,\"boot-info\":{\"novel\":1.5,\"categories\":[" + CLASS
          + "],"
          + "\"registry-mode\":\"on_request\"}}},"
          + "{\"Topology\":{\"kind\":\"C\",\"stamp\":1,\"entries\":[{\"hw\":\"x\",\"launched-ns\":null,\"pack\":0,"
          + "\"upstream\":7,\"region-part\":\"\",\"stage-state\":\"up\",\"capacity-hint\":1}]}}]}]}";

  private static String run(String... lines) throws IOException {
    ByteArrayOutputStream out = new ByteArrayOutputStream();
    String text = String.join("\n", lines) + "\n";
    new SimulatorSession(new ByteArrayInputStream(text.getBytes(StandardCharsets.UTF_8)), out)
        .run();
    return out.toString(StandardCharsets.UTF_8);
  }

  private static String batch(long clock, String messages) {
    return "{\"clock-ns\":" + clock + ",\"groups\":[{\"balancer\":3,\"msgs\":[" + messages + "]}]}";
  }

  private static String reply(String actions) {
    return "{\"groups\":[{\"balancer\":3,\"actions\":[" + actions + "]}]}\n";
  }

  private static final String JOB =
      "{\"JobIn\":{\"rid\":\"c:a\",\"service\":\"c\",\"user-group\":0,"
          + "\"object\":\"91f03b7c55d20a64\",\"drop-dead-ns\":2500000000,\"weight-hint-ns\":null,\"retry\":false,"
          + "\"write\":false}}";

  @Test
  void emptyBatchGetsAnEmptyReply() throws IOException {
    assertEquals("{\"groups\":[]}\n", run("{\"clock-ns\":1,\"groups\":[]}"));
  }

  @Test
  void everyEventIsDecoded() throws IOException {
    String expected = reply("{\"Observe\":{\"enable\":true}}")
        + reply("{\"Deliver\":{\"rid\":\"c:a\",\"patience-ns\":1400000000,\"upstream\":7}},"
            + "{\"SetTimer\":{\"handle\":\"sweep\",\"fire-at-ns\":1150000000}}")
        + reply("")
        + reply("")
        + reply("")
        + reply("")
        + reply("")
        + reply("");
    assertEquals(
        expected,
        run(
            PROVISION,
            batch(1_100_000_000L, JOB),
            batch(1_110_000_000L, "{\"Fired\":{\"handle\":\"sweep\"}}"),
            batch(
                1_112_000_000L,
                "{\"First\":{\"rid\":\"c:a\",\"go\":0,\"upstream\":7,\"wait-time-ns\":5}}"),
            batch(
                1_115_000_000L,
                "{\"Resolved\":{\"rid\":\"c:a\",\"go\":0,\"upstream\":7,\"rc\":\"served\","
                    + "\"wait-time-ns\":15000000,\"done-flag\":true,\"usage\":{\"util\":0.5,\"odd\":\"x\"}}}"),
            batch(1_116_000_000L, "{\"Aborted\":{\"rid\":\"c:a\"}}"),
            batch(
                1_117_000_000L,
                "{\"HealthResult\":{\"rc\":\"served\",\"upstream\":7,\"wait-time-ns\":5,\"usage\":null}},"
                    + "{\"Datagram\":{\"neighbour\":0,\"octets\":\"aGkgNw==\"}}"),
            batch(1_118_000_000L, "{\"Kill\":{}}")));
  }

  @Test
  void everyActionIsEncoded() throws IOException {
    StringWriter text = new StringWriter();
    try (JsonGenerator g = new JsonFactory().createGenerator(text)) {
      g.writeStartArray();
      Encoder.write(g, new Balancer.Send("a", 7, 5));
      Encoder.write(g, new Balancer.Cancel("a", 1));
      Encoder.write(g, new Balancer.Refuse("a", 9));
      Encoder.write(g, new Balancer.Fail("a"));
      Encoder.write(g, new Balancer.SetTimer("t", 3));
      Encoder.write(g, new Balancer.Watch(false));
      Encoder.write(g, new Balancer.FetchList());
      Encoder.write(g, new Balancer.Probe(7));
      Encoder.write(g, new Balancer.CloseIdle(7));
      Encoder.write(g, new Balancer.SendToPeer(-1, "hi 7".getBytes(StandardCharsets.UTF_8)));
      Encoder.write(g, new Balancer.Log("x"));
      g.writeEndArray();
    }
    assertEquals(
        "[{\"Deliver\":{\"rid\":\"a\",\"patience-ns\":5,\"upstream\":7}},"
            + "{\"AbortAttempt\":{\"rid\":\"a\",\"go\":1}},{\"Decline\":{\"rid\":\"a\",\"not-before-for-ns\":9}},"
            + "{\"DropRequest\":{\"rid\":\"a\"}},{\"SetTimer\":{\"handle\":\"t\",\"fire-at-ns\":3}},"
            + "{\"Observe\":{\"enable\":false}},{\"Resolve\":{}},{\"SoundOut\":{\"upstream\":7}},"
            + "{\"Release\":{\"upstream\":7}},{\"BroadcastTo\":{\"recipient\":-1,\"octets\":\"aGkgNw==\"}},"
            + "{\"Emit\":{\"note-text\":\"x\"}}]",
        text.toString());
  }

  /** The instance refuses requests of unknown classes and continues. */
  @Test
  void requestOfAnUnknownClassIsRefusedAndLogged() throws IOException {
    String out = run(
        PROVISION, batch(1_100_000_000L, JOB.replace("\"service\":\"c\"", "\"service\":\"nope\"")));
    assertTrue(
        out.contains(reply("{\"Emit\":{\"note-text\":\"refused a request of unknown class nope\"}},"
            + "{\"Decline\":{\"rid\":\"c:a\",\"not-before-for-ns\":0}}")),
        out);
  }

  @Test
  void exceptionInTheModuleIsReportedAsAFault() throws IOException {
    StringWriter text = new StringWriter();
    try (JsonGenerator g = new JsonFactory().createGenerator(text)) {
      Encoder.writeFault(g, new IllegalStateException("odd"));
    }
    assertTrue(
        text.toString()
            .startsWith(
                "{\"Fault\":{\"note-text\":\"java.lang.IllegalStateException: odd at pumicekeel.adapter.SimulatorSessionTest."),
        text.toString());
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "nonsense | line 2: not JSON",
        "{\"clock-ns\":1} | line 2: field batch.groups: expected an array, got nothing",
        "{\"clock-ns\":\"x\",\"groups\":[]} | line 2: field batch.clock-ns: expected a whole number, got \"x\"",
        "{\"clock-ns\":1,\"groups\":[{\"balancer\":9,\"msgs\":[{\"Kill\":{}}]}]} | balancer 9 was never provisioned",
        "{\"clock-ns\":1,\"groups\":[{\"balancer\":3,\"msgs\":[{\"Odd\":{}}]}]} | msgs[0].Odd: unknown event",
        "{\"clock-ns\":1,\"groups\":[{\"balancer\":3,\"msgs\":[{\"Fired\":{}}]}]} | Fired.handle: expected a text",
        "{\"clock-ns\":1,\"groups\":[{\"balancer\":3,\"msgs\":[{\"HealthResult\":{\"rc\":\"fine\"}}]}]} | expected a whole",
        "{\"clock-ns\":1,\"groups\":[{\"balancer\":3,\"msgs\":[{\"HealthResult\":{\"upstream\":1,\"rc\":\"fine\"}}]}]} | rc: expected one of",
        "{\"clock-ns\":1,\"groups\":[]} {} | expected one value a line"
      })
  void malformedInputIsReportedWithItsPlace(String line, String message) {
    WireException e = assertThrows(WireException.class, () -> run(PROVISION, line));
    assertTrue(e.getMessage().startsWith("line 2: "), e.getMessage());
    assertTrue(e.getMessage().contains(message), e.getMessage());
  }

  @Test
  void invalidSettingsAreRejectedByName() {
    WireException none = assertThrows(WireException.class, () -> run(PROVISION.replace(CLASS, "")));
    assertEquals("line 1: settings: classes must not be empty", none.getMessage());
    WireException negative = assertThrows(
        WireException.class, () -> run(PROVISION.replace("\"aim-ns\":400000000", "\"aim-ns\":-4")));
    assertEquals("line 1: settings: aim of class c must be above 0", negative.getMessage());
  }
}
