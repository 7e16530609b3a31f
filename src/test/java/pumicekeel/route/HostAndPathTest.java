package pumicekeel.route;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests how hosts and paths of requests are normalized, and which are rejected as malformed or ambiguous. */
class HostAndPathTest {

  @ParameterizedTest
  @CsvSource({
    "quote.example.org,quote.example.org",
    "quote.example.org:8080,quote.example.org",
    "QUOTE.Example.ORG.,quote.example.org",
    "quote.example.org.:80,quote.example.org",
    "a,a",
    "127.0.0.1:1,127.0.0.1",
    "[2001:DB8::1]:443,[2001:db8::1]",
    "[::1],[::1]",
    "x_y-z,x_y-z"
  })
  void equivalentHostsHaveOneCanonicalForm(String received, String canonical) {
    assertEquals(canonical, HostName.of(received));
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "",
        ".",
        ":80",
        "a..b",
        ".a",
        "a b",
        "user@a",
        "a/b",
        "a:b",
        "a:99999",
        "a:123456",
        "a,b",
        "[::1",
        "[::1]x",
        "a\u0000",
        "\u212Aey.example.org",
        "a%2eb",
        "[zz]"
      })
  void invalidHostIsRejected(String received) {
    assertNull(HostName.of(received));
  }

  @Test
  void hostIsBoundedInLengthAndAbsentHostIsNull() {
    assertNull(HostName.of(null));
    assertEquals("a".repeat(255), HostName.of("a".repeat(255)));
    assertNull(HostName.of("a".repeat(256)));
  }

  @Test
  void canonicalHostAndPathAreReturnedWithoutCopy() {
    String host = "quote.example.org";
    assertSame(host, HostName.of(host));
    String path = "/quote-issue/7";
    assertSame(path, RequestPath.of(path));
  }

  @ParameterizedTest
  @CsvSource({
    "/,/",
    "/a/b,/a/b",
    "/a/,/a/",
    "/%71uote,/quote",
    "/a%7eb,/a~b",
    "/a%c3%a9,/a%C3%A9",
    "/a%20b,/a%20b",
    "/...,/...",
    "/.a,/.a",
    "/a;b=c,/a;b=c"
  })
  void equivalentPathsHaveOneNormalizedForm(String received, String normalized) {
    assertEquals(normalized, RequestPath.of(received));
  }

  /** Servers interpret these paths differently, so a request could be routed by one interpretation and served by another. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "",
        "a",
        "?x=1",
        "*",
        "//",
        "//a",
        "/a//b",
        "/a/../b",
        "/..",
        "/.",
        "/a/.",
        "/a/./b",
        "/%2e%2e/b",
        "/.%2E/b",
        "/%2e",
        "/a%2Fb",
        "/a%2fb",
        "/a%5cb",
        "/a\\b",
        "/a%00b",
        "/a%",
        "/a%4",
        "/a%zz",
        "/a%252fb",
        "/a b",
        "/a\tb",
        "/a#b",
        "/\u00e9",
        "/a%0ab"
      })
  void ambiguousPathIsRejected(String received) {
    assertNull(RequestPath.of(received));
  }

  @Test
  void longPathIsAcceptedWithoutCopy() {
    String path = "/a".repeat(4096);
    assertSame(path, RequestPath.of(path));
    assertNull(RequestPath.of(path + "/.."));
  }

  @Test
  void prefixesAndTemplatesMatchWholeSegments() {
    PathPattern prefix = PathPattern.of(PathPattern.Kind.PREFIX, "/quote");
    assertTrue(prefix.matches("/quote") && prefix.matches("/quote/") && prefix.matches("/quote/7"));
    assertTrue(!prefix.matches("/quotes") && !prefix.matches("/") && !prefix.matches("/q/quote"));
    assertEquals(
        prefix.segments(), PathPattern.of(PathPattern.Kind.PREFIX, "/quote/").segments());
    PathPattern template = PathPattern.of(PathPattern.Kind.TEMPLATE, "/quote/{id}/pdf");
    assertTrue(template.matches("/quote/7/pdf"));
    assertTrue(!template.matches("/quote//pdf")
        && !template.matches("/quote/7")
        && !template.matches("/quote/7/pdf/x"));
    assertTrue(PathPattern.of(PathPattern.Kind.PREFIX, "/").matches("/any/thing"));
    assertTrue(PathPattern.of(PathPattern.Kind.EXACT, "/").matches("/"));
    assertTrue(!PathPattern.of(PathPattern.Kind.EXACT, "/").matches("/a"));
  }

  @ParameterizedTest
  @ValueSource(strings = {"", "quote", "/a//b", "/a/../b", "/a?b", "/a%2Fb", "/%61"})
  void patternThatCannotMatchIsRejected(String text) {
    assertThrows(
        IllegalArgumentException.class, () -> PathPattern.of(PathPattern.Kind.EXACT, text));
  }

  @Test
  void patternsAreBoundedAndPlaceholdersAreWholeSegments() {
    assertThrows(
        IllegalArgumentException.class,
        () -> PathPattern.of(PathPattern.Kind.PREFIX, "/a".repeat(33)));
    assertThrows(
        IllegalArgumentException.class,
        () -> PathPattern.of(PathPattern.Kind.TEMPLATE, "/a/x{id}"));
    assertThrows(
        IllegalArgumentException.class, () -> PathPattern.of(PathPattern.Kind.TEMPLATE, "/a/{}"));
  }
}
