package pumicekeel.jsonrpc;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Reading of valid and malformed JSON-RPC 2.0 frames. */
class MessageReaderTest {

  private final MessageReader reader = new MessageReader(new Limits(1 << 20, 8, 5));

  private Message read(String text) {
    return reader.read(text.getBytes(StandardCharsets.UTF_8));
  }

  private Message.Call call(String text) {
    return assertInstanceOf(
        Message.Call.class, assertInstanceOf(Message.Single.class, read(text)).entry());
  }

  private void assertMalformed(int code, String text) {
    assertEquals(
        code, assertInstanceOf(Message.Malformed.class, read(text), text).code(), text);
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "1",
        "1.0",
        "1e0",
        "-0",
        "123456789012345678901234567890",
        "\"1\"",
        "\"\\u0031\"",
        "\"\"",
        "null",
        "1E+2",
        "\"\u20ac\""
      })
  void idIsKeptByteForByte(String id) {
    Message.Call call = call("{\"jsonrpc\":\"2.0\",\"method\":\"m\",\"id\" : " + id + " }");
    assertArrayEquals(id.getBytes(StandardCharsets.UTF_8), call.id().raw());
  }

  @Test
  void idsAreEqualAsStringsOrBySpelling() {
    assertEquals(idOf("\"1\""), idOf("\"\\u0031\""));
    assertNotEquals(idOf("1"), idOf("\"1\""));
    assertNotEquals(idOf("1"), idOf("1.0"));
    assertNotEquals(idOf("null"), idOf("\"null\""));
    assertEquals(7, Id.of(7).asNumber());
    for (String other : new String[] {"07", "-7", "7.0", "\"7\"", "9999999999999999999"}) {
      assertNotEquals(7, other.equals("07") ? -1 : idOf(other).asNumber(), other);
    }
  }

  private Id idOf(String id) {
    return call("{\"jsonrpc\":\"2.0\",\"method\":\"m\",\"id\":" + id + "}").id();
  }

  @Test
  void paramsAreKeptByteForByteAtAnyPosition() {
    String params = "{ \"a\" : [1.0, 1e400, \"\\u00e9\u00e9\", {\"b\":null}] }";
    Message.Call call = call(" {\"params\":" + params
        + ",\"more\":[{\"x\":1}],\"id\":1,\"method\":\"m\",\"jsonrpc\":\"2.0\"} ");
    assertEquals(params, new String(call.params(), StandardCharsets.UTF_8));
    assertNull(call("{\"jsonrpc\":\"2.0\",\"method\":\"m\"}").id());
    assertNull(call("{\"jsonrpc\":\"2.0\",\"method\":\"m\"}").params());
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "{\"method\":\"m\",\"id\":1}",
        "{\"jsonrpc\":2.0,\"method\":\"m\",\"id\":1}",
        "{\"jsonrpc\":\"2.1\",\"method\":\"m\",\"id\":1}",
        "{\"jsonrpc\":\"2.0\",\"method\":1,\"id\":1}",
        "{\"jsonrpc\":\"2.0\",\"method\":\"m\",\"params\":\"bar\",\"id\":1}",
        "{\"jsonrpc\":\"2.0\",\"method\":\"m\",\"params\":null,\"id\":1}",
        "{\"jsonrpc\":\"2.0\",\"result\":1,\"error\":{\"code\":1,\"message\":\"x\"},\"id\":1}",
        "{\"jsonrpc\":\"2.0\",\"error\":{\"code\":\"1\",\"message\":\"x\"},\"id\":1}",
        "{\"jsonrpc\":\"2.0\",\"error\":{\"code\":1},\"id\":1}",
        "{\"jsonrpc\":\"2.0\",\"id\":1}"
      })
  void invalidRequestKeepsItsId(String text) {
    Message.Invalid invalid = assertInstanceOf(
        Message.Invalid.class,
        assertInstanceOf(Message.Single.class, read(text)).entry());
    assertEquals("1", invalid.id().toString());
  }

  @ParameterizedTest
  @ValueSource(strings = {"[1]", "{}", "true"})
  void idOfAnotherTypeIsTheNullId(String id) {
    assertEquals(
        Id.NULL,
        assertInstanceOf(
                Message.Invalid.class,
                assertInstanceOf(
                        Message.Single.class,
                        read("{\"jsonrpc\":\"2.0\",\"method\":\"m\",\"id\":" + id + "}"))
                    .entry())
            .id());
    assertEquals(
        Id.NULL,
        assertInstanceOf(
                Message.Invalid.class,
                assertInstanceOf(
                        Message.Single.class,
                        read("{\"jsonrpc\":\"2.0\",\"method\":\"m\",\"id\":\"" + "x".repeat(300)
                            + "\"}"))
                    .entry())
            .id());
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "",
        " ",
        "{",
        "{\"a\":tru}",
        "{\"a\":1,}",
        "{'a':1}",
        "{}{}",
        "{\"a\":01}",
        "{\"a\":NaN}",
        "{\"a\":1,\"a\":2}",
        "{\"jsonrpc\":\"2.0\",\"method\":\"m\",\"params\":{\"k\":1,\"k\":2}}",
        "{\"a\":\"\\ud800\"}",
        "{\"a\":\"\\ud800x\"}",
        "{\"a\":\"\\udc00\"}",
        "{\"a\":\"\\ud800\\ud800\"}",
        "{\"a\":\"\\udc00\\ud800\"}",
        "\u0000{}",
        "\ufeff{}",
        "{\"a\":\"\t\"}",
        "[1,2",
        "// x\n{}"
      })
  void ambiguousJsonIsRejected(String text) {
    assertMalformed(ErrorCodes.PARSE, text);
  }

  @Test
  void surrogatePairsAndEscapedBackslashesAreForwarded() {
    String params = "[\"\\ud83d\\ude00\",\"\\\\ud800\",\"\\\\\\\"\",\"\ud83d\ude00\"]";
    assertEquals(
        params,
        new String(
            call("{\"jsonrpc\":\"2.0\",\"method\":\"m\",\"params\":" + params + "}")
                .params(),
            StandardCharsets.UTF_8));
  }

  @Test
  void otherEncodingsAndInvalidUtf8AreRejected() {
    String text = "{\"jsonrpc\":\"2.0\",\"method\":\"m\"}";
    for (byte[] bytes : new byte[][] {
      text.getBytes(StandardCharsets.UTF_16LE),
      text.getBytes(StandardCharsets.UTF_16),
      "{\"a\":\"\u00e9\"}".getBytes(StandardCharsets.ISO_8859_1),
      {'{', '"', (byte) 0xc0, (byte) 0x80, '"', ':', '1', '}'},
      {'{', '"', (byte) 0xed, (byte) 0xa0, (byte) 0x80, '"', ':', '1', '}'}
    }) {
      assertEquals(
          ErrorCodes.PARSE,
          assertInstanceOf(Message.Malformed.class, reader.read(bytes)).code());
    }
  }

  @Test
  void limitsApplyAtAnyPosition() {
    assertMalformed(ErrorCodes.INVALID_REQUEST, "[" + "1,".repeat(5) + "1]");
    assertMalformed(ErrorCodes.INVALID_REQUEST, "{\"a\":" + "[".repeat(8) + "]".repeat(8) + "}");
    assertMalformed(
        ErrorCodes.INVALID_REQUEST,
        "{\"jsonrpc\":\"2.0\",\"method\":\"m\",\"params\":[" + "9".repeat(1_001) + "]}");
    assertInstanceOf(Message.Single.class, read("{\"a\":" + "[".repeat(7) + "]".repeat(7) + "}"));
    assertInstanceOf(Message.Batch.class, read("[" + "1,".repeat(4) + "1]"));
    assertInstanceOf(Message.Malformed.class, read("[".repeat(100_000)));
    assertInstanceOf(Message.Malformed.class, read("{\"a\":" + "[".repeat(100_000)));
    assertInstanceOf(Message.Malformed.class, read("{\"a\":" + "9".repeat(1 << 19) + "}"));
  }

  @Test
  void replyKeepsItsResultOrErrorByteForByte() {
    Message.Reply served = assertInstanceOf(
        Message.Reply.class,
        assertInstanceOf(
                Message.Single.class, read("{\"jsonrpc\":\"2.0\",\"result\": null ,\"id\":3}"))
            .entry());
    assertEquals("null", new String(served.result(), StandardCharsets.UTF_8));
    String error = "{\"message\":\"m\",\"code\":-5,\"data\":{\"x\":[1]}}";
    Message.Reply failed = assertInstanceOf(
        Message.Reply.class,
        assertInstanceOf(
                Message.Single.class,
                read("{\"jsonrpc\":\"2.0\",\"error\":" + error + ",\"id\":3}"))
            .entry());
    assertEquals(error, new String(failed.error(), StandardCharsets.UTF_8));
    assertEquals(-5, failed.code());
    assertNull(failed.result());
  }

  @Test
  void valueIsOneCompleteValueWithinTheLimits() {
    for (String good : new String[] {"1", "null", "\"x\"", " {\"a\":[]} ", "[1,2]"}) {
      assertTrue(reader.isValue(good.getBytes(StandardCharsets.UTF_8)), good);
    }
    for (String bad : new String[] {
      "", "1 2", "{", "[1", "{\"a\":1,\"a\":2}", "nul", "[".repeat(9) + "]".repeat(9)
    }) {
      assertFalse(reader.isValue(bad.getBytes(StandardCharsets.UTF_8)), bad);
    }
  }
}
