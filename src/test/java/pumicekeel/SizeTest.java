package pumicekeel;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The module will be ported by hand and has to stay small. */
class SizeTest {

  @Test
  void moduleStaysInsideItsLimits() throws IOException {
    List<String> lines =
        Files.readAllLines(Path.of("src/main/java/pumicekeel/AdaptiveBalancer.java"));
    long count = lines.stream().filter(l -> !l.isBlank()).count();
    assertTrue(count <= 800, "non-blank lines: " + count);
    lines.forEach(l -> assertTrue(l.length() <= 110, "over 110 columns: " + l));
  }
}
