package pumicekeel.rig;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;

/** The deploy file of this repository, as far as tests and rigs start balancers by it. */
public final class DeployFile {

  private static final Path PATH = Path.of("deploy", "balancer.toml");

  private DeployFile() {}

  /** Returns the JVM flags of {@code run}, without the class-data archive, which only the build makes. */
  public static List<String> runFlags() throws IOException {
    String run = Files.readAllLines(PATH).stream()
        .filter(line -> line.startsWith("run = "))
        .findFirst()
        .orElseThrow();
    String flags = run.substring(run.indexOf("java ") + "java ".length(), run.indexOf(" -jar "));
    return Stream.of(flags.split(" "))
        .filter(flag -> !flag.startsWith("-XX:SharedArchiveFile"))
        .toList();
  }
}
