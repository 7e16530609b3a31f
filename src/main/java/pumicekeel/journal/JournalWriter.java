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
 * Writes records on a thread of its own, those that wait as one group with one sync. The loop lines records up and is told
 * by its own queue once they count as written, or that they do not. Of a group that fails nothing counts: its segment is
 * given up for good, since after a failed sync the operating system may have dropped what it held (Rebello and others
 * 2020), and a new one is begun after a while.
 */
public final class JournalWriter {

  /** Settings; sizes in bytes, times in milliseconds. */
  public record Settings(
      Durability durability,
      boolean refusesInTrouble,
      long segmentBytes,
      long keepBytes,
      long keepMillis) {}

  /** Records that wait: some 2 MB. Beyond half of it no intent is taken, so that what belongs to sends has room. */
  static final int MOST_WAITING = 8_192;
  /** A group: bounds the buffer, and how long the first of it waits for the last. */
  private static final int MOST_GROUP = 256;
  /** After a failure that follows others on end; the first ones are tried again sooner. Short against an operator's patience. */
  static final long AGAIN_MILLIS = 500;

  private static final long FIRST_AGAIN_MILLIS = 10;
  /** A group is tried so often on new segments before it counts as failed. */
  private static final int GROUP_TRIES = 3;
  /** A wall clock that stands wrong at the start must not take all segments for old: by age none goes before. */
  private static final long LEAST_RUN_BEFORE_AGE_COUNTS_MILLIS = 3_600_000;
  /** Between two looks at what nobody waits for: after work, and once there was none for so long. */
  private static final long PARK_NANOS = 2_000_000L;

  private static final long IDLE_PARK_NANOS = 50_000_000L;
  private static final long IDLE_AFTER_NANOS = 1_000_000_000L;

  private record Waiting(Entry entry, Consumer<Boolean> told) {}

  private final Disk disk;
  private final Settings settings;
  private final Entry.Boot boot;
  private final long epoch;
  private final Executor loop;
  private final LongSupplier wall;
  private final ConcurrentLinkedQueue<Waiting> queue = new ConcurrentLinkedQueue<>();
  private final AtomicInteger waiting = new AtomicInteger();
  private final ByteBuffer buffer = ByteBuffer.allocateDirect(MOST_GROUP * 4 << 10);
  private final SecureRandom random = new SecureRandom();
  private final Thread thread;
  private volatile boolean stopping;
  private volatile boolean parked;
  private long workedAt = System.nanoTime();
  /** When a new segment may be tried after a failure, by System.nanoTime; 0 while all is well. */
  private volatile long troubleUntil;

  private volatile String trouble;
  private Disk.Segment segment;
  private long salt;
  private long written;
  private int number;
  private String name;
  private final Map<String, String> open = new HashMap<>();
  private final Map<String, Integer> openIn = new HashMap<>();
  /** Records that were lost since, by the wall clock; only for the writer's thread but for the loop's own count. */
  private long lostFrom;

  private long lost;
  private final long startedAt = System.nanoTime();
  private final Consumer<String> log;
  private int failuresOnEnd;
  private long troubleSince;
  private final AtomicInteger turnedAway = new AtomicInteger();

  /** One whose changes of state nobody reads. */
  JournalWriter(
      Disk disk, Settings settings, Entry.Boot boot, long epoch, Executor loop, LongSupplier wall) {
    this(disk, settings, boot, epoch, loop, wall, line -> {});
  }

  /**
   * {@code loop} runs what tells the loop; {@code wall} is Unix time in milliseconds; {@code log} gets a line when the disk begins to fail
   * and when it works again.
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

  /** Writes the first segment's start, so that a folder that is no good is known before anything is served. */
  public void start() throws IOException {
    begin();
    write(List.of());
    thread.start();
  }

  // The loop's side

  /** Lines an intent up; {@code told} is called on the loop: true once it counts as written. False: no room now. */
  public boolean appendIntent(Entry.Intent entry, Consumer<Boolean> told) {
    if (waiting.get() >= MOST_WAITING / 2) {
      turnedAway.incrementAndGet();
      return false;
    }
    queue.add(new Waiting(entry, told));
    waiting.incrementAndGet();
    if (parked) {
      LockSupport.unpark(thread);
    }
    return true;
  }

  /** Lines up what belongs to a send that was made; where there is no room it is lost, and the gap is told. */
  public void append(Entry entry) {
    if (waiting.get() >= MOST_WAITING) {
      turnedAway.incrementAndGet();
      return;
    }
    // Nobody waits for it: it goes with the next intent or the next look, and costs the loop no
    // wake-up.
    queue.add(new Waiting(entry, null));
    waiting.incrementAndGet();
  }

  /** How long until another try, in nanoseconds, while the disk fails; 0 while it does not. */
  public long retryDelayNanos() {
    long until = troubleUntil;
    return until == 0 ? 0 : Math.max(1, until - System.nanoTime());
  }

  /** What the trouble is; null while there is none. */
  public String failureReason() {
    return trouble;
  }

  public boolean refusesInTrouble() {
    return settings.refusesInTrouble();
  }

  /** Writes what waits, and that all was written; waits for it, so it is not for the loop. */
  public void close() throws InterruptedException {
    stopping = true;
    LockSupport.unpark(thread);
    thread.join(TimeUnit.SECONDS.toMillis(5));
  }

  // The writer's thread

  private void run() {
    List<Waiting> group = new ArrayList<>(MOST_GROUP);
    while (!stopping || !queue.isEmpty()) {
      for (Waiting next = queue.poll();
          next != null;
          next = group.size() < MOST_GROUP ? queue.poll() : null) {
        group.add(next);
      }
      // In trouble nothing may be lined up any more, so it is tried again unasked.
      boolean again = segment == null && troubleUntil - System.nanoTime() <= 0;
      if (group.isEmpty() && turnedAway.get() == 0 && !again) {
        park();
        continue;
      }
      workedAt = System.nanoTime();
      waiting.addAndGet(-group.size());
      tell(group, writeGroupOrLose(group));
      group.clear();
    }
    end();
  }

  /** Looks soon again after work, seldom at rest; an intent that comes in between wakes it. */
  private void park() {
    parked = true;
    if (queue.isEmpty() && !stopping) {
      LockSupport.parkNanos(
          this, System.nanoTime() - workedAt < IDLE_AFTER_NANOS ? PARK_NANOS : IDLE_PARK_NANOS);
    }
    parked = false;
  }

  private void tell(List<Waiting> group, boolean good) {
    List<Consumer<Boolean>> told =
        group.stream().map(Waiting::told).filter(t -> t != null).toList();
    if (!told.isEmpty()) {
      loop.execute(() -> told.forEach(t -> t.accept(good)));
    }
  }

  /** A defect of one group is no end of the thread, which nobody would start again. */
  private boolean writeGroupOrLose(List<Waiting> group) {
    try {
      return writeGroup(group);
    } catch (RuntimeException e) {
      fail(new IOException(e));
      lose(group, wall.getAsLong());
      return false;
    }
  }

  private boolean writeGroup(List<Waiting> group) {
    long now = wall.getAsLong();
    int away = turnedAway.getAndSet(0);
    lostFrom = away > 0 && lost == 0 ? now - AGAIN_MILLIS : lostFrom;
    lost += away;
    if (segment == null && troubleUntil != 0 && troubleUntil - System.nanoTime() > 0) {
      lose(group, now);
      return false;
    }
    // A failure that lasts is not tried at full speed.
    int tries = failuresOnEnd == 0 ? GROUP_TRIES : 1;
    for (int i = 0; i < tries; i++) {
      try {
        if (segment == null) {
          begin();
        }
        write(group.stream().map(Waiting::entry).toList());
        return true;
      } catch (IOException e) {
        fail(e);
      }
    }
    lose(group, now);
    return false;
  }

  private void lose(List<Waiting> group, long now) {
    lostFrom = lost == 0 ? now : lostFrom;
    lost += group.size();
  }

  private void fail(IOException e) {
    failuresOnEnd++;
    if (trouble == null) {
      troubleSince = System.nanoTime();
    }
    trouble = String.valueOf(e.getMessage());
    long pause =
        Math.min(AGAIN_MILLIS, FIRST_AGAIN_MILLIS << Math.min(failuresOnEnd - 1, Byte.SIZE));
    if (failuresOnEnd == GROUP_TRIES) {
      log.accept("journal: the disk fails, requests that go on record are "
          + (settings.refusesInTrouble() ? "refused" : "sent without one") + ": " + trouble);
    }
    troubleUntil = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(pause);
    try {
      if (segment != null) {
        segment.close();
      }
    } catch (IOException ignored) {
      // It is given up in any case.
    }
    segment = null;
  }

  /** Begins a segment, with what the process is: each segment tells it, since older ones are deleted. */
  private void begin() throws IOException {
    makeRoom();
    salt = random.nextLong();
    int next = number;
    // Also where it fails: the file may be there, and the name would never be free again.
    number++;
    name = String.format("%016x-%08d%s", epoch, next, FolderDisk.SUFFIX);
    segment = disk.create(name);
    written = 0;
    buffer.clear();
    Codec.header(buffer, new Codec.Header(Codec.VERSION, epoch, next, salt));
    Codec.frame(buffer, salt, boot);
  }

  /** Deletes what is too old or too much, the oldest first. */
  private void makeRoom() {
    try {
      deleteOld();
    } catch (IOException e) {
      log.accept("journal: an old segment stays: " + e);
    }
  }

  private void deleteOld() throws IOException {
    long runMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedAt);
    boolean ageCounts =
        runMillis >= Math.min(settings.keepMillis(), LEAST_RUN_BEFORE_AGE_COUNTS_MILLIS);
    List<Disk.Stored> stored = disk.list();
    long bytes = stored.stream().mapToLong(Disk.Stored::bytes).sum();
    for (Disk.Stored s : stored) {
      if (openIn.getOrDefault(s.name(), 0) > 0) {
        // An attempt in it has no outcome yet: without its intent nobody could tell that it may
        // have run.
        continue;
      }
      boolean old = ageCounts && wall.getAsLong() - s.modifiedMillis() > settings.keepMillis();
      if (!old && bytes + settings.segmentBytes() <= settings.keepBytes()) {
        return;
      }
      disk.delete(s.name());
      openIn.remove(s.name());
      bytes -= s.bytes();
    }
  }

  private void write(List<Entry> entries) throws IOException {
    if (written > settings.segmentBytes()) {
      segment.close();
      begin();
    }
    if (lost > 0) {
      Codec.frame(buffer, salt, new Entry.Gap(lostFrom, wall.getAsLong(), lost));
    }
    for (Entry entry : entries) {
      track(entry);
      if (buffer.remaining() < 2 * Codec.MOST_PAYLOAD) {
        flush();
      }
      Codec.frame(buffer, salt, entry);
    }
    flush();
    if (settings.durability() == Durability.HOST) {
      segment.sync();
    }
    if (failuresOnEnd >= GROUP_TRIES) {
      long millis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - troubleSince);
      log.accept("journal: the disk works again after " + millis + " ms, " + lost
          + " records were not written");
    }
    failuresOnEnd = 0;
    lost = 0;
    troubleUntil = 0;
    trouble = null;
  }

  /** Which segment holds the intent of an attempt that is still out; bounded by the attempts that are. */
  private void track(Entry entry) {
    if (entry instanceof Entry.Intent e) {
      String before = open.put(e.id() + "#" + e.attempt(), name);
      if (before != null) {
        // Written once already, to a segment that was given up.
        openIn.computeIfPresent(before, (k, n) -> n == 1 ? null : n - 1);
      }
      openIn.merge(name, 1, Integer::sum);
    } else if (entry instanceof Entry.Ended e) {
      String in = open.remove(e.id() + "#" + e.attempt());
      if (in != null) {
        openIn.computeIfPresent(in, (k, n) -> n == 1 ? null : n - 1);
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
