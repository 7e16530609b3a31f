package pumicekeel.journal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Runs the writer on slow, full and failing disks: confirmed records are readable, and lost ones are reported as a gap. */
class JournalWriterTest {

  /** A disk in memory; bytes that were not synced are lost in a simulated host crash. */
  private static final class FaultyDisk implements Disk {
    final Map<String, ByteArrayOutputStream> files = new TreeMap<>();
    final Map<String, Integer> synced = new TreeMap<>();
    final Semaphore writePermits = new Semaphore(1 << 29);
    volatile int spaceLeft = Integer.MAX_VALUE;
    volatile boolean syncFails;
    volatile int syncsThatFail;
    volatile boolean createFails;
    volatile int writes;

    @Override
    public synchronized Segment create(String name) throws IOException {
      if (createFails) {
        throw new IOException("Read-only file system");
      }
      ByteArrayOutputStream file = new ByteArrayOutputStream();
      files.put(name, file);
      return new Segment() {
        @Override
        public void write(ByteBuffer bytes) throws IOException {
          writePermits.acquireUninterruptibly();
          writePermits.release();
          synchronized (FaultyDisk.this) {
            writes++;
            byte[] all = new byte[bytes.remaining()];
            bytes.get(all);
            int part = Math.min(spaceLeft, all.length);
            file.write(all, 0, part);
            spaceLeft -= part;
            if (part < all.length) {
              throw new IOException("No space left on device");
            }
          }
        }

        @Override
        public void sync() throws IOException {
          synchronized (FaultyDisk.this) {
            if (syncFails || syncsThatFail-- > 0) {
              throw new IOException("Input/output error");
            }
            synced.put(name, file.size());
          }
        }

        @Override
        public void close() {
          // Holds no resources.
        }
      };
    }

    @Override
    public synchronized List<Stored> list() {
      List<Stored> out = new ArrayList<>();
      files.forEach(
          (name, file) -> out.add(new Stored(name, file.size(), System.currentTimeMillis())));
      return out;
    }

    @Override
    public synchronized void delete(String name) {
      files.remove(name);
    }

    /** Returns all records that survive the end of the process, or a crash of the host. */
    synchronized List<Entry> surviving(boolean host) throws Exception {
      List<Entry> out = new ArrayList<>();
      for (String name : files.keySet()) {
        int length = host ? synced.getOrDefault(name, 0) : files.get(name).size();
        SegmentReader.read(
            ByteBuffer.wrap(files.get(name).toByteArray(), 0, length).slice(),
            new SegmentReader.Sink() {
              @Override
              public void entry(long offset, Entry entry) {
                out.add(entry);
              }

              @Override
              public void damage(long offset, long length, boolean atEnd) {
                // Checked by other tests.
              }
            });
      }
      return out;
    }
  }

  private final FaultyDisk disk = new FaultyDisk();
  private final ExecutorService loop = Executors.newSingleThreadExecutor();
  private final BlockingQueue<Boolean> results = new LinkedBlockingQueue<>();
  private JournalWriter writer;

  private void start(Durability durability, boolean refuses, long segment, long keep)
      throws IOException {
    writer = new JournalWriter(
        disk,
        new JournalWriter.Settings(durability, refuses, segment, keep, Long.MAX_VALUE / 2),
        new Entry.Boot(1, 2, "n0", "b", durability, refuses),
        7,
        loop,
        System::currentTimeMillis);
    writer.start();
  }

  @AfterEach
  void stop() throws InterruptedException {
    disk.writePermits.release(1 << 29);
    if (writer != null) {
      writer.close();
    }
    loop.shutdownNow();
  }

  private Boolean writeIntent(String id) throws InterruptedException {
    assertTrue(writer.appendIntent(SegmentTest.intent(id, "k" + id, 0), results::add));
    return results.poll(30, TimeUnit.SECONDS);
  }

  private long intents(boolean host, String prefix) throws Exception {
    return disk.surviving(host).stream()
        .filter(e -> e instanceof Entry.Intent i && i.id().startsWith(prefix))
        .count();
  }

  @Test
  void confirmedIntentsAreSyncedWithHostDurability() throws Exception {
    start(Durability.HOST, true, 1 << 20, 1 << 30);
    for (int i = 0; i < 20; i++) {
      assertEquals(true, writeIntent("r" + i));
      assertEquals(i + 1, intents(true, "r"), "synced before the confirmation");
    }
  }

  @Test
  void groupsShareOneWrite() throws Exception {
    start(Durability.PROCESS, true, 1 << 20, 1 << 30);
    int before = disk.writes;
    disk.writePermits.drainPermits();
    assertTrue(writer.appendIntent(SegmentTest.intent("first", "k", 0), results::add));
    for (int i = 0; i < 200; i++) {
      assertTrue(writer.appendIntent(SegmentTest.intent("r" + i, "k", 0), results::add));
    }
    disk.writePermits.release(1 << 29);
    for (int i = 0; i <= 200; i++) {
      assertEquals(true, results.poll(30, TimeUnit.SECONDS));
    }
    assertTrue(disk.writes - before < 20, "writes: " + (disk.writes - before));
    assertEquals(200, intents(false, "r"));
  }

  /** After a failed sync its segment is abandoned; records confirmed before it must stay readable. */
  @Test
  void failedSyncIsReportedAndANewSegmentIsBegun() throws Exception {
    start(Durability.HOST, true, 1 << 20, 1 << 30);
    assertEquals(true, writeIntent("good"));
    disk.syncFails = true;
    assertEquals(false, writeIntent("bad"));
    assertTrue(
        writer.retryDelayNanos() > 0 && writer.failureReason().contains("Input/output error"));
    disk.syncFails = false;
    while (!writeIntent("again")) {
      // Until the retry delay is over.
    }
    assertEquals(0, writer.retryDelayNanos());
    assertEquals(1, intents(true, "good"));
    assertEquals(0, intents(true, "bad"));
    // Each of the three tries of the group abandoned its segment; the fourth segment works.
    assertEquals(4, disk.files.size());
    assertTrue(
        disk.surviving(true).stream().anyMatch(e -> e instanceof Entry.Gap g && g.lost() >= 1),
        "the gap is recorded");
  }

  /** After a single failure the group is written to a new segment at once: no request is rejected, no record lost. */
  @Test
  void singleFailedSyncRejectsNothing() throws Exception {
    start(Durability.HOST, true, 1 << 20, 1 << 30);
    disk.syncsThatFail = 1;
    assertEquals(true, writeIntent("kept"));
    assertEquals(0, writer.retryDelayNanos());
    assertEquals(1, intents(true, "kept"));
    assertEquals(2, disk.files.size());
    assertTrue(disk.surviving(true).stream().noneMatch(e -> e instanceof Entry.Gap));
  }

  @Test
  void fullDiskIsReportedAndTheTornRecordIsNotRead() throws Exception {
    start(Durability.PROCESS, true, 1 << 20, 1 << 30);
    assertEquals(true, writeIntent("good"));
    disk.spaceLeft = 50;
    assertEquals(false, writeIntent("torn"));
    assertEquals(0, intents(false, "torn"));
    disk.spaceLeft = Integer.MAX_VALUE;
    while (!writeIntent("again")) {
      // Until the retry delay is over.
    }
    assertEquals(1, intents(false, "good"));
  }

  /** A stalled disk must not block the loop: the queue fills to its half, then intents are rejected. */
  @Test
  void queueOfAStalledDiskIsBounded() throws Exception {
    start(Durability.HOST, true, 1 << 24, 1 << 30);
    disk.writePermits.drainPermits();
    int accepted = 0;
    while (writer.appendIntent(SegmentTest.intent("r" + accepted, "k", 0), results::add)) {
      accepted++;
      assertTrue(accepted <= JournalWriter.MAX_QUEUED_RECORDS, "bounded");
    }
    for (int i = 0; i < 2 * JournalWriter.MAX_QUEUED_RECORDS; i++) {
      writer.append(new Entry.Written("r" + i, 0, 1));
    }
    assertTrue(results.isEmpty());
    disk.writePermits.release(1 << 29);
    for (int i = 0; i < accepted; i++) {
      assertEquals(true, results.poll(30, TimeUnit.SECONDS));
    }
    writer.close();
    assertTrue(
        disk.surviving(true).stream().anyMatch(e -> e instanceof Entry.Gap),
        "the loss is recorded");
  }

  @Test
  void segmentsRotateAndTheOldestAreDeletedFirst() throws Exception {
    start(Durability.PROCESS, true, 2_000, 12_000);
    for (int i = 0; i < 200; i++) {
      assertEquals(true, writeIntent("r" + i));
      writer.append(new Entry.Ended("r" + i, 0, pumicekeel.Balancer.Status.SERVED, 1));
    }
    long bytes = disk.list().stream().mapToLong(Disk.Stored::bytes).sum();
    assertTrue(
        disk.files.size() > 1 && bytes <= 14_000,
        disk.files.size() + " files, " + bytes + " bytes");
    assertEquals(1, intents(false, "r199"));
    assertEquals(
        0,
        disk.surviving(false).stream()
            .filter(e -> e instanceof Entry.Intent i && i.id().equals("r0"))
            .count());
    for (String name : disk.files.keySet()) {
      List<Entry> first = new ArrayList<>();
      SegmentReader.read(
          ByteBuffer.wrap(disk.files.get(name).toByteArray()), new SegmentReader.Sink() {
            @Override
            public void entry(long offset, Entry entry) {
              first.add(entry);
            }

            @Override
            public void damage(long offset, long length, boolean atEnd) {
              throw new AssertionError("no damage");
            }
          });
      assertTrue(first.get(0) instanceof Entry.Boot, "each segment begins with a boot record");
    }
  }

  /** Retention by size would delete the first segment, but an attempt in it has no outcome yet. */
  @Test
  void segmentWithAnAttemptInFlightIsKept() throws Exception {
    start(Durability.PROCESS, true, 2_000, 8_000);
    assertEquals(true, writeIntent("out"));
    for (int i = 0; i < 100; i++) {
      assertEquals(true, writeIntent("r" + i));
      writer.append(new Entry.Ended("r" + i, 0, pumicekeel.Balancer.Status.SERVED, 1));
    }
    assertEquals(1, intents(false, "out"));
    writer.append(new Entry.Ended("out", 0, pumicekeel.Balancer.Status.SERVED, 1));
    for (int i = 0; i < 100; i++) {
      assertEquals(true, writeIntent("s" + i));
      writer.append(new Entry.Ended("s" + i, 0, pumicekeel.Balancer.Status.SERVED, 1));
    }
    assertEquals(0, intents(false, "out"));
  }

  @Test
  void epochIncreasesThoughTheClockIsSetBack(@TempDir Path folder) throws Exception {
    JournalWriter.Settings settings =
        new JournalWriter.Settings(Durability.PROCESS, true, 1 << 20, 1 << 30, 1L << 60);
    long ahead = System.currentTimeMillis() + 3_600_000L;
    Files.write(folder.resolve(String.format("%016x-%08d.hvj", ahead, 0)), new byte[0]);
    Journal.open(folder, "n0", settings, loop).close();
    Journal.open(folder, "n0", settings, loop).close();
    List<String> names = FolderDisk.list(folder).stream().map(Disk.Stored::name).toList();
    assertEquals(
        List.of(ahead, ahead + 1, ahead + 2),
        names.stream().map(n -> Long.parseUnsignedLong(n.substring(0, 16), 16)).toList());
  }

  @Test
  void unusableFolderIsReportedAtTheStartAndLockedByOneProcess(@TempDir Path folder)
      throws Exception {
    disk.createFails = true;
    assertThrows(IOException.class, () -> start(Durability.HOST, true, 1 << 20, 1 << 30));
    writer = null;
    JournalWriter.Settings settings =
        new JournalWriter.Settings(Durability.HOST, true, 1 << 20, 1 << 30, 1 << 30);
    try (Journal journal = Journal.open(folder, "n0", settings, loop)) {
      IOException e =
          assertThrows(IOException.class, () -> Journal.open(folder, "n1", settings, loop));
      assertTrue(e.getMessage().contains("another one writes"), e.getMessage());
      assertFalse(journal.writer().failureReason() != null);
    }
    Path file = Files.writeString(folder.resolve("file"), "x");
    assertThrows(IOException.class, () -> Journal.open(file, "n0", settings, loop));
  }
}
