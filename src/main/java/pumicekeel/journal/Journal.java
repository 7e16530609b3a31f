package pumicekeel.journal;

import java.io.IOException;
import java.nio.file.AccessDeniedException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.function.Consumer;

/** The journal of a process: opened before it serves, and read to recover the state left by its predecessors. */
public final class Journal implements AutoCloseable {

  /** Limit of the newest segments read at a start; older records no longer matter. */
  static final long MAX_TAIL_BYTES = 64L << 20;

  private final FolderDisk disk;
  private final JournalWriter writer;
  private final Recovery recovery;
  private final String hostBoot;
  private final List<String> unreadable;

  private Journal(
      FolderDisk disk,
      JournalWriter writer,
      Recovery recovery,
      String hostBoot,
      List<String> unreadable) {
    this.disk = disk;
    this.writer = writer;
    this.recovery = recovery;
    this.hostBoot = hostBoot;
    this.unreadable = unreadable;
  }

  /** Opens a journal that does not log. */
  public static Journal open(
      Path folder, String instance, JournalWriter.Settings settings, Executor loop)
      throws IOException {
    return open(folder, instance, settings, loop, line -> {});
  }

  /** Locks the folder, reads the tail of the journal and begins a segment of a new epoch. Blocks. */
  public static Journal open(
      Path folder,
      String instance,
      JournalWriter.Settings settings,
      Executor loop,
      Consumer<String> log)
      throws IOException {
    FolderDisk disk = new FolderDisk(folder);
    try {
      String hostBoot = hostBoot();
      List<Disk.Stored> stored = disk.list();
      List<String> unreadable = new ArrayList<>();
      Recovery recovery = tail(folder, stored, unreadable);
      Entry.Boot boot = new Entry.Boot(
          System.currentTimeMillis(),
          System.nanoTime(),
          instance,
          hostBoot,
          settings.durability(),
          settings.refusesInTrouble());
      JournalWriter writer = new JournalWriter(
          disk, settings, boot, nextEpoch(stored), loop, System::currentTimeMillis, log);
      writer.start();
      return new Journal(disk, writer, recovery, hostBoot, unreadable);
    } catch (IOException | RuntimeException e) {
      disk.close();
      throw e;
    }
  }

  /** Returns an epoch above every earlier one, even if the wall clock was set back. */
  private static long nextEpoch(List<Disk.Stored> stored) {
    long highest = stored.stream()
        .map(Disk.Stored::name)
        .filter(n -> n.matches("[0-9a-f]{16}-.*"))
        .mapToLong(n -> Long.parseUnsignedLong(n.substring(0, 16), 16))
        .max()
        .orElse(0);
    return Math.max(System.currentTimeMillis(), highest + 1);
  }

  private static Recovery tail(Path folder, List<Disk.Stored> stored, List<String> unreadable)
      throws IOException {
    List<Disk.Stored> newest = new ArrayList<>(stored);
    Collections.reverse(newest);
    List<Disk.Stored> read = new ArrayList<>();
    long bytes = 0;
    for (Disk.Stored s : newest) {
      bytes += s.bytes();
      if (bytes > MAX_TAIL_BYTES && !read.isEmpty()) {
        break;
      }
      read.add(0, s);
    }
    Recovery recovery = new Recovery(KeyMemory.MAX_ENTRIES);
    for (Disk.Stored s : read) {
      try {
        SegmentReader.read(folder.resolve(s.name()), new SegmentReader.Sink() {
          @Override
          public void entry(long offset, Entry entry) {
            recovery.add(entry);
          }

          @Override
          public void damage(long offset, long length, boolean atEnd) {
            if (!atEnd) {
              unreadable.add(s.name() + " at " + offset + ", " + length + " bytes");
            }
          }
        });
      } catch (SegmentReader.Unreadable e) {
        unreadable.add(s.name() + ": " + e.getMessage());
      }
    }
    return recovery;
  }

  /** Returns an id of the host's current boot; empty if the system does not provide one. */
  static String hostBoot() throws IOException {
    try {
      return Files.readString(Path.of("/proc/sys/kernel/random/boot_id")).strip();
    } catch (NoSuchFileException | AccessDeniedException e) {
      return "";
    }
  }

  public JournalWriter writer() {
    return writer;
  }

  /** Returns the parts of the tail that could not be read. Repeats of requests recorded there cannot be recognized. */
  public List<String> unreadable() {
    return unreadable;
  }

  /** Adds the requests that may have run before this start to the memory; returns the number of keys. */
  public int recover(KeyMemory memory, long now) {
    return recovery.restoreTo(memory, hostBoot, System.currentTimeMillis(), System.nanoTime(), now);
  }

  @Override
  public void close() throws InterruptedException, IOException {
    writer.close();
    disk.close();
  }
}
