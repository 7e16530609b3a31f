package pumicekeel.rig.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class CapacityPageTest {

  private static final String ROW =
      "| state | `membership/state-bytes` | | | | | 100 KiB | | gossip |\n";

  @TempDir
  Path folder;

  private ResultFile results;

  /** Samples that grow linearly: 1 KiB plus 0.2 KiB for each member. */
  @BeforeEach
  void storeLinearSamples() throws Exception {
    results = ResultFile.open(folder.resolve("results.jsonl"));
    for (int size : Axis.BALANCERS.sizes()) {
      for (int round = 1; round <= 3; round++) {
        double bytes = 1_024 + 204.8 * size + round;
        results.add(new Sample(
            "membership",
            Axis.BALANCERS,
            size,
            round,
            "build",
            round,
            1,
            1,
            "2026-01-01T00:00:00Z",
            Map.of("state-bytes", bytes)));
      }
    }
  }

  private String fill(String page) {
    return new CapacityPage(results).fill(page);
  }

  @Test
  void rowShowsSlopeIntervalGrowthAndRemainingBudget() {
    String row = fill(ROW);
    assertTrue(row.contains("1.00 + (0.200 ± "), row);
    assertTrue(row.contains(") × balancers"), row);
    assertTrue(row.contains("| 119 KiB ± "), row);
    assertTrue(row.contains("| linear |"), row);
    assertTrue(row.contains("| 590: 119 KiB |"), row);
    assertTrue(row.contains("| over by 19.0 KiB |"), row);
    assertEquals(row, fill(row));
  }

  @Test
  void figureWithoutSamplesIsShownAsNotMeasured() {
    String row = fill(ROW.replace("state-bytes", "messages-per-s"));
    assertTrue(row.contains("| not measured |"), row);
  }

  @Test
  void numbersInTheTextAreMediansAtTheirSize() {
    String text =
        "about 42 KiB<!--membership/state-bytes@590--> each (7<!--membership/state-bytes@50-->)\n";
    String filled = fill(text);
    assertTrue(filled.contains("about 42 119<!--") || filled.contains("119<!--"), filled);
    assertTrue(filled.contains("(11.0<!--"), filled);
    assertEquals(filled, fill(filled));
  }

  @Test
  void otherTextIsNotChanged() {
    String page = "# Title\n\n| a | b |\n| --- | --- |\n| `x/y` | 1 |\n\nWords.\n";
    assertEquals(page, fill(page));
  }

  @Test
  void committedPageMatchesCommittedResults() throws Exception {
    ResultFile committed = ResultFile.open(Path.of("experiments", "capacity.jsonl"));
    String page = Files.readString(Path.of("docs", "CAPACITY.md"));
    assertTrue(page.contains("`membership/state-bytes`"));
    assertEquals(new CapacityPage(committed).fill(page), page);
  }
}
