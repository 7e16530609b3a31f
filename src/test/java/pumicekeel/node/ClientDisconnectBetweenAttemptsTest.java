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

/** Clients that disconnect after a first attempt, or while an upstream connection is held back: no further attempt begins. */
class ClientDisconnectBetweenAttemptsTest {

  private static final long LEFT_MILLIS = 50_000;
  /** An attempt may still begin this long after its client has disconnected. */
  private static final long NOTICED_WITHIN_NANOS = 100_000_000L;

  /** Sequential requests after which a hold that began before them has surely ended. */
  private static final int HOLDS = 5;

  /** How a client ends its connection. */
  enum Disconnect {
    CLOSE,
    RESET,
    HALF_CLOSE;

    void apply(TestClient client) throws IOException {
      switch (this) {
        case CLOSE -> client.close();
        case RESET -> client.reset();
        case HALF_CLOSE -> client.halfClose();
      }
    }
  }

  /** An upstream that does not answer requests of disconnecting clients and resets the connection of the first when told to. */
  private static final class ResettingUpstream implements FakeServer.Behaviour {
    private final CountDownLatch reset = new CountDownLatch(1);
    private final AtomicBoolean wasReset = new AtomicBoolean();

    @Override
    public void answer(String request, Socket connection, java.io.OutputStream out)
        throws Exception {
      if (request.contains(": leaves") && wasReset.compareAndSet(false, true)) {
        reset.await();
        connection.setSoLinger(true, 0);
        connection.close();
      } else {
        FakeServer.write(out, FakeServer.ok("fine"));
      }
    }
  }

  private static String configuration(boolean mayCancel, FakeServer upstream) {
    return TestNode.json(TestNode.unusedAddress(), 3, upstream)
        .replace("\"cancel\":true", "\"cancel\":" + mayCancel);
  }

  private static long attemptsOf(FakeServer upstream, String id) {
    return upstream.requests.stream().filter(r -> r.contains(": " + id + "\n")).count();
  }

  /** Serves a later client, by which time any attempt after the reset would have been sent. */
  private static void assertOnlyALaterClientIsServed(TestNode node, FakeServer upstream)
      throws Exception {
    try (TestClient stays = new TestClient(node.address)) {
      assertEquals(200, stays.call(TestClient.look("stays", LEFT_MILLIS, "")).status());
    }
    node.awaitLoopPass();
    assertEquals(1, attemptsOf(upstream, "leaves"), () -> "forwarded: " + upstream.requests);
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
  void disconnectBeforeTheFirstAttemptIsReset(Disconnect how, boolean mayCancel) throws Exception {
    ResettingUpstream resetting = new ResettingUpstream();
    try (FakeServer upstream = new FakeServer(resetting)) {
      TestNode node = new TestNode(configuration(mayCancel, upstream));
      try (TestClient leaves = new TestClient(node.address)) {
        leaves.send(TestClient.look("leaves", LEFT_MILLIS, ""));
        TestNode.until(() -> attemptsOf(upstream, "leaves") == 1);
        how.apply(leaves);
        TestNode.until(() -> node.node.listeners().platform().openConnections() == 0);
        resetting.reset.countDown();
        assertOnlyALaterClientIsServed(node, upstream);
      }
    }
  }

  /** The reset and the client's disconnect are both pending when the loop reads again. */
  @ParameterizedTest
  @EnumSource(Disconnect.class)
  void disconnectAndResetWhileTheLoopIsStalled(Disconnect how) throws Exception {
    ResettingUpstream resetting = new ResettingUpstream();
    try (FakeServer upstream = new FakeServer(resetting)) {
      TestNode node = new TestNode(configuration(false, upstream));
      try (TestClient leaves = new TestClient(node.address)) {
        leaves.send(TestClient.look("leaves", LEFT_MILLIS, ""));
        TestNode.until(() -> attemptsOf(upstream, "leaves") == 1);
        CountDownLatch resume = node.stallLoop();
        resetting.reset.countDown();
        TestNode.until(() -> upstream.closedByPeer.get() == 1);
        how.apply(leaves);
        resume.countDown();
        assertOnlyALaterClientIsServed(node, upstream);
      }
    }
  }

  /** So much data follows the request that the end of the connection is not read at once. */
  @ParameterizedTest
  @ValueSource(ints = {100, 4_000, 20_000})
  void disconnectBehindFurtherRequestsBeforeTheAttemptIsReset(int behind) throws Exception {
    ResettingUpstream resetting = new ResettingUpstream();
    try (FakeServer upstream = new FakeServer(resetting)) {
      TestNode node = new TestNode(configuration(false, upstream));
      try (TestClient leaves = new TestClient(node.address)) {
        leaves.send(TestClient.look("leaves", LEFT_MILLIS, ""));
        TestNode.until(() -> attemptsOf(upstream, "leaves") == 1);
        leaves.send(TestClient.look("behind", LEFT_MILLIS, "").repeat(behind));
      }
      long leftAt = System.nanoTime();
      LockSupport.parkNanos(NOTICED_WITHIN_NANOS);
      TestNode.until(() -> System.nanoTime() - leftAt > NOTICED_WITHIN_NANOS);
      resetting.reset.countDown();
      assertOnlyALaterClientIsServed(node, upstream);
    }
  }

  /** A clock that can be stopped, so that an upstream connection is held back for as long as a test wants. */
  private static final class StoppableClock {
    private volatile long passed;
    private volatile long startedAt = System.nanoTime();
    private volatile boolean stopped;

    private long now() {
      return stopped ? passed : passed + System.nanoTime() - startedAt;
    }

    private void setStopped(boolean stop) {
      passed = now();
      startedAt = System.nanoTime();
      stopped = stop;
    }
  }

  @ParameterizedTest
  @CsvSource({"CLOSE,true", "CLOSE,false", "RESET,false", "HALF_CLOSE,false"})
  void disconnectWhileAnIdleUpstreamConnectionIsHeldBack(Disconnect how, boolean mayCancel)
      throws Exception {
    StoppableClock clock = new StoppableClock();
    Reactor system = Reactor.start();
    try (FakeServer upstream = FakeServer.serving("fine")) {
      TestNode node = new TestNode(
          configuration(mayCancel, upstream),
          new Reactor(
              system.loop(), new Clock(clock::now, System.currentTimeMillis()), system.sockets()));
      try (TestClient first = new TestClient(node.address);
          TestClient leaves = new TestClient(node.address)) {
        node.awaitLoopPass();
        // Stopped before the answer arrives: the hold counts from then.
        upstream.behaviour = (request, connection, out) -> {
          clock.setStopped(true);
          FakeServer.write(out, FakeServer.ok("fine"));
        };
        assertEquals(200, first.call(TestClient.look("first", LEFT_MILLIS, "")).status());
        upstream.behaviour =
            (request, connection, out) -> FakeServer.write(out, FakeServer.ok("fine"));
        leaves.send(TestClient.look("leaves", LEFT_MILLIS, ""));
        node.awaitLoopPass();
        how.apply(leaves);
        TestNode.until(() -> node.node.listeners().platform().openConnections() == 1);
        clock.setStopped(false);
        // Each of these waits for the hold of the connection used before, or for that of the idle
        // connection.
        for (int i = 0; i < HOLDS; i++) {
          assertEquals(
              200, first.call(TestClient.look("again" + i, LEFT_MILLIS, "")).status());
        }
        node.awaitLoopPass();
        assertEquals(0, attemptsOf(upstream, "leaves"), () -> "forwarded: " + upstream.requests);
      }
    }
  }

  /** A half-close over HTTP counts as a disconnect: nothing more is sent, and the connection is closed. */
  @Test
  void halfCloseOverHttpIsADisconnect() throws Exception {
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
