package pumicekeel.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Output, exit statuses and result files of {@code rig scale}. */
class RigScaleCommandTest {

  @TempDir
  Path folder;

  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final ByteArrayOutputStream err = new ByteArrayOutputStream();

  private int run(String... arguments) throws IOException {
    List<String> line = new java.util.ArrayList<>(List.of("rig", "scale"));
    line.addAll(List.of(arguments));
    return Main.run(
        line.toArray(String[]::new),
        new ByteArrayInputStream(new byte[0]),
        new PrintStream(out, true),
        new PrintStream(err, true));
  }

  private String result() {
    return folder.resolve("result.jsonl").toString();
  }

  @Test
  void storedPointsAreNotMeasuredAgain() throws Exception {
    String[] line = {
      "--scenario",
      "configuration-by-services",
      "--sizes",
      "2,5",
      "--rounds",
      "2",
      "--result",
      result()
    };
    assertEquals(0, run(line), err::toString);
    List<String> first = Files.readAllLines(Path.of(result()));
    assertEquals(4, first.size());
    assertEquals(0, run(line), err::toString);
    assertEquals(first, Files.readAllLines(Path.of(result())));
  }

  @Test
  void jsonOutputContainsNoProgress() throws Exception {
    assertEquals(
        0,
        run(
            "--scenario",
            "configuration-by-services",
            "--sizes",
            "2",
            "--rounds",
            "1",
            "--result",
            result(),
            "--json"),
        err::toString);
    assertEquals(1, out.toString().lines().count());
    assertTrue(out.toString().startsWith("{\"scenario\":\"configuration-by-services\""));
    assertTrue(err.toString().contains("seed 2"), err::toString);
  }

  @Test
  void pointBeyondTheLimitsOfTheMachineIsRejectedWithOneLine() throws Exception {
    assertEquals(2, run("--scenario", "membership", "--sizes", "1000000", "--result", result()));
    assertEquals(1, err.toString().lines().count());
    assertFalse(Files.exists(Path.of(result())));
  }

  @Test
  void unknownScenarioIsRejectedWithTheKnownNames() throws Exception {
    assertEquals(2, run("--scenario", "membershop"));
    assertTrue(err.toString().contains("membership"), err::toString);
    assertEquals(2, run("--sizes", "1"));
    assertEquals(2, run("--rounds", "0"));
  }

  @Test
  void scenariosAreListedWithTheirSizes() throws Exception {
    assertEquals(0, run("--list"));
    assertTrue(out.toString().contains("membership (member): balancers [50, 150, 350, 590]"));
  }

  @Test
  void pageIsFilledAndCheckedAgainstItsResults() throws Exception {
    Path page = Files.writeString(
        folder.resolve("page.md"),
        "| file | `configuration-by-services/file-bytes` | | | | | | | |\n\n"
            + "![plot](plots/configuration-by-services.file-bytes.png)\n");
    assertEquals(
        0,
        run(
            "--scenario",
            "configuration-by-services",
            "--sizes",
            "2,5,8",
            "--rounds",
            "2",
            "--result",
            result()),
        err::toString);
    String[] check = {"page", page.toString(), "--result", result(), "--check"};
    assertEquals(1, run(check));
    assertEquals(0, run("page", page.toString(), "--result", result()), err::toString);
    assertEquals(0, run(check));
    assertTrue(Files.size(folder.resolve("plots/configuration-by-services.file-bytes.png")) > 0);
    assertEquals(2, run("page", "none.md", "--result", result()));
  }
}
