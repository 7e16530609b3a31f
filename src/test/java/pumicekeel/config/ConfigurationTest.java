package pumicekeel.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import pumicekeel.Balancer.Settings;
import pumicekeel.adapter.Decoder;
import pumicekeel.adapter.Fields;

/** The shared configuration, values of the fleet daemon that override it, and defaults. */
class ConfigurationTest {

  private static Configuration read(String group) throws Exception {
    return Configuration.read(
        group == null
            ? Map.of("PROXY_CONFIG", "deploy/rehearsal.json")
            : Map.of("PROXY_CONFIG", "deploy/rehearsal.json", "PROXY_GROUP", group));
  }

  @Test
  void groupOfTheDaemonOverridesTheFile() throws Exception {
    assertEquals(1, read(null).settings().groupSize());
    assertEquals(1, read("").settings().groupSize());
    assertEquals(20, read("19/20").settings().groupSize());
    assertEquals(19, read("19/20").settings().me());
    assertEquals(
        List.of(false, false, true),
        List.of(read(null).supervised(), read("").supervised(), read("19/20").supervised()));
    assertEquals(read(null).settings().classes(), read("19/20").settings().classes());
  }

  @ParameterizedTest
  @ValueSource(strings = {"20/20", "1", "-1/3", "a/b", "1/0", "1/2/3", "999999/9999999"})
  void malformedGroupIsRejected(String group) {
    assertTrue(assertThrows(IllegalArgumentException.class, () -> read(group))
        .getMessage()
        .contains("PROXY_GROUP"));
  }

  /** Taken literally, a connect timeout of 0 would fail every connect and an idle time of 0 would close every connection. */
  @ParameterizedTest
  @CsvSource({
    "'', 250000000, 15000000000",
    "'\"connect-timeout-ns\":0,\"conn-idle-ns\":0', 250000000, 15000000000",
    "'\"connect-timeout-ns\":7,\"conn-idle-ns\":9', 7, 9"
  })
  void connectionTimesOfZeroAreTheDefaults(String limits, long connect, long idle)
      throws Exception {
    assertEquals(
        List.of(connect, idle),
        List.of(
            settings(limits).limits().connectTimeoutNanos(),
            settings(limits).limits().connectionIdleNanos()));
  }

  @ParameterizedTest
  @CsvSource({
    "'\"connect-timeout-ns\":-1', connect timeout must be above 0",
    "'\"conn-idle-ns\":-5', idle time of connections must be above 0",
    "'\"max-attempts\":0', max attempts must be above 0"
  })
  void invalidLimitsAreNamed(String limits, String what) {
    assertEquals(
        "settings: " + what,
        assertThrows(IllegalArgumentException.class, () -> settings(limits)).getMessage());
  }

  private static Settings settings(String limits) throws Exception {
    return Decoder.settings(Fields.parse(
        "settings",
        "{\"categories\":[{\"name\":\"c\",\"aim-ns\":400000000}],\"limits\":{" + limits + "}}"));
  }
}
