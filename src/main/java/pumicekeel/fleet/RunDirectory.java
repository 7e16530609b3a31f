package pumicekeel.fleet;

import java.io.Closeable;
import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.nio.file.attribute.PosixFilePermission;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.Set;

/**
 * The directory that a daemon holds for itself: its lock, its control socket, its instances' logs. Whoever can open the
 * socket commands the fleet, so nobody but the owner may enter. The lock is the kernel's and ends with the process, however
 * that ends.
 */
final class RunDirectory implements Closeable {

  private static final long MOST_LOG = 16L << 20;
  private static final Set<PosixFilePermission> OWNER =
      PosixFilePermissions.fromString("rwx------");
  /** Of a Unix socket's path, less a zero byte: sun_path has 108 bytes. */
  private static final int MOST_SOCKET_PATH = 107;

  private final Path directory;
  private final FileChannel channel;
  private final FileLock lock;

  private RunDirectory(Path directory, FileChannel channel, FileLock lock) {
    this.directory = directory;
    this.channel = channel;
    this.lock = lock;
  }

  /** Takes a directory, made where it is not there; an IOException says in one line what is in the way. */
  static RunDirectory take(Path path) throws IOException {
    Path directory;
    try {
      Files.createDirectories(path, PosixFilePermissions.asFileAttribute(OWNER));
      directory = path.toRealPath();
      Set<PosixFilePermission> has = Files.getPosixFilePermissions(directory);
      if (!OWNER.containsAll(has)) {
        throw new IOException(
            "run directory " + path + ": expected it to be its owner's alone (mode 0700), got "
                + PosixFilePermissions.toString(has));
      }
    } catch (java.nio.file.FileSystemException e) {
      throw new IOException("run directory " + path + ": cannot be made or entered: " + reason(e));
    }
    if (door(directory, Settings.MAX_INSTANCES - 1).toString().length() > MOST_SOCKET_PATH) {
      throw new IOException("run directory " + path + ": expected a path of at most "
          + (MOST_SOCKET_PATH - 9) + " characters");
    }
    FileChannel channel;
    try {
      channel = FileChannel.open(
          directory.resolve("lock"), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
    } catch (java.nio.file.FileSystemException e) {
      throw new IOException("run directory " + path + ": cannot be written to: " + reason(e));
    }
    try {
      FileLock lock = channel.tryLock();
      if (lock != null) {
        return new RunDirectory(directory, channel, lock);
      }
    } catch (OverlappingFileLockException e) {
      // Held by this process.
    }
    channel.close();
    throw new IOException("run directory " + path + ": another daemon holds it");
  }

  private static String reason(java.nio.file.FileSystemException e) {
    return e.getReason() == null ? e.getClass().getSimpleName() : e.getReason();
  }

  static Path socket(Path directory) {
    return directory.resolve("control");
  }

  /** Where an instance has its operators' door. */
  static Path door(Path directory, int instance) {
    return directory.resolve("door-" + instance);
  }

  Path path() {
    return directory;
  }

  /** The log of an instance; one that has grown large is kept once as the one before. */
  Path logOf(int instance) {
    Path log = directory.resolve("instance-" + instance + ".log");
    try {
      if (Files.exists(log) && Files.size(log) > MOST_LOG) {
        Files.move(
            log,
            directory.resolve("instance-" + instance + ".log.1"),
            StandardCopyOption.REPLACE_EXISTING);
      }
    } catch (IOException e) {
      // It goes on growing: better than an instance that does not start.
    }
    return log;
  }

  @Override
  public void close() throws IOException {
    if (channel.isOpen()) {
      lock.release();
      channel.close();
    }
  }
}
