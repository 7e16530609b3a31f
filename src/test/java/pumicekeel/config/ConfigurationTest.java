package pumicekeel.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** What a fleet's daemon tells an instance beside the one configuration of all. */
class ConfigurationTest {

  private static Configuration read(String group) throws Exception {
    return Configuration.read(group == null ? Map.of("PROXY_CONFIG", "deploy/rehearsal.json")
        : Map.of("PROXY_CONFIG", "deploy/rehearsal.json", "PROXY_GROUP", group));
  }

  @Test
  void groupIsTheDaemonsWhereItSaysOne() throws Exception {
    assertEquals(1, read(null).settings().groupSize());
    assertEquals(1, read("").settings().groupSize());
    assertEquals(20, read("19/20").settings().groupSize());
    assertEquals(19, read("19/20").settings().me());
    assertEquals(List.of(false, false, true), List.of(read(null).supervised(), read("").supervised(),
        read("19/20").supervised()));
    assertEquals(read(null).settings().classes(), read("19/20").settings().classes());
  }

  @ParameterizedTest
  @ValueSource(strings = {"20/20", "1", "-1/3", "a/b", "1/0", "1/2/3", "999999/9999999"})
  void groupThatIsNoneIsRefused(String group) {
    assertTrue(assertThrows(IllegalArgumentException.class, () -> read(group)).getMessage().contains("PROXY_GROUP"));
  }
}
