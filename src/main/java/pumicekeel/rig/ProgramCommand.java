package pumicekeel.rig;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** Builds the command line that starts this program in a new process, with the JVM and the class path of this one. */
public final class ProgramCommand {

  private ProgramCommand() {}

  /** Returns the command with these JVM flags and without arguments of the program. */
  public static List<String> withFlags(List<String> flags) {
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(flags);
    // The same as Add-Opens in the manifest of the jar, which does not apply to a class path.
    command.addAll(List.of("--add-opens", "java.base/sun.nio.ch=ALL-UNNAMED"));
    command.addAll(List.of("-cp", System.getProperty("java.class.path"), "pumicekeel.cli.Main"));
    return command;
  }
}
