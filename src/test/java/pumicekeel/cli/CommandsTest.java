package pumicekeel.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.core.JsonFactory;
import java.io.ByteArrayOutputStream;
import java.io.InputStream;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Output and exit statuses of the operators' commands. */
class CommandsTest {

  private static final String EXAMPLE = "deploy/operator.toml";

  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final ByteArrayOutputStream err = new ByteArrayOutputStream();

  @TempDir
  private Path folder;

  private int run(String... args) throws Exception {
    out.reset();
    err.reset();
    return Main.run(
        args, InputStream.nullInputStream(), new PrintStream(out), new PrintStream(err));
  }

  @Test
  void exampleFileOfTheRepositoryIsValid() throws Exception {
    assertEquals(0, run("check", EXAMPLE), err.toString());
    assertTrue(
        out.toString().startsWith(EXAMPLE + ": good: 4 pools, 5 routes, 1 listeners"),
        out.toString());
    assertEquals("", err.toString());
  }

  @Test
  void eachFaultIsPrintedOnALineWithItsLocation() throws Exception {
    Path file = folder.resolve("f.toml");
    Files.writeString(
        file,
        Files.readString(Path.of(EXAMPLE))
            .replace("max-connections = 100", "max-conections = 100")
            .replace("aim-ms = 2000", "aim-ms = \"2 s\""));
    assertEquals(2, run("check", file.toString()));
    String[] lines = err.toString().split("\n");
    assertEquals(2, lines.length, err.toString());
    assertTrue(
        lines[0].matches(
            ".*f\\.toml:\\d+: listeners\\.partner\\.max-conections: unknown key, the nearest known one"
                + " is max-connections"),
        lines[0]);
    assertTrue(
        lines[1].matches(
            ".*f\\.toml:\\d+: pools\\.contracts\\.classes\\[0]\\.aim-ms: expected a whole number.*"),
        lines[1]);
    assertEquals(2, run("check", folder.resolve("none").toString()));
    assertTrue(
        err.toString().contains("none:1: file: expected a file, found none"), err.toString());
  }

  @Test
  void capacityBeyondThePlatformConfigurationIsReported() throws Exception {
    assertEquals(0, run("check", "--config", "deploy/rehearsal.json", EXAMPLE), err.toString());
    Path file = folder.resolve("f.toml");
    Files.writeString(
        file, "[pools.a]\nsockets = { guaranteed = 5000 }\n[[routes]]\npool = \"a\"\n");
    assertEquals(0, run("check", file.toString()));
    assertEquals(2, run("check", "--config", "deploy/rehearsal.json", file.toString()));
    assertTrue(
        err.toString().contains("sockets: the pools are guaranteed 5000, there are 409"),
        err.toString());
    assertEquals(1, err.toString().lines().count());
  }

  @Test
  void explanationNamesWhyEachEarlierRouteDidNotMatch() throws Exception {
    assertEquals(
        0,
        run(
            "routes",
            EXAMPLE,
            "--explain",
            "GET http://quote.example.org/quote-issue/7",
            "--header",
            "X-Preview: 1",
            "--header",
            "X-Session-Key: abc"),
        err.toString());
    String text = out.toString();
    assertTrue(text.contains("1 partner: no: listener: wanted partner, got platform"), text);
    assertTrue(
        text.contains("2 packs: no: host: wanted contracts.example.org or *.contracts.example.org"),
        text);
    assertTrue(text.contains("3 new quotes: takes it"), text);
    assertTrue(text.contains("route new quotes, pool quotes"), text);
    assertEquals(
        0,
        run("routes", EXAMPLE, "--explain", "POST http://QUOTE.example.org.:80/quote-issue/7?a=b"));
    assertTrue(out.toString().contains("header x-preview: wanted 1, got none"), out.toString());
    assertTrue(out.toString().contains("route quotes, pool quotes"), out.toString());
    assertEquals(0, run("routes", EXAMPLE, "--explain", "GET http://other/rate-lookup"));
    assertTrue(out.toString().contains("route default, pool rates"), out.toString());
  }

  @Test
  void explanationIsAvailableAsJsonAndNoMatchIsStatusOne() throws Exception {
    Path file = folder.resolve("f.toml");
    Files.writeString(file, "[pools.a]\n[[routes]]\nhost = \"h\"\npool = \"a\"\n");
    assertEquals(1, run("routes", file.toString(), "--explain", "GET http://x/y", "--json"));
    try (var parser = new JsonFactory().createParser(out.toString())) {
      while (parser.nextToken() != null) {
        assertFalse(parser.currentToken().isBoolean());
      }
    }
    assertTrue(
        out.toString().contains("\"route\":null")
            && out.toString().contains("host: wanted h, got x"),
        out.toString());
    assertEquals(2, run("routes", file.toString(), "--explain", "GET http://h/a/../b"));
    assertEquals(2, run("routes", file.toString(), "--explain", "nonsense"));
    assertEquals(
        2, run("routes", file.toString(), "--explain", "GET http://h/a", "--header", "none"));
    assertEquals(0, run("routes", file.toString()));
  }

  @Test
  void commandsHaveHelpAndTheVersionEqualsThePom() throws Exception {
    for (String command :
        new String[] {"serve", "rehearse", "adapter", "check", "routes", "demo"}) {
      assertEquals(0, run(command, "--help"), command);
      assertTrue(out.toString().contains("Usage: pumicekeel " + command), out.toString());
    }
    assertEquals(0, run("--version"));
    String pom = Files.readString(Path.of("pom.xml"));
    String version = pom.substring(pom.indexOf("<version>") + 9, pom.indexOf("</version>"));
    assertEquals("pumicekeel " + version, out.toString().strip());
    assertEquals(2, run("demo", "--seconds", "1"));
    assertEquals(2, run("chek"));
  }

  /** The demo checks its rules itself and returns 1 if one was violated. */
  @Test
  void shortDemoViolatesNoRule() throws Exception {
    assertEquals(0, run("demo", "--seconds", "6"), out.toString());
    assertTrue(out.toString().contains("held    no cold upstream overloaded"), out.toString());
    assertFalse(out.toString().contains("BROKEN"), out.toString());
  }
}
