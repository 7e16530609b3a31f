package pumicekeel.journal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import pumicekeel.Balancer.DedupScope;
import pumicekeel.Balancer.Effect;
import pumicekeel.Balancer.Status;

/** The segment format: records are read back, and damage is reported and never read as a record. */
class SegmentTest {

  private static final long SALT = 0x1122334455667788L;

  static Entry.Intent intent(String id, String key, int attempt) {
    return new Entry.Intent(
        id,
        key,
        "quote-issue",
        Effect.KEYED,
        DedupScope.CELL,
        2_000_000_000L,
        "acme",
        "quotes",
        attempt,
        "s-" + attempt,
        "127.0.0.1:9000",
        "a",
        3,
        1_000,
        2_000);
  }

  private static List<Entry> records() {
    return List.of(
        new Entry.Boot(1, 2, "n0", "boot", Durability.HOST, true),
        intent("r1", "k1", 0),
        new Entry.Written("r1", 0, 5),
        new Entry.Ended("r1", 0, Status.SERVED, 7),
        new Entry.Answered("r1", Entry.Told.SERVED, 8),
        new Entry.Gap(1, 2, 3),
        intent("r2", null, 1),
        new Entry.Closed(9));
  }

  private static ByteBuffer segment(List<Entry> entries) {
    ByteBuffer out = ByteBuffer.allocate(1 << 16);
    Codec.header(out, new Codec.Header(Codec.VERSION, 77, 0, SALT));
    entries.forEach(e -> Codec.frame(out, SALT, e));
    return out.flip();
  }

  private record Read(List<Entry> entries, List<long[]> damage) {}

  private static Read read(ByteBuffer bytes) throws Exception {
    List<Entry> entries = new ArrayList<>();
    List<long[]> damage = new ArrayList<>();
    SegmentReader.read(bytes, new SegmentReader.Sink() {
      @Override
      public void entry(long offset, Entry entry) {
        entries.add(entry);
      }

      @Override
      public void damage(long offset, long length, boolean atEnd) {
        damage.add(new long[] {offset, length, atEnd ? 1 : 0});
      }
    });
    return new Read(entries, damage);
  }

  private static ByteBuffer copy(ByteBuffer bytes) {
    byte[] copy = new byte[bytes.limit()];
    bytes.get(0, copy);
    return ByteBuffer.wrap(copy);
  }

  @Test
  void eachKindOfRecordIsReadAsItWasWritten() throws Exception {
    Read read = read(segment(records()));
    assertEquals(records(), read.entries());
    assertTrue(read.damage().isEmpty());
  }

  /** A segment truncated at each byte gives the records before the cut, and reports damage unless it is between two records. */
  @Test
  void truncatedSegmentGivesItsIntactRecordsAndReportsTheRest() throws Exception {
    ByteBuffer whole = segment(records());
    for (int cut = 0; cut < whole.limit(); cut++) {
      Read read = read(copy(whole).limit(cut).slice());
      assertEquals(records().subList(0, read.entries().size()), read.entries());
      int end = Codec.HEADER_BYTES;
      for (Entry e : read.entries()) {
        end += segment(List.of(e)).limit() - Codec.HEADER_BYTES;
      }
      boolean between = cut == end;
      assertEquals(between ? 0 : 1, read.damage().size(), "cut at " + cut);
      assertTrue(between || read.damage().get(0)[2] == 1);
    }
  }

  /** A single flipped bit never yields a record that was not written; all other records are read, and the damage is reported. */
  @Test
  void flippedBitCostsOneRecordAtMostAndIsReported() throws Exception {
    ByteBuffer whole = segment(records());
    for (int bit = 0; bit < whole.limit() * 8; bit++) {
      ByteBuffer damaged = copy(whole);
      damaged.put(bit / 8, (byte) (damaged.get(bit / 8) ^ 1 << bit % 8));
      Read read;
      try {
        read = read(damaged);
      } catch (SegmentReader.Unreadable e) {
        assertTrue(
            bit / 8 == 8 || bit / 8 == 9, "only flipped bits of the version change it: " + bit);
        continue;
      }
      assertEquals(1, read.damage().size(), "bit " + bit);
      assertTrue(records().containsAll(read.entries()), "bit " + bit);
      assertTrue(
          bit / 8 < Codec.HEADER_BYTES || read.entries().size() == records().size() - 1,
          "bit " + bit);
    }
  }

  /** A client sends a text that is a complete record: after damage it must not be read as one. */
  @Test
  void recordEmbeddedInATextIsNotReadAsOne() throws Exception {
    for (long guess : new long[] {0, 1, -1}) {
      ByteBuffer planted = ByteBuffer.allocate(256);
      Codec.frame(planted, guess, new Entry.Answered("x", Entry.Told.SERVED, 1));
      planted.flip();
      StringBuilder text = new StringBuilder();
      while (planted.hasRemaining()) {
        text.append((char) (planted.get() & 0x7f));
      }
      ByteBuffer bytes = segment(List.of(intent(text.toString(), "k", 0), new Entry.Closed(1)));
      // The exact bytes in place of the record's payload: stronger than any text that a client
      // could
      // send.
      ByteBuffer exact = copy(bytes);
      Codec.frame(
          exact.position(Codec.HEADER_BYTES + 20),
          guess,
          new Entry.Answered("x", Entry.Told.SERVED, 1));
      Read read = read(exact.clear());
      assertTrue(
          read.entries().stream().noneMatch(e -> e instanceof Entry.Answered),
          read.entries().toString());
      assertEquals(1, read.damage().size());
    }
  }

  @Test
  void newerVersionIsRejectedAndUnknownFieldsAndTypesAreSkipped() throws Exception {
    ByteBuffer newer = copy(segment(records()));
    newer.putShort(8, (short) (Codec.VERSION + 1));
    SegmentReader.Unreadable e = assertThrows(SegmentReader.Unreadable.class, () -> read(newer));
    assertTrue(e.getMessage().contains("got version 2"), e.getMessage());
    ByteBuffer out = ByteBuffer.allocate(4_096);
    Codec.header(out, new Codec.Header(Codec.VERSION, 1, 0, SALT));
    int start = out.position();
    Codec.frame(out, SALT, new Entry.Closed(5));
    // One more field at the end of the record, as a later build of this version may write.
    out.position(out.position() - 4).putLong(99);
    out.putInt(start + 4, 16).putInt(Codec.crc(SALT, out, start, Codec.FRAME_HEAD_BYTES + 16));
    int unknown = out.position();
    Codec.frame(out, SALT, new Entry.Closed(6));
    out.put(unknown + 2, (byte) 99)
        .putInt(out.position() - 4, Codec.crc(SALT, out, unknown, out.position() - 4 - unknown));
    Codec.frame(out, SALT, new Entry.Closed(7));
    Read read = read(out.flip());
    assertEquals(List.of(new Entry.Closed(5), new Entry.Closed(7)), read.entries());
    assertTrue(read.damage().isEmpty());
  }

  @Test
  void noiseHasNoRecordsAndTruncatedTextsStayDistinct() throws Exception {
    long seed = new SplittableRandom().nextLong();
    SplittableRandom random = new SplittableRandom(seed);
    for (int i = 0; i < 500; i++) {
      byte[] noise = new byte[random.nextInt(400)];
      random.nextBytes(noise);
      Read read = read(ByteBuffer.wrap(noise));
      assertTrue(read.entries().isEmpty(), () -> "seed " + seed);
    }
    String one = "\u20ac".repeat(5_000) + "1";
    String two = "\u20ac".repeat(5_000) + "2";
    Read read = read(segment(List.of(intent(one, "k", 0), intent(two, "k", 0))));
    assertEquals(Codec.truncate(one), ((Entry.Intent) read.entries().get(0)).id());
    assertTrue(!Codec.truncate(one).equals(Codec.truncate(two)));
  }
}
