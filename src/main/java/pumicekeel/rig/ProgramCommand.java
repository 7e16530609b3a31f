package pumicekeel.rig;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** The command line that starts this program anew, with the JVM and the class path of this process. */
public final class ProgramCommand {

  private ProgramCommand() {}

  /** The command without the program's own arguments; {@code flags} are the JVM's. */
  public static List<String> withFlags(List<String> flags) {
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(flags);
    // What the jar's manifest says by Add-Opens.
    command.addAll(List.of("--add-opens", "java.base/sun.nio.ch=ALL-UNNAMED"));
    command.addAll(List.of("-cp", System.getProperty("java.class.path"), "pumicekeel.cli.Main"));
    return command;
  }
}
