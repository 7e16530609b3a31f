package pumicekeel.front.jsonrpc;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import pumicekeel.front.jsonrpc.MethodMapping.At;
import pumicekeel.front.jsonrpc.MethodMapping.BadParams;
import pumicekeel.front.jsonrpc.MethodMapping.CallFields;
import pumicekeel.front.jsonrpc.MethodMapping.Constant;
import pumicekeel.front.jsonrpc.MethodMapping.Part;
import pumicekeel.front.jsonrpc.MethodMapping.Text;
import pumicekeel.front.jsonrpc.MethodMapping.Value;
import pumicekeel.jsonrpc.JsonPointer;

/** Reading of request fields from the params of a call. */
class MethodMappingTest {

  private static At at(String pointer) {
    return new At(JsonPointer.of(pointer), false);
  }

  private final MethodMapping mapping = new MethodMapping(
      "m",
      "quote-issue",
      "h",
      Map.of(
          Part.TENANT,
          at("/who/account"),
          Part.SESSION_KEY,
          new At(JsonPointer.of("/session"), true),
          Part.IDEMPOTENCY_KEY,
          at("/key"),
          Part.TIME_LEFT_MS,
          new At(JsonPointer.of("/left"), true),
          Part.WORK_HINT_US,
          new Constant("70")),
      List.of(new Text("/quote-issue/"), new Value(JsonPointer.of("/id")), new Text("?v=1")));

  private CallFields read(String params) throws BadParams {
    return mapping.read(params.getBytes(StandardCharsets.UTF_8));
  }

  @Test
  void fieldsComeFromPointersOrConstants() throws BadParams {
    assertEquals(
        new CallFields("a", "s", "k", 1_500, 70, "/quote-issue/7%2F%20%C3%A9?v=1"),
        read(
            "{\"left\":1500,\"who\":{\"account\":\"a\"},\"session\":\"s\",\"key\":\"k\",\"id\":\"7/ \u00e9\"}"));
    assertEquals(
        new CallFields("a", null, "12", -1, 70, "/quote-issue/9?v=1"),
        read("{\"who\":{\"account\":\"a\"},\"key\":12,\"id\":9}"));
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '`',
      value = {
        "/who/account|{\"who\":{},\"key\":\"k\",\"id\":1}",
        "/who/account|{\"who\":{\"account\":null},\"key\":\"k\",\"id\":1}",
        "/who/account|{\"who\":{\"account\":\"\"},\"key\":\"k\",\"id\":1}",
        "/who/account|{\"who\":{\"account\":1.0},\"key\":\"k\",\"id\":1}",
        "/who/account|[]",
        "/session|{\"who\":{\"account\":\"a\"},\"session\":true,\"key\":\"k\",\"id\":1}",
        "/key|{\"who\":{\"account\":\"a\"},\"key\":[],\"id\":1}",
        "/key|{\"who\":{\"account\":\"a\"},\"key\":\"a\\r\\nb\",\"id\":1}",
        "/left|{\"who\":{\"account\":\"a\"},\"key\":\"k\",\"left\":\"5\",\"id\":1}",
        "/left|{\"who\":{\"account\":\"a\"},\"key\":\"k\",\"left\":-5,\"id\":1}",
        "/left|{\"who\":{\"account\":\"a\"},\"key\":\"k\",\"left\":1e9,\"id\":1}",
        "/id|{\"who\":{\"account\":\"a\"},\"key\":\"k\"}",
        "/id|{\"who\":{\"account\":\"a\"},\"key\":\"k\",\"id\":\"..\"}"
      })
  void missingOrMistypedValueIsNamedByItsPointer(String pointer, String params) {
    String why = assertThrows(BadParams.class, () -> read(params)).getMessage();
    assertTrue(why.startsWith(pointer + ": expected"), why);
  }

  @Test
  void absentParamsAreRejected() {
    assertThrows(BadParams.class, () -> mapping.read(null));
  }

  @Test
  void hugeTimesDoNotOverflow() throws BadParams {
    assertEquals(
        MethodMapping.MAX_NUMBER,
        read("{\"who\":{\"account\":\"a\"},\"key\":\"k\",\"id\":1,\"left\":999999999999}")
            .timeLeftMillis());
  }
}
