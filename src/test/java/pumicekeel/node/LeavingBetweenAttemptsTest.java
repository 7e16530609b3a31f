package pumicekeel.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.locks.LockSupport;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import pumicekeel.runtime.Clock;
import pumicekeel.runtime.Reactor;

/** Clients that leave after a first attempt, or while a kept connection rests: no attempt of theirs begins any more. */
class LeavingBetweenAttemptsTest {

  private static final long LEFT_MILLIS = 50_000;
  /** An attempt may still begin so long after its client has gone. */
  private static final long SEEN_LATE_NANOS = 100_000_000L;

  /** Requests one behind the other, after which a rest that had begun before them is surely over. */
  private static final int RESTS = 5;

  /** How a client ends its connection. */
  enum Leaving {
    CLOSE,
    RESET,
    HALF_CLOSE;

    void leave(TestClient client) throws IOException {
      switch (this) {
        case CLOSE -> client.close();
        case RESET -> client.reset();
        case HALF_CLOSE -> client.halfClose();
      }
    }
  }

  /** An upstream that leaves the requests of clients that leave unanswered, and breaks their connection when it is told to. */
  private static final class Breaking implements FakeServer.Behaviour {
    private final CountDownLatch breaks = new CountDownLatch(1);
    private final AtomicBoolean broke = new AtomicBoolean();

    @Override
    public void answer(String request, Socket connection, java.io.OutputStream out)
        throws Exception {
      if (request.contains(": leaves") && broke.compareAndSet(false, true)) {
        breaks.await();
        connection.setSoLinger(true, 0);
        connection.close();
      } else {
        FakeServer.write(out, FakeServer.ok("fine"));
      }
    }
  }

  private static String configuration(boolean mayCancel, FakeServer upstream) {
    return TestNode.json(TestNode.nowhere(), 3, upstream)
        .replace("\"cancel\":true", "\"cancel\":" + mayCancel);
  }

  private static long attemptsOf(FakeServer upstream, String id) {
    return upstream.requests.stream().filter(r -> r.contains(": " + id + "\n")).count();
  }

  /** A later client is served, by which time whatever was to follow the break would have been sent. */
  private static void laterClientIsServed(TestNode node, FakeServer upstream) throws Exception {
    try (TestClient stays = new TestClient(node.address)) {
      assertEquals(200, stays.call(TestClient.look("stays", LEFT_MILLIS, "")).status());
    }
    node.pass();
    assertEquals(1, attemptsOf(upstream, "leaves"), () -> "sent on: " + upstream.requests);
  }

  @ParameterizedTest
  @CsvSource({
    "CLOSE,true",
    "CLOSE,false",
    "RESET,true",
    "RESET,false",
    "HALF_CLOSE,true",
    "HALF_CLOSE,false"
  })
  void leftBeforeItsFirstAttemptBreaks(Leaving how, boolean mayCancel) throws Exception {
    Breaking breaking = new Breaking();
    try (FakeServer upstream = new FakeServer(breaking)) {
      TestNode node = new TestNode(configuration(mayCancel, upstream));
      try (TestClient leaves = new TestClient(node.address)) {
        leaves.send(TestClient.look("leaves", LEFT_MILLIS, ""));
        TestNode.until(() -> attemptsOf(upstream, "leaves") == 1);
        how.leave(leaves);
        TestNode.until(() -> node.node.listeners().platform().openConnections() == 0);
        breaking.breaks.countDown();
        laterClientIsServed(node, upstream);
      }
    }
  }

  /** The break and the client's end stand side by side when the loop reads again. */
  @ParameterizedTest
  @EnumSource(Leaving.class)
  void leftWhileTheLoopStoodStillAndItsAttemptBroke(Leaving how) throws Exception {
    Breaking breaking = new Breaking();
    try (FakeServer upstream = new FakeServer(breaking)) {
      TestNode node = new TestNode(configuration(false, upstream));
      try (TestClient leaves = new TestClient(node.address)) {
        leaves.send(TestClient.look("leaves", LEFT_MILLIS, ""));
        TestNode.until(() -> attemptsOf(upstream, "leaves") == 1);
        CountDownLatch goesOn = node.standStill();
        breaking.breaks.countDown();
        TestNode.until(() -> upstream.closedByPeer.get() == 1);
        how.leave(leaves);
        goesOn.countDown();
        laterClientIsServed(node, upstream);
      }
    }
  }

  /** So much stands behind its request that its end is not read at once. */
  @ParameterizedTest
  @ValueSource(ints = {100, 4_000, 20_000})
  void leftBehindSoManyMoreRequestsBeforeItsAttemptBreaks(int behind) throws Exception {
    Breaking breaking = new Breaking();
    try (FakeServer upstream = new FakeServer(breaking)) {
      TestNode node = new TestNode(configuration(false, upstream));
      try (TestClient leaves = new TestClient(node.address)) {
        leaves.send(TestClient.look("leaves", LEFT_MILLIS, ""));
        TestNode.until(() -> attemptsOf(upstream, "leaves") == 1);
        leaves.send(TestClient.look("behind", LEFT_MILLIS, "").repeat(behind));
      }
      long left = System.nanoTime();
      LockSupport.parkNanos(SEEN_LATE_NANOS);
      TestNode.until(() -> System.nanoTime() - left > SEEN_LATE_NANOS);
      breaking.breaks.countDown();
      laterClientIsServed(node, upstream);
    }
  }

  /** A clock that stands still, so that a kept connection rests for as long as a test wants. */
  private static final class StandingClock {
    private volatile long passed;
    private volatile long from = System.nanoTime();
    private volatile boolean stands;

    private long now() {
      return stands ? passed : passed + System.nanoTime() - from;
    }

    private void stand(boolean on) {
      passed = now();
      from = System.nanoTime();
      stands = on;
    }
  }

  @ParameterizedTest
  @CsvSource({"CLOSE,true", "CLOSE,false", "RESET,false", "HALF_CLOSE,false"})
  void leftWhileAKeptConnectionRests(Leaving how, boolean mayCancel) throws Exception {
    StandingClock clock = new StandingClock();
    Reactor system = Reactor.start();
    try (FakeServer upstream = FakeServer.serving("fine")) {
      TestNode node = new TestNode(
          configuration(mayCancel, upstream),
          new Reactor(
              system.loop(), new Clock(clock::now, System.currentTimeMillis()), system.sockets()));
      try (TestClient first = new TestClient(node.address);
          TestClient leaves = new TestClient(node.address)) {
        node.pass();
        // Stands before the answer comes: the rest counts from then.
        upstream.behaviour = (request, connection, out) -> {
          clock.stand(true);
          FakeServer.write(out, FakeServer.ok("fine"));
        };
        assertEquals(200, first.call(TestClient.look("first", LEFT_MILLIS, "")).status());
        upstream.behaviour =
            (request, connection, out) -> FakeServer.write(out, FakeServer.ok("fine"));
        leaves.send(TestClient.look("leaves", LEFT_MILLIS, ""));
        node.pass();
        how.leave(leaves);
        TestNode.until(() -> node.node.listeners().platform().openConnections() == 1);
        clock.stand(false);
        // Each of these waits for the rest of the connection before it, or for the one that was
        // kept.
        for (int i = 0; i < RESTS; i++) {
          assertEquals(
              200, first.call(TestClient.look("again" + i, LEFT_MILLIS, "")).status());
        }
        node.pass();
        assertEquals(0, attemptsOf(upstream, "leaves"), () -> "sent on: " + upstream.requests);
      }
    }
  }

  /** What a half-close means here: the client has gone, so nothing is owed on its connection, which ends. */
  @Test
  void halfCloseOverHttpIsTheClientsEnd() throws Exception {
    try (FakeServer upstream = new FakeServer((request, connection, out) -> {})) {
      TestNode node = new TestNode(configuration(true, upstream));
      try (TestClient leaves = new TestClient(node.address)) {
        leaves.send(TestClient.look("leaves", LEFT_MILLIS, ""));
        TestNode.until(() -> attemptsOf(upstream, "leaves") == 1);
        leaves.halfClose();
        assertTrue(leaves.ended(), "closed with no answer");
        TestNode.until(() -> upstream.closedByPeer.get() == 1);
      }
    }
  }
}
