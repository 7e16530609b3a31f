package pumicekeel.upstream.jsonrpc;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.netty.handler.codec.http.HttpMethod;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import pumicekeel.Balancer.DedupScope;
import pumicekeel.Balancer.Effect;
import pumicekeel.Balancer.RequestClass;
import pumicekeel.Balancer.Status;
import pumicekeel.call.ClientRequest;
import pumicekeel.call.Payload;
import pumicekeel.jsonrpc.Framing;
import pumicekeel.jsonrpc.Message;

/** Translation of HTTP requests into calls, and the status for error codes. */
class HttpCallTranslatorTest {

  private final ServerSettings settings = new ServerSettings(
      Framing.NEWLINE,
      32,
      Set.of(-32050, 77),
      Set.of(78),
      Set.of(-32060),
      Map.of("rate-lookup", "rate.lookup"),
      "key");

  private Message.Call call(String method, String uri, String body, String key)
      throws HttpCallTranslator.UntranslatableException {
    boolean get = method.equals("GET");
    RequestClass type = new RequestClass(
        get ? "rate-lookup" : "quote-issue",
        get ? Effect.SAFE : Effect.KEYED,
        DedupScope.ALL,
        1,
        1,
        0,
        1,
        1,
        0,
        false);
    return HttpCallTranslator.toCall(
        new ClientRequest(
            "1",
            type,
            null,
            null,
            1,
            0,
            false,
            new Payload.Http(
                HttpMethod.valueOf(method), uri, "h", null, body.getBytes(StandardCharsets.UTF_8)),
            key),
        settings);
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '`',
      nullValues = "-",
      value = {
        "/rate-lookup|-",
        "/rate-lookup/|-",
        "/rate-lookup/7|{\"path\":\"/7\"}",
        "/rate-lookup?a=1&b=x%20%22y|{\"a\":\"1\",\"b\":\"x \\\"y\"}",
        "/rate-lookup/%C3%A9?a=|{\"path\":\"/\\u00e9\",\"a\":\"\"}"
      })
  void getBecomesAnObjectOfStrings(String uri, String params) throws Exception {
    Message.Call call = call("GET", uri, "", null);
    assertEquals("rate.lookup", call.method());
    assertEquals(
        params, call.params() == null ? null : new String(call.params(), StandardCharsets.UTF_8));
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '`',
      value = {
        "{}|{\"key\":\"k1\"}",
        "{ }|{\"key\":\"k1\" }",
        "{\"a\":[1]}|{\"key\":\"k1\",\"a\":[1]}",
        "{\"key\":\"k1\"}|{\"key\":\"k1\"}"
      })
  void keyOfAPostIsAddedToTheParams(String body, String params) throws Exception {
    assertEquals(
        params,
        new String(call("POST", "/quote-issue", body, "k1").params(), StandardCharsets.UTF_8));
  }

  @Test
  void emptyPostHasOnlyItsKeyAsParams() throws Exception {
    Message.Call call = call("POST", "/quote-issue", "", "a\"b");
    assertEquals("quote-issue", call.method());
    assertEquals("{\"key\":\"a\\\"b\"}", new String(call.params(), StandardCharsets.UTF_8));
  }

  @Test
  void untranslatableRequestIsRejectedBeforeSending() {
    for (String body : new String[] {
      "1",
      "\"x\"",
      "{",
      "{\"a\":1,\"a\":2}",
      "[1]",
      "{\"key\":\"other\"}",
      "{\"key\":1}",
      "{\"a\":\"\\ud800\"}",
      "x=1&y=2"
    }) {
      assertThrows(
          HttpCallTranslator.UntranslatableException.class,
          () -> call("POST", "/quote-issue", body, "k1"),
          body);
    }
    for (String uri :
        new String[] {"/rate-lookup?a=1&a=2", "/rate-lookup/7?path=8", "/rate-lookup?a=%zz"}) {
      assertThrows(
          HttpCallTranslator.UntranslatableException.class, () -> call("GET", uri, "", null), uri);
    }
  }

  @Test
  void statusByErrorCode() {
    assertEquals(Status.FULL, settings.statusOf(-32050));
    assertEquals(Status.FULL, settings.statusOf(77));
    assertEquals(Status.ERROR, settings.statusOf(78));
    assertEquals(Status.ERROR, settings.statusOf(-32603));
    assertEquals(Status.ERROR, settings.statusOf(-32000));
    assertEquals(Status.ERROR, settings.statusOf(-32099));
    for (int application : new int[] {-32060, 1, 0, -1, -32602, -32601, -31999, -32100}) {
      assertEquals(Status.SERVED, settings.statusOf(application), "" + application);
    }
  }
}
