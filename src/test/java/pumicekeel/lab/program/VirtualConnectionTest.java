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

class VirtualConnectionTest {

  private static final long DELAY_NANOS = 1_000_000L;
  private static final int WINDOW_BYTES = 100;

  private final VirtualLoop loop = new VirtualLoop();
  private final VirtualConnection connection = new VirtualConnection(
      loop, new RandomStream(1, "line"), DELAY_NANOS, WINDOW_BYTES, null, null);

  /** Reads everything that arrives and counts the events that announce buffer space. */
  private static final class Reader implements VirtualConnection.Listener {
    private final VirtualConnection.Endpoint endpoint;
    private final ByteArrayOutputStream received = new ByteArrayOutputStream();
    private int writableEvents;

    private Reader(VirtualConnection.Endpoint endpoint) {
      this.endpoint = endpoint;
      endpoint.listener(this);
    }

    @Override
    public void readable() {
      byte[] buffer = new byte[7];
      for (int n = endpoint.read(buffer, 0, 7); n > 0; n = endpoint.read(buffer, 0, 7)) {
        received.write(buffer, 0, n);
      }
    }

    @Override
    public void writable() {
      writableEvents++;
    }
  }

  private void advanceMillis(long millis) {
    loop.runUntil(loop.now() + TimeUnit.MILLISECONDS.toNanos(millis));
  }

  @Test
  void bytesArriveInOrderWhenSegmentsAreSplit() {
    Reader reader = new Reader(connection.server);
    SendQueue sendQueue = new SendQueue(connection.client);
    connection.client.listener(new VirtualConnection.Listener() {
      @Override
      public void readable() {
        // The peer sends nothing.
      }

      @Override
      public void writable() {
        sendQueue.flush();
      }
    });
    byte[] all = HttpMessageReader.bodyOf("order", 5_000);
    sendQueue.send(all);
    advanceMillis(1_000);
    assertArrayEquals(all, reader.received.toByteArray());
  }

  @Test
  void fullReceiveWindowBlocksTheSender() {
    byte[] bytes = new byte[3 * WINDOW_BYTES];
    assertEquals(WINDOW_BYTES, connection.client.send(bytes, 0, bytes.length));
    advanceMillis(10);
    assertEquals(0, connection.client.send(bytes, 0, 1));
    Reader sender = new Reader(connection.client);
    assertEquals(WINDOW_BYTES, connection.server.read(new byte[WINDOW_BYTES], 0, WINDOW_BYTES));
    advanceMillis(10);
    assertEquals(1, sender.writableEvents);
  }

  @Test
  void closeWithUnreadBytesResetsAndCloseWithoutEndsTheStream() {
    connection.client.send(new byte[5], 0, 5);
    advanceMillis(10);
    connection.server.close();
    advanceMillis(10);
    assertTrue(connection.client.isReset());
    VirtualConnection other = new VirtualConnection(
        loop, new RandomStream(2, "line"), DELAY_NANOS, WINDOW_BYTES, null, null);
    other.server.close();
    advanceMillis(10);
    assertTrue(other.client.isInputOver());
    assertFalse(other.client.isReset());
    other.client.send(new byte[1], 0, 1);
    advanceMillis(10);
    assertTrue(other.client.isReset(), "bytes that arrive after a close are answered with a reset");
  }

  @Test
  void bytesReceivedBeforeAResetCanStillBeRead() {
    connection.client.send(new byte[] {1, 2, 3}, 0, 3);
    connection.client.abort();
    advanceMillis(10);
    assertEquals(3, connection.server.unreadBytes());
    assertTrue(connection.server.isReset());
  }

  @Test
  void isolatedMachineSendsNoReply() {
    connection.server.setIsolated(true);
    connection.client.send(new byte[3], 0, 3);
    advanceMillis(10_000);
    assertTrue(connection.client.isQuiet());
    connection.server.setIsolated(false);
  }

  @Test
  void timersOfTheSameTimeRunInOrderOfSubmission() {
    List<Integer> ran = new ArrayList<>();
    long dueNanos = loop.now() + 5;
    for (int i = 0; i < 10; i++) {
      int index = i;
      loop.runAt(dueNanos, () -> ran.add(index));
    }
    loop.runUntil(dueNanos);
    assertEquals(List.of(0, 1, 2, 3, 4, 5, 6, 7, 8, 9), ran);
  }

  @Test
  void timerCancelledByAnEarlierTimerDoesNotRun() {
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
  void idleHourExecutesNoTasks() {
    long before = loop.executed();
    advanceMillis(TimeUnit.HOURS.toMillis(1));
    assertEquals(before, loop.executed());
    assertEquals(0, loop.now() % 1_000_000);
  }

  @Test
  void taskSubmittedFromOutsideRunsBeforeTheCallReturns() throws Exception {
    assertEquals(7, loop.submit(() -> 7).get());
  }
}
