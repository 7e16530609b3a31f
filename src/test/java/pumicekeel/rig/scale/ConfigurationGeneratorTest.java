package pumicekeel.rig.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import pumicekeel.config.OperatorConfiguration;
import pumicekeel.config.OperatorReader;
import pumicekeel.rig.scale.ConfigurationGenerator.Change;
import pumicekeel.rig.scale.ConfigurationGenerator.Size;

/** Generated files are valid, of the requested size, and identical for the same seed. */
class ConfigurationGeneratorTest {

  private static final Size SMALL = new Size(11, 340, 190, 60);

  private static OperatorConfiguration read(String text) {
    OperatorReader.Result result = OperatorReader.read(text);
    assertEquals(List.of(), result.faults());
    return result.operator();
  }

  @Test
  void fileIsValidAndOfTheRequestedSize() {
    OperatorConfiguration operator = read(new ConfigurationGenerator(SMALL, 7).text());
    assertEquals(11, operator.pools().size());
    assertEquals(340, operator.routes().size());
    assertEquals(
        190,
        operator.pools().values().stream()
            .mapToInt(pool -> pool.overrides().tenants().size())
            .sum());
    assertEquals(
        60,
        operator.sources().values().stream()
            .mapToInt(source -> source instanceof OperatorConfiguration.StaticSource fixed
                ? fixed.hosts().size()
                : 0)
            .sum());
  }

  @Test
  void seedDeterminesTheFileAndSourcesMayUseDiscovery() {
    String text = new ConfigurationGenerator(SMALL, 7).text();
    assertEquals(text, new ConfigurationGenerator(SMALL, 7).text());
    assertNotEquals(text, new ConfigurationGenerator(SMALL, 8).text());
    OperatorConfiguration watched = read(new ConfigurationGenerator(SMALL, 7)
        .withDiscoveries(pool -> "127.0.0.1:" + (2_000 + pool))
        .text());
    assertTrue(
        watched.sources().get("service-003") instanceof OperatorConfiguration.DiscoverySource);
  }

  @Test
  void eachChangeAltersOneLineAndTheFileStaysValid() {
    ConfigurationGenerator generator = new ConfigurationGenerator(SMALL, 7);
    List<String> before = generator.text().lines().toList();
    for (Change change : generator.changes(100)) {
      String text = generator.text(List.of(change));
      read(text);
      List<String> after = text.lines().toList();
      assertEquals(before.size(), after.size());
      int changedLines = 0;
      for (int i = 0; i < after.size(); i++) {
        changedLines += before.get(i).equals(after.get(i)) ? 0 : 1;
      }
      assertEquals(1, changedLines, change.toString());
    }
    assertEquals(
        3,
        Set.copyOf(generator.changes(300).stream().map(Object::getClass).toList())
            .size());
  }
}
