package pumicekeel.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Reading a file that another process may be writing, replacing or corrupting. */
class OperatorFileTest {

  @TempDir
  private Path folder;

  private void refused(Path file, String part) {
    OperatorFile.UnreadableFileException e =
        assertThrows(OperatorFile.UnreadableFileException.class, () -> OperatorFile.read(file));
    assertTrue(e.getMessage().contains(part), e.getMessage());
  }

  @Test
  void unreadableFileIsReportedInOneLine() throws IOException {
    refused(folder.resolve("none"), "found none");
    refused(folder, "a directory");
    refused(Path.of("/dev/zero"), "regular file");
    Path file = folder.resolve("f");
    Files.writeString(file, "");
    refused(file, "empty");
    Files.writeString(file, "[pools.a]\nsource = \"plat");
    refused(file, "cut short");
    Files.write(file, new byte[] {'a', (byte) 0xff, '\n'});
    refused(file, "UTF-8");
    Files.write(file, new byte[OperatorFile.MAX_BYTES + 1]);
    refused(file, "at most 16777216 bytes");
    Files.delete(file);
    Files.createSymbolicLink(file, file);
    refused(file, "can be read");
  }

  @Test
  void fileTooLargeForTheHeapIsRejectedInOneLine() throws IOException {
    OperatorFile.checkHeap(4 << 20, 56L << 20);
    OperatorFile.UnreadableFileException e = assertThrows(
        OperatorFile.UnreadableFileException.class,
        () -> OperatorFile.checkHeap((4 << 20) + 1, 56L << 20));
    assertTrue(e.getMessage().contains("at least 57 MiB"), e.getMessage());
    assertTrue(e.getMessage().endsWith("got 56"), e.getMessage());
  }

  /** A symlink that is continuously switched between two files: each read returns one of them completely. */
  @Test
  void symlinkReplacedDuringAReadGivesOneFileOrTheOther() throws Exception {
    String one = "# one\n".repeat(20_000);
    String two = "# two!\n".repeat(15_000);
    Path first = Files.writeString(folder.resolve("one"), one);
    Path second = Files.writeString(folder.resolve("two"), two);
    Path link = folder.resolve("link");
    Files.createSymbolicLink(link, first);
    AtomicBoolean stop = new AtomicBoolean();
    Thread swapper = new Thread(() -> {
      for (int i = 0; !stop.get(); i++) {
        try {
          Path next = folder.resolve("next");
          Files.deleteIfExists(next);
          Files.createSymbolicLink(next, i % 2 == 0 ? second : first);
          Files.move(
              next, link, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
        } catch (IOException e) {
          throw new AssertionError(e);
        }
      }
    });
    swapper.start();
    int read = 0;
    try {
      for (int i = 0; i < 2_000; i++) {
        try {
          String text = OperatorFile.read(link);
          assertTrue(text.equals(one) || text.equals(two), "a mixture of " + text.length());
          read++;
        } catch (OperatorFile.UnreadableFileException e) {
          assertTrue(e.getMessage().contains("changed while it was read"), e.getMessage());
        }
      }
    } finally {
      stop.set(true);
      swapper.join();
    }
    assertTrue(read > 0);
  }

  /** A file that is overwritten in place: a read that ends within a line is rejected. */
  @Test
  void fileCutWithinALineIsRejected() throws Exception {
    Path file = folder.resolve("f");
    StringBuilder whole = new StringBuilder();
    for (int i = 0; i < 200; i++) {
      whole.append("# line ").append(i).append('\n');
    }
    Files.writeString(file, whole);
    for (int cut = 0; cut < whole.length(); cut += 7) {
      Files.writeString(file, whole.substring(0, cut));
      boolean atLineEnd = cut > 0 && whole.charAt(cut - 1) == '\n';
      if (!atLineEnd) {
        assertThrows(OperatorFile.UnreadableFileException.class, () -> OperatorFile.read(file));
      } else {
        assertEquals(cut, OperatorFile.read(file).length());
      }
    }
  }
}
