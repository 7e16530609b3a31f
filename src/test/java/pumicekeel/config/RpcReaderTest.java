package pumicekeel.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import pumicekeel.front.jsonrpc.BatchMode;
import pumicekeel.front.jsonrpc.CallSettings;
import pumicekeel.front.jsonrpc.MethodMapping.Part;
import pumicekeel.jsonrpc.Framing;
import pumicekeel.jsonrpc.Limits;
import pumicekeel.upstream.jsonrpc.ServerSettings;

/** JSON-RPC settings of an operator file, and each possible fault. */
class RpcReaderTest {

  private static final String GOOD = """
      [listeners.a]
      address = "127.0.0.1:7001"
      protocol = "json-rpc"
      json-rpc = { framing = "newline", batch-answers = "apart", max-message-kib = 8, max-depth = 5, max-batch = 3, max-open-calls = 9, idle-ms = 700 }
      [listeners.b]
      address = "127.0.0.1:7002"
      protocol = "json-rpc"
      [listeners.c]
      address = "127.0.0.1:7003"
      [[methods]]
      name = "rate.lookup"
      class = "rate-lookup"
      host = "Rates.Example.org"
      path = "/rate-lookup/{/pair}?v={/v~1w}"
      tenant = { pointer = "/account" }
      time-left-ms = 500
      [[methods]]
      name = "quote.issue"
      listener = "b"
      class = "quote-issue"
      tenant = "acme"
      idempotency-key = { pointer = "/key", optional = true }
      [pools.p]
      protocol = "json-rpc"
      json-rpc = { framing = "content-length", calls-per-connection = 7, not-run-codes = [-32050], failure-codes = [5], answer-codes = [-32060], methods = { rate-lookup = "r" }, key-member = "k" }
      [pools.q]
      protocol = "json-rpc"
      [pools.h]
      [[routes]]
      pool = "p"
      """;

  private static OperatorConfiguration read(String text) {
    OperatorReader.Result result = OperatorReader.read(text);
    assertNotNull(result.operator(), () -> result.faults().toString());
    return result.operator();
  }

  @Test
  void listenersMethodsAndPoolsAreReadFromTheFile() {
    OperatorConfiguration operator = read(GOOD);
    CallSettings a = operator.listeners().get("a").rpc();
    assertEquals(
        new CallSettings(
            Framing.NEWLINE,
            BatchMode.APART,
            new Limits(8 << 10, 5, 3),
            9,
            700_000_000L,
            a.methods()),
        a);
    assertEquals(Set.of("rate.lookup"), a.methods().keySet());
    assertEquals("rates.example.org", a.methods().get("rate.lookup").host());
    assertTrue(a.methods().get("rate.lookup").states(Part.TIME_LEFT_MS));
    CallSettings b = operator.listeners().get("b").rpc();
    assertEquals(
        new CallSettings(
            Framing.DETECT,
            BatchMode.IN_TIME,
            new Limits(256 << 10, 32, 100),
            64,
            300_000_000_000L,
            b.methods()),
        b);
    assertEquals(Set.of("rate.lookup", "quote.issue"), b.methods().keySet());
    assertFalse(b.methods().get("quote.issue").states(Part.SESSION_KEY));
    assertNull(operator.listeners().get("c").rpc());
    assertEquals(
        new ServerSettings(
            Framing.CONTENT_LENGTH,
            7,
            Set.of(-32050),
            Set.of(5),
            Set.of(-32060),
            Map.of("rate-lookup", "r"),
            "k"),
        operator.pools().get("p").rpc());
    assertEquals(
        new ServerSettings(
            Framing.NEWLINE, 32, Set.of(), Set.of(), Set.of(), Map.of(), "idempotencyKey"),
        operator.pools().get("q").rpc());
    assertNull(operator.pools().get("h").rpc());
    assertEquals(operator, read(GOOD), "the same text gives an equal generation");
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '`',
      value = {
        "protocol = \"json-rpc\"\\njson-rpc = { framing|protocol = \"http\"\\njson-rpc = { framing|listeners.a.json-rpc: expected only with protocol",
        "framing = \"newline\"|framing = \"lines\"|listeners.a.json-rpc.framing: expected one of content-length, detect, newline, values",
        "batch-answers = \"apart\"|batch-answer = \"apart\"|listeners.a.json-rpc.batch-answer: unknown key, the nearest known one is batch-answers",
        "max-depth = 5|max-depth = 65|listeners.a.json-rpc.max-depth: expected a whole number from 3 to 64",
        "max-open-calls = 9|max-open-calls = 0|listeners.a.json-rpc.max-open-calls: expected a whole number from 1 to 10000",
        "name = \"quote.issue\"|name = \"rate.lookup\"|methods[1].name: expected a name of its own at listener b",
        "name = \"quote.issue\"|name = \"rpc.issue\"|methods[1].name: expected at most 256 characters that don't begin with rpc.",
        "listener = \"b\"|listener = \"c\"|methods[1].listener: expected a listener of this file with protocol",
        "pointer = \"/account\"|pointer = \"account\"|methods[0].tenant.pointer: expected a JSON Pointer, which is empty or begins with /",
        "pointer = \"/account\"|pointer = \"/a~2\"|methods[0].tenant.pointer: expected a JSON Pointer in which ~ is followed by 0 or 1",
        "pointer = \"/account\"|ponter = \"/account\"|methods[0].tenant.pointer: expected a JSON Pointer into the params",
        "time-left-ms = 500|time-left-ms = \"x\"|methods[0].time-left-ms: expected a whole number",
        "/rate-lookup/{/pair}|/rates/{/pair}|methods[0].path: expected a path that begins with its class",
        "/rate-lookup/{/pair}|/rate-lookup/{/pair|methods[0].path: expected } behind each {",
        "/rate-lookup/{/pair}|/rate-lookup/{pair}|methods[0].path: expected a JSON Pointer",
        "/rate-lookup/{/pair}|/rate-lookup/a b|methods[0].path: expected characters that a URL may have",
        "framing = \"content-length\"|framing = \"detect\"|pools.p.json-rpc.framing: expected one of content-length, newline, values",
        "failure-codes = [5]|failure-codes = [-32050]|pools.p.json-rpc: expected each code under one heading, got -32050",
        "failure-codes = [5]|failure-codes = [\"5\"]|pools.p.json-rpc.failure-codes: expected whole numbers",
        "host = \"Rates.Example.org\"|host = \"a b\"|methods[0].host: expected a host name",
        "[pools.h]|[pools.h]\\nprotocol = \"grpc\"|pools.h.protocol: expected one of http, json-rpc"
      })
  void eachFaultIsReportedWithItsKey(String before, String after, String expectedFault) {
    String text = GOOD.replace("\\n", "\n");
    String from = before.replace("\\n", "\n");
    assertTrue(text.contains(from), from);
    OperatorReader.Result result =
        OperatorReader.read(text.replace(from, after.replace("\\n", "\n")));
    assertNull(result.operator());
    assertTrue(
        result.faults().stream()
            .anyMatch(f -> (f.key() + ": " + f.expected()).startsWith(expectedFault)),
        () -> expectedFault + " not among " + result.faults());
  }

  @Test
  void listenerWithoutMethodsAndMethodsWithoutAListenerAreFaults() {
    OperatorReader.Result withoutMethods =
        OperatorReader.read("[listeners.a]\naddress = \"127.0.0.1:7001\"\nprotocol = \"json-rpc\"\n"
            + "[pools.p]\n[[routes]]\npool = \"p\"\n");
    assertTrue(
        withoutMethods.faults().toString().contains("expected at least one method"),
        withoutMethods.faults().toString());
    OperatorReader.Result withoutListener = OperatorReader.read(
        "[[methods]]\nname = \"m\"\nclass = \"c\"\n[pools.p]\n[[routes]]\n" + "pool = \"p\"\n");
    assertTrue(
        withoutListener.faults().toString().contains("expected a listener with protocol"),
        withoutListener.faults().toString());
  }
}
