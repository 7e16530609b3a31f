package pumicekeel.delivery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** A document is its entries, and a delta leads to exactly one text or nowhere. */
class ConfigurationDocumentTest {

  private static List<String> keys(String text) {
    return ConfigurationDocument.parse(text).entries().stream()
        .map(ConfigurationDocument.Entry::key)
        .toList();
  }

  private static ConfigurationVersion version(long sequence, String text) {
    return ConfigurationVersion.of(1, sequence, text);
  }

  private static ConfigurationDelta delta(String from, String to) {
    return ConfigurationDocument.parse(to)
        .deltaFrom(ConfigurationDocument.parse(from), version(1, from), version(2, to));
  }

  @Test
  void headersDivideAndElementsAreKeyedByTheirNames() {
    String text = """
        default-pool = "a"
        [pools.a]
        source = "q"
        [[pools.a.tenants]] # a tenant
        name = "acme"
        [[routes]]
        name = 'r1'
        [routes.match]
        path = "/x"
        [[routes]]
        pool = "a"
        """;
    assertEquals(
        List.of("", "[pools.a]", "[[pools.a.tenants]] \"acme\"", "[[routes]] 'r1'"),
        keys(text).subList(0, 4));
    assertEquals(5, keys(text).size());
  }

  @Test
  void bracketsWithinStringsArraysAndCommentsDivideNothing() {
    String text = "a = \"\"\"\n[pools.x]\n\\\"\"\"\"\"\"\nb = '''\n[y]\n'''\nc = [ # ]\n[1, 2],\n"
        + "[\"]\"],\n]\n[\"quoted # [name]\"]\nd = \"\\\"[\"\n[z]\n";
    assertEquals(List.of("", "[\"quoted # [name]\"]", "[z]"), keys(text));
  }

  @Test
  void entriesOfAnyTextConcatenateToIt() {
    long seed = 20261;
    System.out.println("seed " + seed);
    Random random = new Random(seed);
    String[] pieces = {
      "[", "]", "[[", "]]", "\n", "a", "\"", "\"\"\"", "'", "'''", "#", "\\", " = ", "{"
    };
    for (int i = 0; i < 5_000; i++) {
      StringBuilder text = new StringBuilder();
      for (int n = random.nextInt(30); n > 0; n--) {
        text.append(pieces[random.nextInt(pieces.length)]);
      }
      ConfigurationDocument document = ConfigurationDocument.parse(text.toString());
      assertEquals(text.toString(), document.text());
      assertEquals("", document.entries().get(0).key());
      assertEquals(
          document.entries().size(), keys(text.toString()).stream().distinct().count());
    }
  }

  @Test
  void deltaLeadsFromAnyDocumentToAnyOther() throws Exception {
    long seed = 20262;
    System.out.println("seed " + seed);
    Random random = new Random(seed);
    String text = "";
    for (int i = 0; i < 2_000; i++) {
      List<String> blocks = new ArrayList<>();
      for (int n = random.nextInt(12); n > 0; n--) {
        blocks.add(
            "[[routes]]\nname = \"r" + random.nextInt(15) + "\"\nw = " + random.nextInt(2) + "\n");
      }
      if (random.nextBoolean()) {
        Collections.shuffle(blocks, random);
      }
      String next = (random.nextBoolean() ? "x = 1\n" : "") + String.join("", blocks);
      assertEquals(next, ConfigurationDocument.parse(text).apply(delta(text, next)));
      text = next;
    }
  }

  @Test
  void singleChangeOrMoveIsOneEntry() {
    String a = "[a]\nx = 1\n";
    String b = "[b]\nx = 1\n";
    String c = "[c]\nx = 1\n";
    ConfigurationDelta changed = delta(a + b + c, a + b.replace("1", "2") + c);
    assertEquals(List.of("[b]"), changed.upserted().stream().map(u -> u.key()).toList());
    assertTrue(changed.removed().isEmpty());
    assertEquals(1, delta(a + b + c, c + a + b).upserted().size());
    assertEquals(List.of("[b]"), delta(a + b + c, a + c).removed());
  }

  @Test
  void deltaOnAnotherBaseOrAlteredOnItsWayIsRefused() {
    String base = "[a]\nx = 1\n[b]\nx = 1\n";
    ConfigurationDelta delta = delta(base, base + "[c]\nx = 1\n");
    ConfigurationDocument other = ConfigurationDocument.parse("[a]\nx = 9\n[b]\nx = 1\n");
    assertThrows(ConfigurationDelta.NotApplicableException.class, () -> other.apply(delta));
    ConfigurationDocument without = ConfigurationDocument.parse("[a]\nx = 1\n");
    assertThrows(ConfigurationDelta.NotApplicableException.class, () -> without.apply(delta));
    ConfigurationDelta cycle = new ConfigurationDelta(
        delta.base(),
        delta.target(),
        List.of(),
        List.of(
            new ConfigurationDelta.Upsert("[y]", "[x]", "x"),
            new ConfigurationDelta.Upsert("[x]", "[y]", "y")));
    ConfigurationDocument document = ConfigurationDocument.parse(base);
    assertThrows(ConfigurationDelta.NotApplicableException.class, () -> document.apply(cycle));
  }

  /** Twice the entries take twice the steps: at the largest known size this has to end within a test's time. */
  @Test
  void largestKnownConfigurationIsDividedAndCompared() throws Exception {
    StringBuilder text = new StringBuilder();
    for (int i = 0; i < 44_800; i++) {
      text.append("[[routes]]\nname = \"route-")
          .append(i)
          .append("\"\npath = \"/some/path/")
          .append(i);
      text.append("\"\npool = \"pool-").append(i % 220).append("\"\n");
    }
    String base = text.toString();
    String next = base.replace("/some/path/777\"", "/other\"");
    ConfigurationDelta delta = delta(base, next);
    assertEquals(1, delta.upserted().size());
    assertEquals(next, ConfigurationDocument.parse(base).apply(delta));
  }
}
