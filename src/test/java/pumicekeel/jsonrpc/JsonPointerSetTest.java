package pumicekeel.jsonrpc;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import pumicekeel.jsonrpc.JsonPointerSet.Found;
import pumicekeel.jsonrpc.JsonPointerSet.Kind;

/** JSON Pointers of RFC 6901, with the example of its section 5. */
class JsonPointerSetTest {

  private static final String DOCUMENT = """
      {"foo": ["bar", "baz"], "": 0, "a/b": 1, "c%d": 2, "e^f": 3, "g|h": 4, "i\\\\j": 5, "k\\"l": 6, " ": 7, "m~n": 8}""";

  private static Found find(String document, String pointer) {
    return new JsonPointerSet(List.of(JsonPointer.of(pointer)))
        .resolve(document.getBytes(StandardCharsets.UTF_8))[0];
  }

  @ParameterizedTest
  @CsvSource(
      quoteCharacter = '`',
      ignoreLeadingAndTrailingWhitespace = false,
      value = {
        "/foo/0,bar",
        "/,0",
        "/a~1b,1",
        "/c%d,2",
        "/e^f,3",
        "/g|h,4",
        "/i\\j,5",
        "/k\"l,6",
        "/ ,7",
        "/m~0n,8"
      })
  void exampleOfTheRfc(String pointer, String value) {
    assertEquals(value, find(DOCUMENT, pointer).text());
  }

  @Test
  void documentsAndContainersHaveAKind() {
    assertEquals(Kind.OBJECT, find(DOCUMENT, "").kind());
    assertEquals(Kind.ARRAY, find(DOCUMENT, "/foo").kind());
    assertEquals(Kind.ARRAY, find("[1]", "").kind());
    assertEquals(Kind.NULL, find("{\"a\":null}", "/a").kind());
    assertEquals(Kind.BOOLEAN, find("{\"a\":true}", "/a").kind());
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "/foo/2",
        "/foo/-",
        "/foo/00",
        "/foo/01",
        "/foo/+1",
        "/foo/0/x",
        "/bar",
        "/foo/bar",
        "/ /x"
      })
  void pointerWithoutAValueIsAbsent(String pointer) {
    assertEquals(Kind.ABSENT, find(DOCUMENT, pointer).kind());
  }

  @Test
  void escapesAreDecodedInTheRightOrder() {
    assertEquals("x", find("{\"~1\":\"x\",\"/\":\"y\"}", "/~01").text());
    assertEquals("y", find("{\"~1\":\"x\",\"/\":\"y\"}", "/~1").text());
    for (String bad : new String[] {"foo", "/~", "/~2", "/a~"}) {
      assertThrows(IllegalArgumentException.class, () -> JsonPointer.of(bad), bad);
    }
  }

  @Test
  void pointersIntoOneAnotherAreResolvedInOnePass() {
    Found[] found = new JsonPointerSet(List.of(
            JsonPointer.of("/a/b"),
            JsonPointer.of("/a"),
            JsonPointer.of("/c/1/d"),
            JsonPointer.of("/a/b"),
            JsonPointer.of("/z")))
        .resolve(
            "{\"x\":{\"a\":{\"b\":0}},\"c\":[{\"d\":8},{\"d\":9}],\"a\":{\"q\":[1,{}],\"b\":\"t\"}}"
                .getBytes(StandardCharsets.UTF_8));
    assertEquals(
        List.of(
            new Found(Kind.STRING, "t"),
            new Found(Kind.OBJECT, null),
            new Found(Kind.NUMBER, "9"),
            new Found(Kind.STRING, "t"),
            new Found(Kind.ABSENT, null)),
        List.of(found));
    assertEquals(
        Kind.ABSENT, new JsonPointerSet(List.of(JsonPointer.of(""))).resolve(null)[0].kind());
  }

  @Test
  void memberNamedLikeAnIndexIsNotAnArrayIndex() {
    assertEquals("m", find("{\"a\":{\"0\":\"m\"}}", "/a/0").text());
    assertEquals("m", find("[[0],[\"m\"]]", "/1/0").text());
  }
}
