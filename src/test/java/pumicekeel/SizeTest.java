package pumicekeel;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the size limits of the decision module, which has to stay small because it will be ported by hand. */
class SizeTest {

  @Test
  void moduleStaysWithinItsLimits() throws IOException {
    List<String> lines =
        Files.readAllLines(Path.of("src/main/java/pumicekeel/AdaptiveBalancer.java"));
    long count = lines.stream().filter(l -> !l.isBlank()).count();
    assertTrue(count <= 800, "non-blank lines: " + count);
    lines.forEach(l -> assertTrue(l.length() <= 110, "over 110 columns: " + l));
  }
}
