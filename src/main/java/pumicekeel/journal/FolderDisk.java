package pumicekeel.journal;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

/** Stores segments in a folder, which is locked by one process at a time. */
final class FolderDisk implements Disk, Closeable {

  static final String SUFFIX = ".hvj";
  private static final String LOCK = "lock";

  private final Path folder;
  private final FileChannel lockFile;

  /** Creates and locks the folder; the message of an IOException tells why it cannot be used. */
  FolderDisk(Path folder) throws IOException {
    this.folder = folder;
    Files.createDirectories(folder);
    lockFile =
        FileChannel.open(folder.resolve(LOCK), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
    FileLock lock = null;
    try {
      lock = lockFile.tryLock();
    } catch (OverlappingFileLockException e) {
      // Locked by another instance in this process: reported below.
    }
    if (lock == null) {
      lockFile.close();
      throw new IOException(
          "expected a folder that no other process uses, another one writes to " + folder);
    }
  }

  @Override
  public Segment create(String name) throws IOException {
    FileChannel channel = FileChannel.open(
        folder.resolve(name), StandardOpenOption.CREATE_NEW, StandardOpenOption.WRITE);
    return new Segment() {
      private boolean folderSynced;

      @Override
      public void write(ByteBuffer bytes) throws IOException {
        while (bytes.hasRemaining()) {
          channel.write(bytes);
        }
      }

      @Override
      public void sync() throws IOException {
        channel.force(false);
        if (!folderSynced) {
          // The directory entry has to be durable as well.
          try (FileChannel parent = FileChannel.open(folder, StandardOpenOption.READ)) {
            parent.force(true);
          }
          folderSynced = true;
        }
      }

      @Override
      public void close() throws IOException {
        channel.close();
      }
    };
  }

  @Override
  public List<Stored> list() throws IOException {
    return list(folder);
  }

  /** Lists the segments of a folder in the order in which they were written. Needs no lock. */
  static List<Stored> list(Path folder) throws IOException {
    List<Stored> out = new ArrayList<>();
    try (Stream<Path> files = Files.list(folder)) {
      for (Path file : files
          .filter(f -> f.getFileName().toString().endsWith(SUFFIX))
          .sorted()
          .toList()) {
        try {
          out.add(new Stored(
              file.getFileName().toString(),
              Files.size(file),
              Files.getLastModifiedTime(file).toMillis()));
        } catch (java.nio.file.NoSuchFileException e) {
          // Deleted by retention after the directory was listed.
        }
      }
    }
    return out;
  }

  @Override
  public void delete(String name) throws IOException {
    Files.deleteIfExists(folder.resolve(name));
  }

  @Override
  public void close() throws IOException {
    lockFile.close();
  }
}
