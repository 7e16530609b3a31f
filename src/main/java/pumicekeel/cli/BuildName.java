package pumicekeel.cli;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;

/** Identifies the running build in stored results. */
final class BuildName {

  private BuildName() {}

  /** Returns the commit of the working directory's repository, or the program's version if there is none. */
  static String current() {
    try {
      Process git = new ProcessBuilder("git", "rev-parse", "--short", "HEAD")
          .redirectErrorStream(true)
          .start();
      String out = new String(git.getInputStream().readNBytes(64), StandardCharsets.UTF_8).strip();
      return git.waitFor(2, TimeUnit.SECONDS) && git.exitValue() == 0 ? out : Commands.VERSION;
    } catch (IOException e) {
      return Commands.VERSION;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return Commands.VERSION;
    }
  }
}
