package pumicekeel.lab.program;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import pumicekeel.lab.world.RandomStream;

class LineTest {

  private static final long DELAY = 1_000_000L;
  private static final int WINDOW = 100;

  private final VirtualLoop loop = new VirtualLoop();
  private final Line line = new Line(loop, new RandomStream(1, "line"), DELAY, WINDOW, null, null);

  /** Reads everything that arrives and counts the events that announce buffer space. */
  private static final class Reader implements Line.Listener {
    private final Line.End end;
    private final ByteArrayOutputStream got = new ByteArrayOutputStream();
    private int rooms;

    private Reader(Line.End end) {
      this.end = end;
      end.listener(this);
    }

    @Override
    public void readable() {
      byte[] buffer = new byte[7];
      for (int n = end.read(buffer, 0, 7); n > 0; n = end.read(buffer, 0, 7)) {
        got.write(buffer, 0, n);
      }
    }

    @Override
    public void writable() {
      rooms++;
    }
  }

  private void passes(long millis) {
    loop.runUntil(loop.now() + TimeUnit.MILLISECONDS.toNanos(millis));
  }

  @Test
  void bytesComeInOrderHoweverTheyAreCut() {
    Reader reader = new Reader(line.called);
    Outgoing out = new Outgoing(line.caller);
    line.caller.listener(new Line.Listener() {
      @Override
      public void readable() {
        // The peer sends nothing.
      }

      @Override
      public void writable() {
        out.go();
      }
    });
    byte[] all = Messages.bodyOf("order", 5_000);
    out.add(all);
    passes(1_000);
    assertArrayEquals(all, reader.got.toByteArray());
  }

  @Test
  void whoDoesNotReadStopsTheOther() {
    byte[] much = new byte[3 * WINDOW];
    assertEquals(WINDOW, line.caller.send(much, 0, much.length));
    passes(10);
    assertEquals(0, line.caller.send(much, 0, 1));
    Reader sender = new Reader(line.caller);
    assertEquals(WINDOW, line.called.read(new byte[WINDOW], 0, WINDOW));
    passes(10);
    assertEquals(1, sender.rooms);
  }

  @Test
  void aCloseWithBytesUnreadResetsAndOneWithoutEnds() {
    line.caller.send(new byte[5], 0, 5);
    passes(10);
    line.called.close();
    passes(10);
    assertTrue(line.caller.reset());
    Line other = new Line(loop, new RandomStream(2, "line"), DELAY, WINDOW, null, null);
    other.called.close();
    passes(10);
    assertTrue(other.caller.over());
    assertFalse(other.caller.reset());
    other.caller.send(new byte[1], 0, 1);
    passes(10);
    assertTrue(other.caller.reset(), "bytes that arrive after a close are answered with a reset");
  }

  @Test
  void whatCameBeforeAResetCanStillBeRead() {
    line.caller.send(new byte[] {1, 2, 3}, 0, 3);
    line.caller.abort();
    passes(10);
    assertEquals(3, line.called.unread());
    assertTrue(line.called.reset());
  }

  @Test
  void aMachineThatIsCutOffSaysNothing() {
    line.called.cut(true);
    line.caller.send(new byte[3], 0, 3);
    passes(10_000);
    assertTrue(line.caller.quiet());
    line.called.cut(false);
  }

  @Test
  void twoAtTheSameNanosecondGoInTheOrderInWhichTheyWereSet() {
    List<Integer> ran = new ArrayList<>();
    long when = loop.now() + 5;
    for (int i = 0; i < 10; i++) {
      int n = i;
      loop.at(when, () -> ran.add(n));
    }
    loop.runUntil(when);
    assertEquals(List.of(0, 1, 2, 3, 4, 5, 6, 7, 8, 9), ran);
  }

  @Test
  void aTimerCancelledByTheOneBeforeItDoesNotRun() {
    List<String> ran = new ArrayList<>();
    List<io.netty.util.concurrent.ScheduledFuture<?>> second = new ArrayList<>();
    loop.schedule(
        () -> {
          ran.add("first");
          second.get(0).cancel(false);
        },
        5,
        TimeUnit.NANOSECONDS);
    second.add(loop.schedule(
        () -> {
          ran.add("second");
        },
        5,
        TimeUnit.NANOSECONDS));
    loop.runUntil(loop.now() + 100);
    assertEquals(List.of("first"), ran);
  }

  @Test
  void anHourOfNothingIsNoWork() {
    long before = loop.done();
    passes(TimeUnit.HOURS.toMillis(1));
    assertEquals(before, loop.done());
    assertEquals(0, loop.now() % 1_000_000);
  }

  @Test
  void whatIsHandedInFromOutsideIsDoneAtOnce() throws Exception {
    assertEquals(7, loop.submit(() -> 7).get());
  }
}
