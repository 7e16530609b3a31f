package pumicekeel.journal;

import java.io.IOException;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

/**
 * What the journals of one or several instances say, of live and of dead ones. Reads segments in the order in which they
 * were written and keeps the stories that are asked for, with every hole in the record.
 */
public final class History {

  /** Stories kept: some 500 MB at most. More is a question that is too wide. */
  static final int MOST_STORIES = 1_000_000;

  /** A hole: where in which file, or between which times; and what it means. */
  public record Hole(
      String file, long offset, long length, long fromMillis, long toMillis, String why) {}

  /** A file that can't be read. */
  public record UnreadableFile(String file, String why) {}

  /** One segment, for the statistics. */
  public record Segment(String file, long bytes, long records, String instance, long epoch) {}

  private final Predicate<Entry.Intent> asked;
  private final Map<String, Story> stories = new LinkedHashMap<>();
  private final List<Hole> holes = new ArrayList<>();
  private final List<UnreadableFile> refused = new ArrayList<>();
  private final List<Segment> segments = new ArrayList<>();
  private final Map<String, Long> kinds = new HashMap<>();
  private long firstMillis = Long.MAX_VALUE;
  private long lastMillis;
  private boolean tooMany;
  /** Of the epoch that is being read. */
  private String folder;

  private long epoch = -1;
  private String instance = "?";
  private boolean closed = true;
  private boolean refuses = true;
  private int nextNumber;
  private long epochLast;

  /** Keeps the stories of requests one of whose intents is asked for. */
  public History(Predicate<Entry.Intent> asked) {
    this.asked = asked;
  }

  /** Reads a folder; one that is being written is read as far as it is. */
  public void read(Path from) throws IOException {
    folder = from.toString();
    epoch = -1;
    List<Disk.Stored> files = FolderDisk.list(from);
    for (Disk.Stored file : files) {
      try {
        readSegment(from.resolve(file.name()));
      } catch (NoSuchFileException e) {
        // Its time was up meanwhile, as that of all before it.
      } catch (SegmentReader.Unreadable e) {
        refused.add(new UnreadableFile(from.resolve(file.name()).toString(), e.getMessage()));
      }
    }
    endOfEpoch();
  }

  private void readSegment(Path file) throws IOException {
    String name = file.toString();
    long[] records = new long[1];
    List<Hole> found = new ArrayList<>();
    String base = file.getFileName().toString();
    begin(base);
    Codec.Header header = SegmentReader.read(file, new SegmentReader.Sink() {
      @Override
      public void entry(long offset, Entry entry) {
        records[0]++;
        take(entry);
      }

      @Override
      public void damage(long offset, long length, boolean atEnd) {
        found.add(new Hole(
            name, offset, length, 0, 0, atEnd ? "cut short: nothing whole follows" : "damaged"));
      }
    });
    long now = lastMillis;
    found.forEach(h -> holes.add(new Hole(h.file(), h.offset(), h.length(), 0, now, h.why())));
    segments.add(new Segment(
        name, java.nio.file.Files.size(file), records[0], header == null ? "?" : instance, epoch));
  }

  /** A new epoch, or the next segment of the same: one that is missing between two is a hole. */
  private void begin(String base) {
    long named = -1;
    int number = 0;
    if (base.matches("[0-9a-f]{16}-\\d{8}\\.hvj")) {
      named = Long.parseUnsignedLong(base.substring(0, 16), 16);
      number = Integer.parseInt(base.substring(17, 25));
    }
    if (named != epoch) {
      endOfEpoch();
      epoch = named;
      closed = false;
    } else if (number != nextNumber) {
      holes.add(new Hole(
          folder,
          0,
          0,
          0,
          lastMillis,
          "segments " + nextNumber + " to " + (number - 1) + " of epoch " + Long.toHexString(epoch)
              + " are missing"));
    }
    nextNumber = number + 1;
  }

  /** An epoch that never closed and did not refuse in trouble may have sent what is not on record. */
  private void endOfEpoch() {
    if (epoch != -1 && !closed && !refuses) {
      holes.add(new Hole(
          folder,
          0,
          0,
          epochLast,
          0,
          "epoch " + Long.toHexString(epoch)
              + " did not end in order and was set to send without a record in trouble"));
    }
    epoch = -1;
    closed = true;
  }

  private void take(Entry entry) {
    kinds.merge(entry.getClass().getSimpleName(), 1L, Long::sum);
    if (entry instanceof Entry.Boot e) {
      instance = e.instance();
      refuses = e.refusesInTrouble();
      seen(e.wallMillis());
    } else if (entry instanceof Entry.Intent e) {
      seen(e.wallMillis());
      Story story = stories.get(entryName(e.id()));
      if (story == null && asked.test(e)) {
        tooMany |= stories.size() >= MOST_STORIES;
        story = tooMany
            ? null
            : stories.computeIfAbsent(entryName(e.id()), k -> new Story(instance, epoch));
      }
      if (story != null) {
        story.intent(e);
      }
    } else if (entry instanceof Entry.Written e) {
      with(e.id(), s -> s.written(e.attempt()));
    } else if (entry instanceof Entry.Ended e) {
      seen(e.wallMillis());
      with(e.id(), s -> s.ended(e.attempt(), e.status()));
    } else if (entry instanceof Entry.Answered e) {
      seen(e.wallMillis());
      with(e.id(), s -> s.answered(e.told(), e.wallMillis()));
    } else if (entry instanceof Entry.Gap e) {
      holes.add(new Hole(
          folder,
          0,
          0,
          e.fromWallMillis(),
          e.toWallMillis(),
          e.lost() + " records were lost, "
              + (refuses ? "no send without one" : "sends may have been made without one")));
    } else if (entry instanceof Entry.Closed e) {
      closed = true;
      seen(e.wallMillis());
    }
  }

  private void seen(long millis) {
    firstMillis = Math.min(firstMillis, millis);
    lastMillis = Math.max(lastMillis, millis);
    epochLast = millis;
  }

  private void with(String id, java.util.function.Consumer<Story> change) {
    Story story = stories.get(entryName(id));
    if (story != null) {
      change.accept(story);
    }
  }

  /** Another epoch's request of the same id is another request. */
  private String entryName(String id) {
    return folder + '|' + epoch + '|' + id;
  }

  /** Whether a text is the one on record, where very long ones are cut. */
  public static boolean matchesRecorded(String asked, String recorded) {
    return Codec.cut(asked).equals(recorded);
  }

  public List<Story> stories() {
    return List.copyOf(stories.values());
  }

  public List<Hole> holes() {
    return List.copyOf(holes);
  }

  public List<UnreadableFile> unreadableFiles() {
    return List.copyOf(refused);
  }

  public List<Segment> segments() {
    return List.copyOf(segments);
  }

  /** How many records of each kind. */
  public Map<String, Long> kinds() {
    return Map.copyOf(kinds);
  }

  public long firstMillis() {
    return firstMillis == Long.MAX_VALUE ? 0 : firstMillis;
  }

  public long lastMillis() {
    return lastMillis;
  }

  /** Whether there were more stories than are kept. */
  public boolean tooMany() {
    return tooMany;
  }

  /** The hole that may hold more of a story; null where none can. */
  public String gapFor(Story story) {
    long from = story.first().wallMillis();
    return holes.stream()
        .filter(h -> h.toMillis() == 0 || h.toMillis() >= from)
        .map(Hole::why)
        .findFirst()
        .orElse(
            refused.isEmpty()
                ? null
                : "a segment could not be read: " + refused.get(0).file());
  }

  /** Why a request of which nothing is on record may have left all the same; null where it can't have. */
  public String anyGap() {
    return !holes.isEmpty()
        ? holes.get(0).why()
        : refused.isEmpty()
            ? null
            : "a segment could not be read: " + refused.get(0).file();
  }
}
