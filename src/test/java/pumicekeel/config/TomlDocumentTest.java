package pumicekeel.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.math.BigInteger;
import java.time.LocalDate;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import pumicekeel.rig.scale.ConfigurationGenerator;
import pumicekeel.rig.scale.ConfigurationGenerator.Size;

/** TOML as plain values with line numbers, and one clear message for each syntax error. */
class TomlDocumentTest {

  private static final String TRICKY = """
      # [not.a.table] "
      a = "x # y = [" # one
      b.c.d = 1       # two
      long = \"""
      [no.header]
      k = 1 \\\"""
      \"""
      raw = '''
      ''k''='''       # raw
      list = [ 1,     # l0
        # 2,
        [ 3 ],        # l1
        { n = "}", m = { o = '\\' } }, # l2
      ]
      last = true     # last

      [t."q.r"]       # qr
      k = 1           # qrk
      [[t.s]]         # s0
      k = 1
      [[t.s]]         # s1
      k = 2           # s1k
      [t.s.u]         # s1u
      k = 3           # s1uk
      [t]             # t
      k = 4           # tk
      """;

  private static TomlDocument parsed(String text) {
    List<Fault> faults = new ArrayList<>();
    TomlDocument document = TomlDocument.parse(text, faults);
    assertEquals(List.of(), faults);
    return document;
  }

  private static List<Fault> faults(String text) {
    List<Fault> faults = new ArrayList<>();
    assertNull(TomlDocument.parse(text, faults));
    return faults;
  }

  private static void onlyFault(String text, int line, String part) {
    List<Fault> faults = faults(text);
    assertEquals(1, faults.size(), faults.toString());
    assertEquals(line, faults.get(0).line(), faults.toString());
    assertTrue(faults.get(0).in("f").contains(part), faults.toString());
  }

  private static KeyPath path(Object... steps) {
    KeyPath path = KeyPath.ROOT;
    for (Object step : steps) {
      path = step instanceof Integer i ? path.element(i) : path.key((String) step);
    }
    return path;
  }

  @Test
  void valuesHaveTheTypesOfTheFile() {
    Map<String, Object> root = parsed(
            "t = \"x\"\ni = 7\nbig = 99999999999999999999\nf = 1.5\nn = nan\nb = true\nd = 2026-01-31\nl = [1, \"x\"]\n")
        .root();
    assertEquals(
        List.of(
            "x",
            7L,
            new BigInteger("99999999999999999999"),
            1.5,
            Double.NaN,
            true,
            LocalDate.of(2026, 1, 31),
            List.of(1L, "x")),
        List.copyOf(root.values()));
  }

  @Test
  void everyKeyAndElementHasItsLine() {
    TomlDocument document = parsed(TRICKY);
    Map<KeyPath, String> marks = Map.ofEntries(
        Map.entry(path("a"), "# one"),
        Map.entry(path("b", "c", "d"), "# two"),
        Map.entry(path("long"), "long ="),
        Map.entry(path("raw"), "raw ="),
        Map.entry(path("list", 0), "# l0"),
        Map.entry(path("list", 1, 0), "# l1"),
        Map.entry(path("list", 2, "m", "o"), "# l2"),
        Map.entry(path("last"), "# last"),
        Map.entry(path("t", "q.r", "k"), "# qrk"),
        Map.entry(path("t", "s", 0), "# s0"),
        Map.entry(path("t", "s", 1, "k"), "# s1k"),
        Map.entry(path("t", "s", 1, "u", "k"), "# s1uk"),
        Map.entry(path("t", "k"), "# tk"),
        Map.entry(path("t", "s", 1, "absent", "more"), "# s1\n"),
        Map.entry(path("absent"), "# [not"));
    marks.forEach((path, mark) -> {
      String before = TRICKY.substring(0, TRICKY.indexOf(mark));
      assertEquals(
          before.chars().filter(c -> c == '\n').count() + 1,
          document.lineOf(path),
          path.toString());
    });
  }

  @Test
  void everyTenantAndRouteOfALargeFileHasItsLine() {
    ConfigurationGenerator generator = new ConfigurationGenerator(new Size(5, 60, 70, 20), 3);
    List<String> lines = generator.text().lines().toList();
    TomlDocument document = parsed(generator.text());
    for (int i = 0; i < 60; i++) {
      int line = document.lineOf(path("routes", i, "name"));
      assertEquals("name = \"route-" + i + "\"", lines.get(line - 1));
    }
    for (int i = 0; i < 70; i++) {
      String pool = ConfigurationGenerator.poolName(generator.poolOfTenant(i));
      int line = document.lineOf(path("pools", pool, "tenants", i / 5, "name"));
      assertTrue(lines.get(line - 1).contains(ConfigurationGenerator.tenantName(i)));
    }
  }

  @Test
  void duplicateKeyIsReportedWithBothLines() {
    onlyFault(
        "[a]\nx = 1\ny = [\n2,\n]\nx = 3\n\n# c\nz = 1\n", 6, "f:6: x: expected each key once");
    onlyFault("[a.b]\n[c]\n[a.b]\n", 3, "a.b: expected each key once, this one stands on line 1");
    onlyFault("t = [\n  { n = 1, m = 2, n = 3 },\n]\n", 2, "n: expected each key once");
  }

  @Test
  void faultHasItsOwnLineNotThatOfTheNextToken() {
    onlyFault("[[routes]\n\n# c\npool = \"a\"\n", 1, "STD_TABLE_CLOSE");
    onlyFault("a = 1\nb = 2026-13-45\n# c\n\nc = 1\n", 2, "an existing date");
    onlyFault("a = 1\nb = { d = 2026-13-45, e = 1 }\nc = 1\n", 2, "an existing date");
    onlyFault("a = \"one\nb = 1\n", 1, "Newline");
    onlyFault("a = tru\nb = 1\n", 1, "TOML");
    onlyFault("a = 1\nb = " + "9".repeat(100_000) + "\nc = 1\n", 2, "number");
    onlyFault("a = 1\n\u0001\n", 2, "control character");
  }

  @Test
  void deepNestingOfEachKindIsOneFaultWithItsLine() {
    onlyFault("a = 1\nb = " + "[".repeat(300_000) + "\nc = 1\n", 2, "less nesting");
    onlyFault("a = 1\nb = " + "{x=".repeat(300_000) + "\nc = 1\n", 2, "less nesting");
    onlyFault("a = 1\n" + "b.".repeat(300_000) + "c = 1\nc = 1\n", 2, "less nesting");
    onlyFault("a = 1\n[" + "b.".repeat(300_000) + "c]\nc = 1\n", 2, "less nesting");
    assertNotNull(parsed("a = " + "[".repeat(60) + "]".repeat(60) + "\n"));
  }

  @Test
  void onePassReportsSeveralFaultsUpToALimit() {
    String bad = "[a]\nx = \n[b]\ny = 1\n[c]\nz = \"\\q\"\n";
    assertEquals(List.of(2, 6), faults(bad).stream().map(Fault::line).toList());
    assertEquals(20, faults("[a]\nx =\n".repeat(100_000)).size());
  }

  /** Any text is either parsed or rejected, and the line of each fault is within the text. */
  @Test
  void corruptedTextIsParsedOrRejectedWithLinesWithinIt() {
    long seed = new SplittableRandom().nextLong();
    SplittableRandom random = new SplittableRandom(seed);
    String good = TRICKY + new ConfigurationGenerator(new Size(2, 8, 6, 2), 1).text();
    String marks = "[]{}\"'\\=.,#\n\r\t 0_x\u0000\u00e9\ud800";
    for (int i = 0; i < 2_000; i++) {
      StringBuilder text = new StringBuilder(good);
      for (int j = 0; j < 3; j++) {
        int at = random.nextInt(text.length());
        char c = marks.charAt(random.nextInt(marks.length()));
        text.replace(at, at + random.nextInt(2), String.valueOf(c));
      }
      List<Fault> faults = new ArrayList<>();
      TomlDocument document = TomlDocument.parse(text.toString(), faults);
      long lines = text.chars().filter(c -> c == '\n').count() + 1;
      assertTrue((document == null) != faults.isEmpty(), () -> "seed " + seed + "\n" + text);
      assertTrue(
          faults.stream().allMatch(f -> f.line() >= 1 && f.line() <= lines),
          () -> "seed " + seed + " " + faults + "\n" + text);
    }
  }
}
