package pumicekeel.delivery;

import java.io.Closeable;
import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.Consumer;
import java.util.stream.Stream;

/**
 * Stores each version in a file of one directory. A file is written under a temporary name, synced and renamed, and the directory is
 * synced; after that the file is never modified. A damaged file is renamed at the next start, and the previous version is used.
 */
public final class FileConfigurationStore implements ConfigurationStore, Closeable {

  /** How many versions are kept: the one in force, and its predecessor in case the newest file is damaged. */
  private static final int KEPT_VERSIONS = 2;
  /** Far above the size of any configuration; a larger file counts as damaged. */
  static final long MAX_BYTES = 64L << 20;

  private static final String SUFFIX = ".configuration";
  private static final String TEMPORARY_SUFFIX = ".partial";
  private static final String DAMAGED_SUFFIX = ".damaged";

  /** Reads a whole file; tests use a failing implementation. */
  @FunctionalInterface
  interface WholeReader {
    byte[] read(Path file) throws IOException;
  }

  private final Path directory;
  private final DurableWriter writer;
  private final WholeReader reader;
  private final Consumer<String> log;
  /** Null if other processes may use the directory as well. */
  private final FileChannel lockFile;

  /** Creates and locks a directory for this process alone; the message of an IOException tells why it cannot be used. */
  public static FileConfigurationStore exclusive(Path directory, Consumer<String> log)
      throws IOException {
    Files.createDirectories(directory);
    return new FileConfigurationStore(
        directory, DurableWriter.SYSTEM, Files::readAllBytes, log, lock(directory));
  }

  /**
   * Creates a directory that the predecessor of this process may still use while it drains. Files stay intact with two writers; a save of
   * one may fail because of the other and must then be repeated.
   */
  public static FileConfigurationStore shared(Path directory, Consumer<String> log)
      throws IOException {
    return shared(directory, DurableWriter.SYSTEM, Files::readAllBytes, log);
  }

  static FileConfigurationStore shared(
      Path directory, DurableWriter writer, WholeReader reader, Consumer<String> log)
      throws IOException {
    Files.createDirectories(directory);
    return new FileConfigurationStore(directory, writer, reader, log, null);
  }

  private FileConfigurationStore(
      Path directory,
      DurableWriter writer,
      WholeReader reader,
      Consumer<String> log,
      FileChannel lockFile) {
    this.directory = directory;
    this.writer = writer;
    this.reader = reader;
    this.log = log;
    this.lockFile = lockFile;
  }

  private static FileChannel lock(Path directory) throws IOException {
    FileChannel file = FileChannel.open(
        directory.resolve("lock"), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
    FileLock lock = null;
    try {
      lock = file.tryLock();
    } catch (OverlappingFileLockException e) {
      // Locked within this process: reported below as well.
    }
    if (lock == null) {
      file.close();
      throw new IOException(
          "expected a directory of this process alone, another one holds " + directory);
    }
    return file;
  }

  @Override
  public List<StoredConfiguration> load() throws IOException {
    List<StoredConfiguration> intact = new ArrayList<>();
    for (Path file : files()) {
      String name = file.getFileName().toString();
      if (name.endsWith(TEMPORARY_SUFFIX)) {
        deleteTemporary(file);
      } else if (name.endsWith(SUFFIX)) {
        readInto(intact, file);
      }
    }
    intact.sort(Comparator.comparing(
        StoredConfiguration::version, (a, b) -> a.isNewerThan(b) ? -1 : b.isNewerThan(a) ? 1 : 0));
    return intact;
  }

  /** Deletes a temporary file. A failure is only logged: the file does no harm. */
  private void deleteTemporary(Path file) {
    try {
      Files.deleteIfExists(file);
    } catch (IOException e) {
      log.accept("configuration store: " + file + " could not be deleted: " + e);
    }
  }

  /** Reads a file. A read error does not mean that the file is damaged: it is thrown, and the whole load must be repeated. */
  private void readInto(List<StoredConfiguration> intact, Path file) throws IOException {
    boolean tooLarge = Files.size(file) > MAX_BYTES;
    byte[] bytes = tooLarge ? new byte[0] : reader.read(file);
    try {
      if (tooLarge) {
        throw new IllegalArgumentException("it is larger than any configuration");
      }
      StoredConfiguration stored = StoredFormat.decode(bytes);
      if (!file.equals(fileOf(stored.version()))) {
        throw new IllegalArgumentException("it holds version " + stored.version());
      }
      intact.add(stored);
    } catch (IOException | IllegalArgumentException e) {
      Path damaged = file.resolveSibling(file.getFileName() + DAMAGED_SUFFIX);
      Files.move(file, damaged, StandardCopyOption.REPLACE_EXISTING);
      log.accept("configuration store: " + file + " is damaged and was renamed: " + e.getMessage());
    }
  }

  @Override
  public void save(StoredConfiguration configuration) throws IOException {
    Path file = fileOf(configuration.version());
    long process = ProcessHandle.current().pid();
    Path temporary = file.resolveSibling(file.getFileName() + "." + process + TEMPORARY_SUFFIX);
    boolean moved = false;
    try {
      writer.write(temporary, StoredFormat.encode(configuration));
      Files.move(temporary, file, StandardCopyOption.ATOMIC_MOVE);
      moved = true;
      syncDirectory();
    } catch (IOException e) {
      // Reported as not stored, so it must not be loaded at the next start.
      deleteTemporary(moved ? file : temporary);
      throw e;
    }
    deleteOld(configuration.version());
  }

  private Path fileOf(ConfigurationVersion version) {
    return directory.resolve(version.epoch() + "-" + version.sequence() + SUFFIX);
  }

  private void syncDirectory() throws IOException {
    try (FileChannel parent = FileChannel.open(directory, StandardOpenOption.READ)) {
      parent.force(true);
    }
  }

  /** Deletes old versions. A failure is only logged: it costs disk space, not the new version. */
  private void deleteOld(ConfigurationVersion newest) {
    try {
      List<Path> old = new ArrayList<>();
      for (Path file : files()) {
        if (file.getFileName().toString().endsWith(SUFFIX) && !file.equals(fileOf(newest))) {
          old.add(file);
        }
      }
      old.sort(Comparator.comparing(FileConfigurationStore::numbers).reversed());
      for (Path file : old.subList(Math.min(KEPT_VERSIONS - 1, old.size()), old.size())) {
        Files.delete(file);
      }
    } catch (IOException e) {
      log.accept("configuration store: an old version could not be deleted: " + e);
    }
  }

  /** Returns epoch and sequence of a file's name, padded so that they compare as texts. */
  private static String numbers(Path file) {
    String[] parts = file.getFileName().toString().replace(SUFFIX, "").split("-", 2);
    return String.format("%20s-%20s", parts[0], parts[parts.length - 1]);
  }

  private List<Path> files() throws IOException {
    try (Stream<Path> files = Files.list(directory)) {
      return files.filter(Files::isRegularFile).toList();
    }
  }

  @Override
  public void close() throws IOException {
    if (lockFile != null) {
      lockFile.close();
    }
  }
}
