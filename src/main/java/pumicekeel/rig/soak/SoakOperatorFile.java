package pumicekeel.rig.soak;

import java.nio.file.Path;

/** Builds the operator file of a run with a journal. */
final class SoakOperatorFile {

  private SoakOperatorFile() {}

  static String text(Path journal) {
    return "[journal]\ndirectory = \"" + journal + "\"\ndurability = \"host\"\n"
        + "[pools.all]\n[[routes]]\nname = \"all\"\npool = \"all\"\n";
  }
}
