package pumicekeel.journal;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import java.util.function.LongSupplier;

/**
 * Writes records on its own thread, with group commit: all queued records are written together with one sync. The event loop
 * enqueues records and receives the result of a write through its own task queue. If a group fails, none of its records count
 * as written, and its segment is abandoned: after a failed sync the operating system may have dropped the dirty pages
 * (Rebello et al. 2020). A new segment is begun after a delay.
 */
public final class JournalWriter {

  /** Settings; sizes are in bytes, times in milliseconds. */
  public record Settings(
      Durability durability,
      boolean refusesInTrouble,
      long segmentBytes,
      long keepBytes,
      long keepMillis) {}

  /** Queue capacity, some 2 MB. Intents are rejected beyond half of it, so that records of sent attempts still fit. */
  static final int MAX_QUEUED_RECORDS = 8_192;
  /** Size of a group: bounds the buffer and how long the first record of a group waits for the last. */
  private static final int MAX_GROUP_RECORDS = 256;
  /** Longest retry delay after consecutive failures; the first retries come sooner. Short, so that an operator sees the recovery soon. */
  static final long MAX_RETRY_DELAY_MILLIS = 500;

  private static final long FIRST_RETRY_DELAY_MILLIS = 10;
  /** How many times a group is written, each time to a new segment, before it counts as failed. */
  private static final int MAX_GROUP_TRIES = 3;
  /** No segment is deleted by age before this run time: a wall clock that is wrong at the start must not expire all segments. */
  private static final long MIN_RUN_BEFORE_AGE_RETENTION_MILLIS = 3_600_000;
  /** Poll interval for records without a callback: after recent work, and after {@link #IDLE_AFTER_NANOS} without any. */
  private static final long PARK_NANOS = 2_000_000L;

  private static final long IDLE_PARK_NANOS = 50_000_000L;
  private static final long IDLE_AFTER_NANOS = 1_000_000_000L;

  private record QueuedRecord(Entry entry, Consumer<Boolean> callback) {}

  private final Disk disk;
  private final Settings settings;
  private final Entry.Boot boot;
  private final long epoch;
  private final Executor loop;
  private final LongSupplier wall;
  private final ConcurrentLinkedQueue<QueuedRecord> queue = new ConcurrentLinkedQueue<>();
  private final AtomicInteger queued = new AtomicInteger();
  private final ByteBuffer buffer = ByteBuffer.allocateDirect(MAX_GROUP_RECORDS * 4 << 10);
  private final SecureRandom random = new SecureRandom();
  private final Thread thread;
  private volatile boolean stopping;
  private volatile boolean parked;
  private long workedAt = System.nanoTime();
  /** When a new segment may be tried after a failure, by System.nanoTime; 0 if the last write succeeded. */
  private volatile long retryAtNanos;

  private volatile String failureReason;
  private Disk.Segment segment;
  private long salt;
  private long written;
  private int number;
  private String name;
  private final Map<String, String> segmentOfAttempt = new HashMap<>();
  private final Map<String, Integer> openAttemptsBySegment = new HashMap<>();
  /** Wall time since when records have been lost. Used by the writer thread only; the loop counts its own rejections. */
  private long lostFrom;

  private long lost;
  private final long startedAt = System.nanoTime();
  private final Consumer<String> log;
  private int consecutiveFailures;
  private long failingSince;
  private final AtomicInteger rejected = new AtomicInteger();

  /** Creates a writer that does not log. */
  JournalWriter(
      Disk disk, Settings settings, Entry.Boot boot, long epoch, Executor loop, LongSupplier wall) {
    this(disk, settings, boot, epoch, loop, wall, line -> {});
  }

  /**
   * Creates a writer. {@code loop} runs the callbacks; {@code wall} is Unix time in milliseconds; {@code log} receives a line when
   * the disk begins to fail and when it has recovered.
   */
  JournalWriter(
      Disk disk,
      Settings settings,
      Entry.Boot boot,
      long epoch,
      Executor loop,
      LongSupplier wall,
      Consumer<String> log) {
    this.log = log;
    this.disk = disk;
    this.settings = settings;
    this.boot = boot;
    this.epoch = epoch;
    this.loop = loop;
    this.wall = wall;
    thread = new Thread(this::run, "journal");
    thread.setDaemon(true);
  }

  /** Writes the header of the first segment, so that an unusable folder is detected before any request is served. */
  public void start() throws IOException {
    beginSegment();
    write(List.of());
    thread.start();
  }

  // Called on the event loop

  /** Enqueues an intent; {@code callback} is called on the loop with true once it counts as written. Returns false if the queue is full. */
  public boolean appendIntent(Entry.Intent entry, Consumer<Boolean> callback) {
    if (queued.get() >= MAX_QUEUED_RECORDS / 2) {
      rejected.incrementAndGet();
      return false;
    }
    queue.add(new QueuedRecord(entry, callback));
    queued.incrementAndGet();
    if (parked) {
      LockSupport.unpark(thread);
    }
    return true;
  }

  /** Enqueues a record of an attempt that was sent. If the queue is full the record is lost, and a gap record is written later. */
  public void append(Entry entry) {
    if (queued.get() >= MAX_QUEUED_RECORDS) {
      rejected.incrementAndGet();
      return;
    }
    // No callback waits for it: it is written with the next intent or at the next poll, so the loop
    // need not wake the writer.
    queue.add(new QueuedRecord(entry, null));
    queued.incrementAndGet();
  }

  /** Returns the time until the next retry in nanoseconds while the disk fails, else 0. */
  public long retryDelayNanos() {
    long until = retryAtNanos;
    return until == 0 ? 0 : Math.max(1, until - System.nanoTime());
  }

  /** Returns the message of the last failure; null while the disk works. */
  public String failureReason() {
    return failureReason;
  }

  public boolean refusesInTrouble() {
    return settings.refusesInTrouble();
  }

  /** Writes the queued records and a closing record. Blocks, so it must not be called on the loop. */
  public void close() throws InterruptedException {
    stopping = true;
    LockSupport.unpark(thread);
    thread.join(TimeUnit.SECONDS.toMillis(5));
  }

  // Writer thread

  private void run() {
    List<QueuedRecord> group = new ArrayList<>(MAX_GROUP_RECORDS);
    while (!stopping || !queue.isEmpty()) {
      for (QueuedRecord next = queue.poll();
          next != null;
          next = group.size() < MAX_GROUP_RECORDS ? queue.poll() : null) {
        group.add(next);
      }
      // While the disk fails nothing may be enqueued, so a retry is made without a record.
      boolean retryDue = segment == null && retryAtNanos - System.nanoTime() <= 0;
      if (group.isEmpty() && rejected.get() == 0 && !retryDue) {
        park();
        continue;
      }
      workedAt = System.nanoTime();
      queued.addAndGet(-group.size());
      confirm(group, writeGroupOrFail(group));
      group.clear();
    }
    end();
  }

  /** Waits for the short poll interval after recent work, else for the long one. An intent ends the wait. */
  private void park() {
    parked = true;
    if (queue.isEmpty() && !stopping) {
      LockSupport.parkNanos(
          this, System.nanoTime() - workedAt < IDLE_AFTER_NANOS ? PARK_NANOS : IDLE_PARK_NANOS);
    }
    parked = false;
  }

  private void confirm(List<QueuedRecord> group, boolean success) {
    List<Consumer<Boolean>> callbacks =
        group.stream().map(QueuedRecord::callback).filter(t -> t != null).toList();
    if (!callbacks.isEmpty()) {
      loop.execute(() -> callbacks.forEach(t -> t.accept(success)));
    }
  }

  /** Writes a group. An unexpected exception fails this group only: the writer thread would not be restarted. */
  private boolean writeGroupOrFail(List<QueuedRecord> group) {
    try {
      return writeGroup(group);
    } catch (RuntimeException e) {
      fail(new IOException(e));
      recordLoss(group, wall.getAsLong());
      return false;
    }
  }

  private boolean writeGroup(List<QueuedRecord> group) {
    long now = wall.getAsLong();
    int newlyRejected = rejected.getAndSet(0);
    lostFrom = newlyRejected > 0 && lost == 0 ? now - MAX_RETRY_DELAY_MILLIS : lostFrom;
    lost += newlyRejected;
    if (segment == null && retryAtNanos != 0 && retryAtNanos - System.nanoTime() > 0) {
      recordLoss(group, now);
      return false;
    }
    // A persistent failure is retried at a lower rate.
    int tries = consecutiveFailures == 0 ? MAX_GROUP_TRIES : 1;
    for (int i = 0; i < tries; i++) {
      try {
        if (segment == null) {
          beginSegment();
        }
        write(group.stream().map(QueuedRecord::entry).toList());
        return true;
      } catch (IOException e) {
        fail(e);
      }
    }
    recordLoss(group, now);
    return false;
  }

  private void recordLoss(List<QueuedRecord> group, long now) {
    lostFrom = lost == 0 ? now : lostFrom;
    lost += group.size();
  }

  private void fail(IOException e) {
    consecutiveFailures++;
    if (failureReason == null) {
      failingSince = System.nanoTime();
    }
    failureReason = String.valueOf(e.getMessage());
    long pause = Math.min(
        MAX_RETRY_DELAY_MILLIS,
        FIRST_RETRY_DELAY_MILLIS << Math.min(consecutiveFailures - 1, Byte.SIZE));
    if (consecutiveFailures == MAX_GROUP_TRIES) {
      log.accept("journal: disk writes fail; requests that require a journal record are "
          + (settings.refusesInTrouble() ? "refused" : "sent without one") + ": " + failureReason);
    }
    retryAtNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(pause);
    try {
      if (segment != null) {
        segment.close();
      }
    } catch (IOException ignored) {
      // The segment is abandoned in any case.
    }
    segment = null;
  }

  /** Begins a segment with a boot record. Each segment holds one, since older segments are deleted. */
  private void beginSegment() throws IOException {
    applyRetention();
    salt = random.nextLong();
    int next = number;
    // Also after a failure: the file may exist, and then its name could never be used again.
    number++;
    name = String.format("%016x-%08d%s", epoch, next, FolderDisk.SUFFIX);
    segment = disk.create(name);
    written = 0;
    buffer.clear();
    Codec.header(buffer, new Codec.Header(Codec.VERSION, epoch, next, salt));
    Codec.frame(buffer, salt, boot);
  }

  /** Deletes segments beyond the limits of age and total size, oldest first. */
  private void applyRetention() {
    try {
      deleteExpired();
    } catch (IOException e) {
      log.accept("journal: an old segment could not be deleted: " + e);
    }
  }

  private void deleteExpired() throws IOException {
    long runMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedAt);
    boolean ageCounts =
        runMillis >= Math.min(settings.keepMillis(), MIN_RUN_BEFORE_AGE_RETENTION_MILLIS);
    List<Disk.Stored> stored = disk.list();
    long bytes = stored.stream().mapToLong(Disk.Stored::bytes).sum();
    for (Disk.Stored s : stored) {
      if (openAttemptsBySegment.getOrDefault(s.name(), 0) > 0) {
        // An attempt in it has no outcome yet: without its intent there would be no record that the
        // attempt may have run.
        continue;
      }
      boolean old = ageCounts && wall.getAsLong() - s.modifiedMillis() > settings.keepMillis();
      if (!old && bytes + settings.segmentBytes() <= settings.keepBytes()) {
        return;
      }
      disk.delete(s.name());
      openAttemptsBySegment.remove(s.name());
      bytes -= s.bytes();
    }
  }

  private void write(List<Entry> entries) throws IOException {
    if (written > settings.segmentBytes()) {
      segment.close();
      beginSegment();
    }
    if (lost > 0) {
      Codec.frame(buffer, salt, new Entry.Gap(lostFrom, wall.getAsLong(), lost));
    }
    for (Entry entry : entries) {
      track(entry);
      if (buffer.remaining() < 2 * Codec.MAX_PAYLOAD_BYTES) {
        flush();
      }
      Codec.frame(buffer, salt, entry);
    }
    flush();
    if (settings.durability() == Durability.HOST) {
      segment.sync();
    }
    if (consecutiveFailures >= MAX_GROUP_TRIES) {
      long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - failingSince);
      log.accept("journal: disk writes work again after " + millis + " ms, " + lost
          + " records were not written");
    }
    consecutiveFailures = 0;
    lost = 0;
    retryAtNanos = 0;
    failureReason = null;
  }

  /** Tracks which segment holds the intent of each attempt in flight; bounded by the number of these. */
  private void track(Entry entry) {
    if (entry instanceof Entry.Intent e) {
      String before = segmentOfAttempt.put(e.id() + "#" + e.attempt(), name);
      if (before != null) {
        // Written before, to a segment that was abandoned.
        openAttemptsBySegment.computeIfPresent(before, (k, n) -> n == 1 ? null : n - 1);
      }
      openAttemptsBySegment.merge(name, 1, Integer::sum);
    } else if (entry instanceof Entry.Ended e) {
      String segmentName = segmentOfAttempt.remove(e.id() + "#" + e.attempt());
      if (segmentName != null) {
        openAttemptsBySegment.computeIfPresent(segmentName, (k, n) -> n == 1 ? null : n - 1);
      }
    }
  }

  private void flush() throws IOException {
    buffer.flip();
    written += buffer.remaining();
    segment.write(buffer);
    buffer.clear();
  }

  private void end() {
    try {
      if (segment != null) {
        write(List.of(new Entry.Closed(wall.getAsLong())));
        segment.close();
      }
    } catch (IOException e) {
      fail(e);
    }
  }
}
