package pumicekeel.discovery;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * One datagram between balancers about departed upstreams, at most {@link #MAX_BYTES} bytes. Big-endian: magic 2, version 1, kind 1, from
 * 8, to 8, age in ms 4, part 1, parts 1, count 1, then 12 bytes for each upstream: its ID 8, and how many ms ago the sender's list
 * reported that it serves again 4, -1 if it does not.
 *
 * @param kind a query, or what the report covers
 * @param from the version of the list after which departures are requested or reported
 * @param to the version up to which they are reported; 0 in a query
 * @param ageMillis in a report the time since the sender last received data from discovery; in a query the age of its list
 * @param part index of this datagram within a report of several, from 0
 * @param parts number of datagrams of the report
 * @param departures upstreams that departed, or were away, in between
 */
record DepartureMessage(
    Kind kind, long from, long to, int ageMillis, int part, int parts, List<Departure> departures) {

  /** A departed upstream; the sender's list reported {@code returnedMillisAgo} that it serves again, {@link #AWAY} if it does not. */
  record Departure(long id, int returnedMillisAgo) {}

  /** The upstream does not serve. */
  static final int AWAY = -1;

  /** The order is that of the numbers on the wire. */
  enum Kind {
    /** Asks for departures after a version. */
    ASK,
    /** Reports all departures after any version from {@link #from} on. */
    TELL,
    /**
     * Reports all departures after version {@link #from} exactly. The sender's list skipped versions after that one: what
     * joined and departed in between is missing here.
     */
    TELL_AFTER_EXACT_VERSION
  }

  /** Maximum size of a datagram, a limit of the platform. */
  static final int MAX_BYTES = 256;

  private static final short MAGIC = 0x4c44;
  private static final byte VERSION = 1;
  private static final int HEADER_BYTES = 27;
  private static final int DEPARTURE_BYTES = Long.BYTES + Integer.BYTES;
  /** Maximum number of departures in one datagram. */
  static final int MAX_DEPARTURES = (MAX_BYTES - HEADER_BYTES) / DEPARTURE_BYTES;
  /** Maximum number of datagrams of one report. */
  static final int MAX_PARTS = 32;

  DepartureMessage {
    departures = List.copyOf(departures);
  }

  static DepartureMessage query(long from, int ageMillis) {
    return new DepartureMessage(Kind.ASK, from, 0, ageMillis, 0, 1, List.of());
  }

  /** Creates a report in as many datagrams as it needs. */
  static List<DepartureMessage> report(
      Kind kind, long from, long to, int ageMillis, List<Departure> departures) {
    int parts = Math.max(1, (departures.size() + MAX_DEPARTURES - 1) / MAX_DEPARTURES);
    List<DepartureMessage> all = new ArrayList<>();
    for (int part = 0; part < parts; part++) {
      List<Departure> slice = departures.subList(
          part * MAX_DEPARTURES, Math.min(departures.size(), (part + 1) * MAX_DEPARTURES));
      all.add(new DepartureMessage(kind, from, to, ageMillis, part, parts, slice));
    }
    return all;
  }

  /** Returns whether this report has all departures after a version, up to {@link #to}. */
  boolean covers(long version) {
    return switch (kind) {
      case ASK -> false;
      case TELL -> from <= version && version <= to;
      case TELL_AFTER_EXACT_VERSION -> from == version && version <= to;
    };
  }

  byte[] encode() {
    ByteBuffer out = ByteBuffer.allocate(HEADER_BYTES + DEPARTURE_BYTES * departures.size());
    out.putShort(MAGIC)
        .put(VERSION)
        .put((byte) kind.ordinal())
        .putLong(from)
        .putLong(to)
        .putInt(ageMillis)
        .put((byte) part)
        .put((byte) parts)
        .put((byte) departures.size());
    departures.forEach(d -> out.putLong(d.id()).putInt(d.returnedMillisAgo()));
    return out.array();
  }

  /** Parses a datagram; returns null unless every byte is valid. */
  static DepartureMessage decode(byte[] bytes) {
    if (bytes.length < HEADER_BYTES || bytes.length > MAX_BYTES) {
      return null;
    }
    ByteBuffer in = ByteBuffer.wrap(bytes);
    if (in.getShort() != MAGIC || in.get() != VERSION) {
      return null;
    }
    int kind = in.get();
    long from = in.getLong();
    long to = in.getLong();
    int age = in.getInt();
    int part = in.get();
    int parts = in.get();
    int count = in.get();
    boolean valid = kind >= 0
        && kind < Kind.values().length
        && age >= 0
        && part >= 0
        && part < parts
        && parts <= MAX_PARTS
        && count >= 0
        && in.remaining() == count * DEPARTURE_BYTES;
    if (!valid) {
      return null;
    }
    List<Departure> departures = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      departures.add(new Departure(in.getLong(), in.getInt()));
    }
    return new DepartureMessage(Kind.values()[kind], from, to, age, part, parts, departures);
  }
}
