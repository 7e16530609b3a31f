package pumicekeel.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import org.junit.jupiter.api.Test;
import pumicekeel.adapter.Fields;

/** A re-read configuration that lacks keys of the previous one. */
class RequiredKeysTest {

  private static final String BEFORE = """
      {"name":"n","known":{"index":1,"endpoints":[{"name":"s"}]},"settings":{"limits":{"max-attempts":3,"none":null},
       "categories":[{"name":"a","effect":"deduplicated","aim-ns":1,"deadline-ns":2,"window-ns":3},
        {"name":"b","effect":"idempotent","aim-ns":1,"deadline-ns":2,"odd":1},
        {"name":"c","effect":"idempotent","aim-ns":1,"deadline-ns":2}]}}""";

  private static String missing(String from, String to) throws Exception {
    return RequiredKeys.firstMissing(
        Fields.parse("c", BEFORE).values(),
        Fields.parse("c", BEFORE.replace(from, to)).values());
  }

  @Test
  void returnsTheFirstKeyThatIsMissing() throws Exception {
    assertNull(missing("", ""));
    assertEquals("name", missing("\"name\":\"n\",", ""));
    assertEquals("settings.limits.max-attempts", missing("\"max-attempts\":3,", ""));
    assertEquals(
        "settings.categories[0].deadline-ns", missing("\"deadline-ns\":2,\"window", "\"window"));
    assertEquals("settings.categories[0].window-ns", missing(",\"window-ns\":3", ""));
    assertEquals(
        "settings.categories[2].aim-ns",
        missing("\"aim-ns\":1,\"deadline-ns\":2}]", "\"deadline-ns\":2}]"));
    assertEquals("settings.categories[1].name", missing("\"name\":\"b\",", ""));
    assertEquals("settings", missing("\"settings\"", "\"other\""));
  }

  @Test
  void keysOfOtherKindsAndOfCurrentListsMayBeAbsent() throws Exception {
    assertNull(missing(",\"odd\":1", ""));
    assertNull(missing(
        "\"effect\":\"deduplicated\",\"aim-ns\":1,\"deadline-ns\":2,\"window-ns\":3",
        "\"effect\":\"idempotent\",\"aim-ns\":1,\"deadline-ns\":2"));
    assertNull(
        missing(
            "\"effect\":\"deduplicated\",\"aim-ns\":1,\"deadline-ns\":2,\"window-ns\":3",
            "\"effect\":\"at_most_once\",\"aim-ns\":1,\"deadline-ns\":2"),
        "an element of a new kind needs only the keys common to all");
    assertNull(missing("\"known\":{\"index\":1,\"endpoints\":[{\"name\":\"s\"}]},", ""));
  }
}
