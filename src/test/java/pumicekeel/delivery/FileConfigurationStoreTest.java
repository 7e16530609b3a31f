package pumicekeel.delivery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Intact versions survive a restart, newest first, even if other files are damaged. */
class FileConfigurationStoreTest {

  /** A disk that has space for three bytes. */
  private static final DurableWriter FULL = (file, bytes) -> {
    Files.write(file, new byte[] {1, 2, 3});
    throw new IOException("No space left on device");
  };

  @TempDir
  private Path directory;

  private final List<String> lines = new ArrayList<>();

  private static StoredConfiguration configuration(long sequence) {
    String text = "[pools.a]\nn = " + sequence + "\n";
    return new StoredConfiguration(ConfigurationVersion.of(1, sequence, text), 1_000, text);
  }

  private FileConfigurationStore open() throws IOException {
    return FileConfigurationStore.exclusive(directory, lines::add);
  }

  private List<StoredConfiguration> saveThenLoad(long... sequences) throws IOException {
    try (FileConfigurationStore store = open()) {
      for (long sequence : sequences) {
        store.save(configuration(sequence));
      }
    }
    return load();
  }

  private List<StoredConfiguration> load() throws IOException {
    try (FileConfigurationStore store = open()) {
      return store.load();
    }
  }

  private Path fileOf(long sequence) {
    return directory.resolve("1-" + sequence + ".configuration");
  }

  @Test
  void lastTwoVersionsAreKept() throws IOException {
    assertEquals(List.of(), load());
    assertEquals(List.of(configuration(10), configuration(9)), saveThenLoad(8, 9, 10));
    assertTrue(lines.isEmpty(), lines.toString());
  }

  /** A file truncated at any byte, or with any flipped bit, is logged, and the previous version is loaded. */
  @Test
  void damagedFileIsRenamedAndThePreviousVersionIsUsed() throws IOException {
    saveThenLoad(1, 2);
    byte[] whole = Files.readAllBytes(fileOf(2));
    for (int i = 0; i < whole.length; i++) {
      Files.write(fileOf(2), java.util.Arrays.copyOf(whole, i));
      assertEquals(List.of(configuration(1)), load(), "cut at " + i);
      byte[] flipped = whole.clone();
      flipped[i] ^= (byte) (1 << (i % 8));
      Files.write(fileOf(2), flipped);
      assertEquals(List.of(configuration(1)), load(), "flipped at " + i);
    }
    assertEquals(2 * whole.length, lines.size());
    assertTrue(lines.stream().allMatch(l -> l.contains("damaged and was renamed")), lines.get(0));
    assertTrue(lines.stream().anyMatch(l -> l.contains("bytes of text of")));
    assertTrue(Files.exists(directory.resolve("1-2.configuration.damaged")));
  }

  /** A file that cannot be read for a moment is not treated as damaged: the next load reads it. */
  @Test
  void transientReadFailureRenamesNoFile() throws IOException {
    saveThenLoad(1, 2);
    int[] failures = {1};
    FileConfigurationStore.WholeReader once = file -> {
      if (failures[0]-- > 0) {
        throw new IOException("Input/output error");
      }
      return Files.readAllBytes(file);
    };
    try (var store =
        FileConfigurationStore.shared(directory, DurableWriter.SYSTEM, once, lines::add)) {
      assertThrows(IOException.class, store::load);
      assertEquals(List.of(configuration(2), configuration(1)), store.load());
    }
    assertTrue(lines.isEmpty(), lines.toString());
  }

  @Test
  void fullDiskFailsTheSaveAndKeepsThePreviousVersion() throws IOException {
    saveThenLoad(1);
    try (var store =
        FileConfigurationStore.shared(directory, FULL, Files::readAllBytes, lines::add)) {
      IOException e = assertThrows(IOException.class, () -> store.save(configuration(2)));
      assertTrue(e.getMessage().contains("No space left"), e.getMessage());
    }
    assertEquals(List.of(configuration(1)), load());
    assertEquals(List.of(configuration(2), configuration(1)), saveThenLoad(2));
  }

  /** Instances that share a directory store the same version: a failed save must not damage the file of the other. */
  @Test
  void failedSaveOfAStoredVersionLeavesItIntact() throws IOException {
    saveThenLoad(1, 2);
    try (var store =
        FileConfigurationStore.shared(directory, FULL, Files::readAllBytes, lines::add)) {
      assertThrows(IOException.class, () -> store.save(configuration(2)));
    }
    assertEquals(List.of(configuration(2), configuration(1)), load());
  }

  /** A process that is killed between writing and renaming leaves a temporary file, which is ignored. */
  @Test
  void temporaryFileIsDeleted() throws IOException {
    saveThenLoad(1);
    Files.write(directory.resolve("1-2.configuration.partial"), new byte[] {1});
    assertEquals(List.of(configuration(1)), load());
    assertEquals(List.of(configuration(2), configuration(1)), saveThenLoad(2));
  }

  @Test
  void fileUnderAnotherVersionsNameIsNoVersion() throws IOException {
    saveThenLoad(1);
    Files.copy(fileOf(1), fileOf(7));
    assertEquals(List.of(configuration(1)), load());
  }

  @Test
  void directoryIsLockedByOneProcess() throws IOException {
    try (FileConfigurationStore store = open()) {
      assertTrue(store.load().isEmpty());
      assertTrue(assertThrows(IOException.class, this::open).getMessage().contains("alone"));
    }
  }
}
