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
 * The contents of the journals of one or several instances, running or not. Reads segments in the order in which they were
 * written and keeps the histories of matching requests, together with every hole in the journals.
 */
public final class History {

  /** Maximum number of requests kept, some 500 MB; a query that matches more is too wide. */
  static final int MAX_REQUESTS = 1_000_000;

  /** A part of a journal that is missing or damaged: its place in a file or its time range, and the reason. */
  public record Hole(
      String file, long offset, long length, long fromMillis, long toMillis, String why) {}

  /** A file that cannot be read, with the reason. */
  public record UnreadableFile(String file, String why) {}

  /** Statistics of one segment. */
  public record Segment(String file, long bytes, long records, String instance, long epoch) {}

  private final Predicate<Entry.Intent> filter;
  private final Map<String, RequestHistory> requests = new LinkedHashMap<>();
  private final List<Hole> holes = new ArrayList<>();
  private final List<UnreadableFile> unreadableFiles = new ArrayList<>();
  private final List<Segment> segments = new ArrayList<>();
  private final Map<String, Long> kinds = new HashMap<>();
  private long firstMillis = Long.MAX_VALUE;
  private long lastMillis;
  private boolean tooMany;
  /** Folder, and below the state, of the epoch that is being read. */
  private String folder;

  private long epoch = -1;
  private String instance = "?";
  private boolean closed = true;
  private boolean refusesInTrouble = true;
  private int nextNumber;
  private long epochLast;

  /** Creates a history that keeps the requests with an intent that matches the filter. */
  public History(Predicate<Entry.Intent> filter) {
    this.filter = filter;
  }

  /** Reads a folder; of one that is in use, the records written so far are read. */
  public void read(Path from) throws IOException {
    folder = from.toString();
    epoch = -1;
    List<Disk.Stored> files = FolderDisk.list(from);
    for (Disk.Stored file : files) {
      try {
        readSegment(from.resolve(file.name()));
      } catch (NoSuchFileException e) {
        // Deleted by retention meanwhile, like all segments before it.
      } catch (SegmentReader.Unreadable e) {
        unreadableFiles.add(
            new UnreadableFile(from.resolve(file.name()).toString(), e.getMessage()));
      }
    }
    endEpoch();
  }

  private void readSegment(Path file) throws IOException {
    String name = file.toString();
    long[] records = new long[1];
    List<Hole> damaged = new ArrayList<>();
    String base = file.getFileName().toString();
    begin(base);
    Codec.Header header = SegmentReader.read(file, new SegmentReader.Sink() {
      @Override
      public void entry(long offset, Entry entry) {
        records[0]++;
        add(entry);
      }

      @Override
      public void damage(long offset, long length, boolean atEnd) {
        damaged.add(new Hole(
            name, offset, length, 0, 0, atEnd ? "truncated: no intact record follows" : "damaged"));
      }
    });
    long now = lastMillis;
    damaged.forEach(h -> holes.add(new Hole(h.file(), h.offset(), h.length(), 0, now, h.why())));
    segments.add(new Segment(
        name, java.nio.file.Files.size(file), records[0], header == null ? "?" : instance, epoch));
  }

  /** Begins a new epoch or the next segment of the current one; a segment missing in between is a hole. */
  private void begin(String base) {
    long named = -1;
    int number = 0;
    if (base.matches("[0-9a-f]{16}-\\d{8}\\.hvj")) {
      named = Long.parseUnsignedLong(base.substring(0, 16), 16);
      number = Integer.parseInt(base.substring(17, 25));
    }
    if (named != epoch) {
      endEpoch();
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

  /** Ends an epoch. One that did not close and was not set to refuse in trouble may have sent requests without a record. */
  private void endEpoch() {
    if (epoch != -1 && !closed && !refusesInTrouble) {
      holes.add(new Hole(
          folder,
          0,
          0,
          epochLast,
          0,
          "epoch " + Long.toHexString(epoch)
              + " did not end in order and was set to send without a record while the disk fails"));
    }
    epoch = -1;
    closed = true;
  }

  private void add(Entry entry) {
    kinds.merge(entry.getClass().getSimpleName(), 1L, Long::sum);
    if (entry instanceof Entry.Boot e) {
      instance = e.instance();
      refusesInTrouble = e.refusesInTrouble();
      trackTime(e.wallMillis());
    } else if (entry instanceof Entry.Intent e) {
      trackTime(e.wallMillis());
      RequestHistory request = requests.get(requestKey(e.id()));
      if (request == null && filter.test(e)) {
        tooMany |= requests.size() >= MAX_REQUESTS;
        request = tooMany
            ? null
            : requests.computeIfAbsent(
                requestKey(e.id()), k -> new RequestHistory(instance, epoch));
      }
      if (request != null) {
        request.intent(e);
      }
    } else if (entry instanceof Entry.Written e) {
      update(e.id(), s -> s.written(e.attempt()));
    } else if (entry instanceof Entry.Ended e) {
      trackTime(e.wallMillis());
      update(e.id(), s -> s.ended(e.attempt(), e.status()));
    } else if (entry instanceof Entry.Answered e) {
      trackTime(e.wallMillis());
      update(e.id(), s -> s.answered(e.told(), e.wallMillis()));
    } else if (entry instanceof Entry.Gap e) {
      holes.add(new Hole(
          folder,
          0,
          0,
          e.fromWallMillis(),
          e.toWallMillis(),
          e.lost() + " records were lost, "
              + (refusesInTrouble
                  ? "no request was sent without one"
                  : "requests may have been sent without one")));
    } else if (entry instanceof Entry.Closed e) {
      closed = true;
      trackTime(e.wallMillis());
    }
  }

  private void trackTime(long millis) {
    firstMillis = Math.min(firstMillis, millis);
    lastMillis = Math.max(lastMillis, millis);
    epochLast = millis;
  }

  private void update(String id, java.util.function.Consumer<RequestHistory> change) {
    RequestHistory request = requests.get(requestKey(id));
    if (request != null) {
      change.accept(request);
    }
  }

  /** Returns the map key of a request: requests of different epochs are different even with the same id. */
  private String requestKey(String id) {
    return folder + '|' + epoch + '|' + id;
  }

  /** Whether a recorded text, which may be truncated, is this one. */
  public static boolean matchesRecorded(String text, String recorded) {
    return Codec.truncate(text).equals(recorded);
  }

  public List<RequestHistory> requests() {
    return List.copyOf(requests.values());
  }

  public List<Hole> holes() {
    return List.copyOf(holes);
  }

  public List<UnreadableFile> unreadableFiles() {
    return List.copyOf(unreadableFiles);
  }

  public List<Segment> segments() {
    return List.copyOf(segments);
  }

  /** Returns the number of records by type. */
  public Map<String, Long> kinds() {
    return Map.copyOf(kinds);
  }

  public long firstMillis() {
    return firstMillis == Long.MAX_VALUE ? 0 : firstMillis;
  }

  public long lastMillis() {
    return lastMillis;
  }

  /** Whether there were more requests than the limit. */
  public boolean tooMany() {
    return tooMany;
  }

  /** Returns the reason of a hole that may contain more records of a request; null if there is none. */
  public String gapFor(RequestHistory request) {
    long from = request.firstIntent().wallMillis();
    return holes.stream()
        .filter(h -> h.toMillis() == 0 || h.toMillis() >= from)
        .map(Hole::why)
        .findFirst()
        .orElse(
            unreadableFiles.isEmpty()
                ? null
                : "a segment could not be read: " + unreadableFiles.get(0).file());
  }

  /** Returns why a request without any record may have been sent nevertheless; null if it cannot have been. */
  public String anyGap() {
    return !holes.isEmpty()
        ? holes.get(0).why()
        : unreadableFiles.isEmpty()
            ? null
            : "a segment could not be read: " + unreadableFiles.get(0).file();
  }
}
