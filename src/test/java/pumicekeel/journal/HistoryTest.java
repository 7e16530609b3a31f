package pumicekeel.journal;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import pumicekeel.Balancer.Status;

/** Reads folders with missing, damaged and copied segments: intact records are used, and each hole is reported. */
class HistoryTest {

  private static final long SALT = 99;

  @TempDir
  private Path folder;

  private static String name(long epoch, int number) {
    return String.format("%016x-%08d.hvj", epoch, number);
  }

  private void write(long epoch, int number, boolean refuses, Entry... entries) throws Exception {
    ByteBuffer out = ByteBuffer.allocate(1 << 16);
    Codec.header(out, new Codec.Header(Codec.VERSION, epoch, number, SALT));
    Codec.frame(out, SALT, new Entry.Boot(epoch, 1, "n0", "b", Durability.HOST, refuses));
    for (Entry e : entries) {
      Codec.frame(out, SALT, e);
    }
    byte[] bytes = new byte[out.flip().limit()];
    out.get(bytes);
    Files.write(folder.resolve(name(epoch, number)), bytes);
  }

  private static Entry[] served(String id, long wall) {
    Entry.Intent i = SegmentTest.intent(id, "k", 0);
    return new Entry[] {
      new Entry.Intent(
          id,
          "k",
          i.className(),
          i.effect(),
          i.scope(),
          i.windowNanos(),
          i.tenant(),
          i.pool(),
          0,
          "s-0",
          i.address(),
          "a",
          3,
          wall,
          1),
      new Entry.Written(id, 0, 2),
      new Entry.Ended(id, 0, Status.SERVED, wall + 1),
      new Entry.Answered(id, Entry.Told.SERVED, wall + 2)
    };
  }

  private History read() throws Exception {
    History history = new History(e -> true);
    history.read(folder);
    return history;
  }

  private static RequestHistory.Verdict verdict(History history, String id) {
    RequestHistory request = history.requests().stream()
        .filter(s -> s.firstIntent().id().equals(id))
        .findFirst()
        .orElseThrow();
    return request.verdict(history.gapFor(request));
  }

  @BeforeEach
  void threeSegments() throws Exception {
    write(100, 0, true, served("r0", 1_000));
    write(100, 1, true, served("r1", 2_000));
    write(100, 2, true, served("r2", 3_000));
  }

  @Test
  void completeFolderHasNoHoles() throws Exception {
    History history = read();
    assertEquals(3, history.requests().size());
    assertTrue(history.holes().isEmpty(), history.holes().toString());
    assertNull(history.anyGap());
    assertEquals(3L, history.kinds().get("Intent"));
  }

  @Test
  void segmentThatIsMissingInTheMiddleIsAHole() throws Exception {
    Files.delete(folder.resolve(name(100, 1)));
    History history = read();
    assertTrue(
        history.holes().get(0).why().contains("segments 1 to 1 of epoch 64 are missing"),
        "" + history.holes());
    assertEquals(RequestHistory.Verdict.ANSWERED, verdict(history, "r0"));
    assertNotNull(history.anyGap());
  }

  @Test
  void segmentsDeletedByRetentionAreNoHoleForLaterOnes() throws Exception {
    Files.delete(folder.resolve(name(100, 0)));
    History history = read();
    assertTrue(history.holes().isEmpty());
    assertEquals(2, history.requests().size());
  }

  @Test
  void emptyAndZeroedSegmentsAreDamageAndTheOthersAreRead() throws Exception {
    Files.write(folder.resolve(name(100, 1)), new byte[0]);
    Files.write(folder.resolve(name(100, 2)), new byte[5_000]);
    History history = read();
    assertEquals(1, history.requests().size());
    assertEquals(2, history.holes().size(), history.holes().toString());
    assertTrue(history.holes().stream().anyMatch(h -> h.length() == 5_000));
  }

  /** A segment copied under another name holds its records twice, which must not change any conclusion. */
  @Test
  void copiedAndRenamedSegmentsAddNothing() throws Exception {
    Files.copy(folder.resolve(name(100, 1)), folder.resolve(name(100, 3)));
    History history = read();
    assertEquals(3, history.requests().size());
    assertEquals(RequestHistory.Verdict.ANSWERED, verdict(history, "r1"));
    Files.move(folder.resolve(name(100, 3)), folder.resolve("copy of it.hvj"));
    assertEquals(RequestHistory.Verdict.ANSWERED, verdict(read(), "r1"));
  }

  @Test
  void segmentOfANewerVersionIsReportedAndMakesTheRestUncertain() throws Exception {
    byte[] bytes = Files.readAllBytes(folder.resolve(name(100, 2)));
    bytes[9] = 9;
    Files.write(folder.resolve(name(100, 2)), bytes);
    History history = read();
    assertEquals(1, history.unreadableFiles().size());
    assertTrue(
        history.unreadableFiles().get(0).why().contains("version 9"),
        history.unreadableFiles().toString());
    assertTrue(history.anyGap().contains("could not be read"));
  }

  @Test
  void idReusedAfterARestartIsAnotherRequest() throws Exception {
    write(200, 0, true, SegmentTest.intent("r0", "other", 0));
    History history = read();
    assertEquals(
        2,
        history.requests().stream()
            .filter(s -> s.firstIntent().id().equals("r0"))
            .count());
    assertEquals(
        List.of(RequestHistory.Verdict.ANSWERED, RequestHistory.Verdict.MAY_HAVE_RUN),
        history.requests().stream()
            .filter(s -> s.firstIntent().id().equals("r0"))
            .map(s -> s.verdict(history.gapFor(s)))
            .toList());
  }

  /** A process that sends without a record while the disk fails and then crashes may have sent requests that are not found. */
  @Test
  void crashOfAProcessThatSendsInTroubleIsAHoleAndItsOrderlyEndIsNot() throws Exception {
    write(200, 0, false, SegmentTest.intent("x", "k", 0));
    assertTrue(read().anyGap().contains("did not end in order"), "" + read().anyGap());
    write(200, 0, false, SegmentTest.intent("x", "k", 0), new Entry.Closed(300));
    assertNull(read().anyGap());
    write(200, 0, false, new Entry.Gap(210, 220, 5), new Entry.Closed(300));
    assertTrue(
        read().anyGap().contains("5 records were lost, requests may have been sent"),
        "" + read().anyGap());
  }

  @Test
  void journalOfARunningProcessIsReadAsFarAsWritten() throws Exception {
    Path file = folder.resolve(name(100, 2));
    byte[] bytes = Files.readAllBytes(file);
    for (int cut = 0; cut < bytes.length; cut += 5) {
      Files.write(file, java.util.Arrays.copyOf(bytes, cut));
      History history = read();
      assertTrue(history.requests().size() >= 2);
      for (RequestHistory request : history.requests()) {
        RequestHistory.Verdict verdict = request.verdict(history.gapFor(request));
        assertTrue(
            verdict != RequestHistory.Verdict.NEVER_LEFT
                && verdict != RequestHistory.Verdict.NOT_TOLD,
            cut + " " + verdict);
      }
    }
  }
}
