package pumicekeel.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import pumicekeel.jsonrpc.Framing;
import pumicekeel.standin.StandInRpcClient;
import pumicekeel.standin.StandInRpcServer;

/** The examples of section 7 of the JSON-RPC 2.0 specification, through listener, core and server. */
class RpcSpecificationTest {

  private static final long TIMEOUT_MILLIS = 20_000;

  /** Messages and their answers, null for none. The texts are those of the specification. */
  private static final String[][] EXAMPLES = {
    {
      "{\"jsonrpc\": \"2.0\", \"method\": \"subtract\", \"params\": [42, 23], \"id\": 1}",
      "{\"jsonrpc\": \"2.0\", \"result\": 19, \"id\": 1}"
    },
    {
      "{\"jsonrpc\": \"2.0\", \"method\": \"subtract\", \"params\": [23, 42], \"id\": 2}",
      "{\"jsonrpc\": \"2.0\", \"result\": -19, \"id\": 2}"
    },
    {
      "{\"jsonrpc\": \"2.0\", \"method\": \"subtract\", \"params\": {\"subtrahend\": 23, \"minuend\": 42}, \"id\": 3}",
      "{\"jsonrpc\": \"2.0\", \"result\": 19, \"id\": 3}"
    },
    {
      "{\"jsonrpc\": \"2.0\", \"method\": \"subtract\", \"params\": {\"minuend\": 42, \"subtrahend\": 23}, \"id\": 4}",
      "{\"jsonrpc\": \"2.0\", \"result\": 19, \"id\": 4}"
    },
    {"{\"jsonrpc\": \"2.0\", \"method\": \"update\", \"params\": [1,2,3,4,5]}", null},
    {"{\"jsonrpc\": \"2.0\", \"method\": \"foobar\"}", null},
    {
      "{\"jsonrpc\": \"2.0\", \"method\": \"foobar\", \"id\": \"1\"}",
      "{\"jsonrpc\": \"2.0\", \"error\": {\"code\": -32601, \"message\": \"Method not found\"}, \"id\": \"1\"}"
    },
    {
      "{\"jsonrpc\": \"2.0\", \"method\": \"foobar, \"params\": \"bar\", \"baz]",
      "{\"jsonrpc\": \"2.0\", \"error\": {\"code\": -32700, \"message\": \"Parse error\"}, \"id\": null}"
    },
    {
      "{\"jsonrpc\": \"2.0\", \"method\": 1, \"params\": \"bar\"}",
      "{\"jsonrpc\": \"2.0\", \"error\": {\"code\": -32600, \"message\": \"Invalid Request\"}, \"id\": null}"
    },
    {
      "[\n  {\"jsonrpc\": \"2.0\", \"method\": \"sum\", \"params\": [1,2,4], \"id\": \"1\"},\n"
          + "  {\"jsonrpc\": \"2.0\", \"method\"\n]",
      "{\"jsonrpc\": \"2.0\", \"error\": {\"code\": -32700, \"message\": \"Parse error\"}, \"id\": null}"
    },
    {
      "[]",
      "{\"jsonrpc\": \"2.0\", \"error\": {\"code\": -32600, \"message\": \"Invalid Request\"}, \"id\": null}"
    },
    {
      "[1]",
      "[\n  {\"jsonrpc\": \"2.0\", \"error\": {\"code\": -32600, \"message\": \"Invalid Request\"}, \"id\": null}\n]"
    },
    {
      "[1,2,3]",
      "[\n  {\"jsonrpc\": \"2.0\", \"error\": {\"code\": -32600, \"message\": \"Invalid Request\"}, \"id\": null},\n"
          + "  {\"jsonrpc\": \"2.0\", \"error\": {\"code\": -32600, \"message\": \"Invalid Request\"}, \"id\": null},\n"
          + "  {\"jsonrpc\": \"2.0\", \"error\": {\"code\": -32600, \"message\": \"Invalid Request\"}, \"id\": null}\n]"
    },
    {
      "[\n        {\"jsonrpc\": \"2.0\", \"method\": \"sum\", \"params\": [1,2,4], \"id\": \"1\"},\n"
          + "        {\"jsonrpc\": \"2.0\", \"method\": \"notify_hello\", \"params\": [7]},\n"
          + "        {\"jsonrpc\": \"2.0\", \"method\": \"subtract\", \"params\": [42,23], \"id\": \"2\"},\n"
          + "        {\"foo\": \"boo\"},\n"
          + "        {\"jsonrpc\": \"2.0\", \"method\": \"foo.get\", \"params\": {\"name\": \"myself\"}, \"id\": \"5\"},\n"
          + "        {\"jsonrpc\": \"2.0\", \"method\": \"get_data\", \"id\": \"9\"} \n    ]",
      "[\n        {\"jsonrpc\": \"2.0\", \"result\": 7, \"id\": \"1\"},\n"
          + "        {\"jsonrpc\": \"2.0\", \"result\": 19, \"id\": \"2\"},\n"
          + "        {\"jsonrpc\": \"2.0\", \"error\": {\"code\": -32600, \"message\": \"Invalid Request\"}, \"id\": null},\n"
          + "        {\"jsonrpc\": \"2.0\", \"error\": {\"code\": -32601, \"message\": \"Method not found\"}, \"id\": \"5\"},\n"
          + "        {\"jsonrpc\": \"2.0\", \"result\": [\"hello\", 5], \"id\": \"9\"}\n    ]"
    },
    {
      "[\n        {\"jsonrpc\": \"2.0\", \"method\": \"notify_sum\", \"params\": [1,2,4]},\n"
          + "        {\"jsonrpc\": \"2.0\", \"method\": \"notify_hello\", \"params\": [7]}\n    ]",
      null
    }
  };

  private static String result(StandInRpcServer.ReceivedCall call) {
    String params = call.params();
    return switch (call.method()) {
      case "subtract" -> {
        String[] n = params.replaceAll("[^0-9,]", "").split(",");
        boolean reversed =
            params.startsWith("{") && params.indexOf("subtrahend") < params.indexOf("minuend");
        int first = Integer.parseInt(n[0]);
        int second = Integer.parseInt(n[1]);
        yield Integer.toString(reversed ? second - first : first - second);
      }
      case "sum" -> "7";
      case "get_data" -> "[\"hello\", 5]";
      default -> "null";
    };
  }

  /** Returns a comparable form: tokens as written, members sorted by name, entries of a batch sorted by text. */
  private static String canonical(String json) throws Exception {
    try (JsonParser p = new JsonFactory().createParser(json)) {
      p.nextToken();
      return canonical(p, true);
    }
  }

  private static String canonical(JsonParser p, boolean top) throws Exception {
    if (p.currentToken() == JsonToken.START_OBJECT) {
      TreeMap<String, String> members = new TreeMap<>();
      while (p.nextToken() != JsonToken.END_OBJECT) {
        String name = p.currentName();
        p.nextToken();
        members.put(name, canonical(p, false));
      }
      return members.toString();
    }
    if (p.currentToken() == JsonToken.START_ARRAY) {
      List<String> entries = new ArrayList<>();
      while (p.nextToken() != JsonToken.END_ARRAY) {
        entries.add(canonical(p, false));
      }
      if (top) {
        entries.sort(null);
      }
      return entries.toString();
    }
    return p.currentToken() == JsonToken.VALUE_STRING ? '"' + p.getText() + '"' : p.getText();
  }

  @ParameterizedTest
  @EnumSource(names = {"CONTENT_LENGTH", "DETECT"})
  void examplesOfSection7(Framing framing) throws Exception {
    try (TestServices t = new TestServices()) {
      StandInRpcServer server = t.server("s1");
      server.script((call, c) -> c.result(call.id(), result(call)));
      StringBuilder methods = new StringBuilder();
      for (String name :
          new String[] {"subtract", "update", "sum", "notify_hello", "get_data", "notify_sum"}) {
        methods
            .append("[[methods]]\nname = \"")
            .append(name)
            .append("\"\nclass = \"rate-lookup\"\ntenant = \"acme\"\n");
      }
      t.start("[listeners.rpc]\naddress = \"127.0.0.1:0\"\nprotocol = \"json-rpc\"\n" + methods
          + "[sources.s]\nstatic = " + t.list("s1")
          + "\n[pools.p]\nsource = \"s\"\nprotocol = \"json-rpc\"\n[[routes]]\npool = \"p\"\n");
      // Detection uses the first byte: a header for one framing, a value for the other.
      Framing used = framing == Framing.DETECT ? Framing.VALUES : framing;
      StandInRpcClient client = t.rpcClient("rpc", used);
      for (String[] example : EXAMPLES) {
        boolean broken = example[1] != null && example[1].contains("-32700");
        client.send(example[0]);
        if (example[1] == null) {
          continue;
        }
        String answer = client.next(TIMEOUT_MILLIS);
        assertNotNull(answer, example[0]);
        assertEquals(canonical(example[1]), canonical(answer), example[0]);
        if (broken && used == Framing.VALUES) {
          // Without framing the start of the next message is unknown, so the connection is closed,
          // as documented for operators.
          assertEquals(true, client.awaitEnd(TIMEOUT_MILLIS));
          client = t.rpcClient("rpc", used);
        }
      }
      assertNull(client.next(200), "an answer to a notification");
      assertEquals(
          List.of("notify_hello", "notify_hello", "notify_sum", "update"),
          server.received().stream()
              .map(StandInRpcServer.ReceivedCall::method)
              .filter(m -> m.startsWith("notify") || m.equals("update"))
              .sorted()
              .toList());
    }
  }

  @Test
  void answersKeepTheSpellingOfTheSpecification() throws Exception {
    try (TestServices t = new TestServices()) {
      t.server("s1");
      t.start(RpcFiles.toServers(t, "framing = \"newline\"", "", "s1"));
      StandInRpcClient client = t.rpcClient("rpc", Framing.NEWLINE);
      assertEquals(
          "{\"jsonrpc\":\"2.0\",\"result\":{\"account\":\"acme\",\"n\":1e0},\"id\":1.0}",
          client.send(RpcFiles.lookup("1.0", "1e0")).next(TIMEOUT_MILLIS));
      assertEquals(
          "{\"jsonrpc\":\"2.0\",\"error\":{\"code\":-32700,\"message\":\"Parse error\"},\"id\":null}",
          client
              .send("{\"jsonrpc\": \"2.0\", \"method\": \"foobar, \"params\": \"bar\", \"baz]")
              .next(TIMEOUT_MILLIS));
      client.raw("\n\n  \n".getBytes(StandardCharsets.US_ASCII));
      assertEquals(
          "{\"jsonrpc\":\"2.0\",\"result\":{\"account\":\"acme\",\"n\":2},\"id\":\"\\u00e9\"}",
          client.send(RpcFiles.lookup("\"\\u00e9\"", "2")).next(TIMEOUT_MILLIS));
    }
  }
}
