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
 * The directory that a daemon locks for itself, with its lock file, its control socket and the logs of its instances. Whoever can open the
 * socket controls the fleet, so only the owner may access the directory. The kernel releases the lock when the process ends, however it
 * ends.
 */
final class RunDirectory implements Closeable {

  private static final long MAX_LOG_BYTES = 16L << 20;
  private static final Set<PosixFilePermission> OWNER =
      PosixFilePermissions.fromString("rwx------");
  /** Maximum length of a Unix socket's path: sun_path has 108 bytes, one of them for the terminating zero. */
  private static final int MAX_SOCKET_PATH_BYTES = 107;

  private final Path directory;
  private final FileChannel channel;
  private final FileLock lock;

  private RunDirectory(Path directory, FileChannel channel, FileLock lock) {
    this.directory = directory;
    this.channel = channel;
    this.lock = lock;
  }

  /** Locks a directory, which is created if missing; fails with an IOException whose message is one line if it cannot be used. */
  static RunDirectory take(Path path) throws IOException {
    Path directory;
    try {
      Files.createDirectories(path, PosixFilePermissions.asFileAttribute(OWNER));
      directory = path.toRealPath();
      Set<PosixFilePermission> permissions = Files.getPosixFilePermissions(directory);
      if (!OWNER.containsAll(permissions)) {
        throw new IOException(
            "run directory " + path + ": expected it to be its owner's alone (mode 0700), got "
                + PosixFilePermissions.toString(permissions));
      }
    } catch (java.nio.file.FileSystemException e) {
      throw new IOException("run directory " + path + ": cannot be made or entered: " + reason(e));
    }
    if (adminSocket(directory, Settings.MAX_INSTANCES - 1).toString().length() > MAX_SOCKET_PATH_BYTES) {
      throw new IOException("run directory " + path + ": expected a path of at most "
          + (MAX_SOCKET_PATH_BYTES - 9) + " characters");
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
      // Locked by this process already.
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

  /** Returns the path of an instance's admin socket. */
  static Path adminSocket(Path directory, int instance) {
    return directory.resolve("door-" + instance);
  }

  Path path() {
    return directory;
  }

  /** Returns the log file of an instance; a large one is rotated first, of which one previous file is kept. */
  Path logOf(int instance) {
    Path log = directory.resolve("instance-" + instance + ".log");
    try {
      if (Files.exists(log) && Files.size(log) > MAX_LOG_BYTES) {
        Files.move(
            log,
            directory.resolve("instance-" + instance + ".log.1"),
            StandardCopyOption.REPLACE_EXISTING);
      }
    } catch (IOException e) {
      // The log keeps growing, which is better than an instance that does not start.
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
