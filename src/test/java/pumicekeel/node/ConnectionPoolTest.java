package pumicekeel.node;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.HttpMethod;
import java.net.InetSocketAddress;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import pumicekeel.Balancer.DedupScope;
import pumicekeel.Balancer.Effect;
import pumicekeel.Balancer.RequestClass;
import pumicekeel.Balancer.Status;
import pumicekeel.call.ClientRequest;
import pumicekeel.call.Payload;
import pumicekeel.runtime.Clock;
import pumicekeel.runtime.NioSockets;
import pumicekeel.runtime.Reactor;
import pumicekeel.upstream.UpstreamAttempt;
import pumicekeel.upstream.http.ConnectionPool;
import pumicekeel.upstream.http.UpstreamPool;

/** Limits of the connection pool, and the outcome of a send that is cancelled before its first byte. */
class ConnectionPoolTest {

  private static final long LONG_NANOS = 60_000_000_000L;

  private final EventLoop loop =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
  private final BlockingQueue<Status> outcomes = new LinkedBlockingQueue<>();

  private void send(
      UpstreamPool pool, String id, boolean maySend, UpstreamAttempt.Observer ending) {
    send(pool, id, maySend, LONG_NANOS, ending);
  }

  private void send(
      UpstreamPool pool, String id, boolean maySend, long nanos, UpstreamAttempt.Observer ending) {
    RequestClass type = new RequestClass(
        "look", Effect.SAFE, DedupScope.ALL, LONG_NANOS, LONG_NANOS, 0, LONG_NANOS, 1, 0, false);
    ClientRequest request = new ClientRequest(
        id,
        type,
        "acme",
        "k",
        LONG_NANOS,
        0,
        false,
        new Payload.Http(HttpMethod.GET, "/look", "h", null, new byte[0]),
        null);
    pool.attempt(0, 1, 0, ending).start(request, nanos, nanos, () -> maySend, new Clock(), loop);
  }

  private void attempt(UpstreamPool pool, boolean maySend) {
    loop.execute(() -> send(pool, "1", maySend, (attempt, status, answer) -> outcomes.add(status)));
  }

  private Status outcome() throws InterruptedException {
    return outcomes.poll(30, TimeUnit.SECONDS);
  }

  private ConnectionPool pool(long idleNanos, int limit) throws Exception {
    return loop.submit(() -> new ConnectionPool(Reactor.of(loop), LONG_NANOS, idleNanos, limit))
        .get();
  }

  @Test
  void duplicateAnswerInTheSameReadIsNotTheNextRequestsAnswer() throws Exception {
    // The next send starts inside the callback of the first one's outcome, as with a module that
    // holds a request.
    try (FakeServer upstream = new FakeServer((request, connection, out) -> {
      String answer = FakeServer.ok(request.contains("X-Correlation-Id: 1\n") ? "mine" : "next");
      FakeServer.write(out, answer + answer);
    })) {
      UpstreamPool pool = of(pool(LONG_NANOS, 10), upstream.address());
      BlockingQueue<String> bodies = new LinkedBlockingQueue<>();
      loop.execute(() -> send(pool, "1", true, (first, status, answer) -> {
        bodies.add(new String(answer.body()));
        send(pool, "2", true, (second, status2, answer2) -> bodies.add(new String(answer2.body())));
      }));
      assertEquals("mine", bodies.poll(30, TimeUnit.SECONDS));
      assertEquals("next", bodies.poll(30, TimeUnit.SECONDS));
    }
  }

  /** There is nothing to pass on of an error, and its end must not wait for its body. */
  @Test
  void errorWhoseBodyTricklesEndsWithItsClientsTime() throws Exception {
    try (FakeServer upstream = new FakeServer((request, connection, out) -> {
      FakeServer.write(out, "HTTP/1.1 500 E\r\nContent-Length: 100000\r\n\r\n");
      while (true) {
        FakeServer.write(out, "x");
        Thread.sleep(50);
      }
    })) {
      UpstreamPool pool = of(pool(LONG_NANOS, 10), upstream.address());
      long nanos = TimeUnit.MILLISECONDS.toNanos(500);
      loop.execute(
          () -> send(pool, "1", true, nanos, (attempt, status, answer) -> outcomes.add(status)));
      assertEquals(Status.ERROR, outcome());
    }
  }

  /** The second copy arrives some milliseconds after the answer, when the next request would have been written. */
  @Test
  void delayedDuplicateAnswerIsNotTheNextRequestsAnswer() throws Exception {
    CountDownLatch sendDuplicate = new CountDownLatch(1);
    CountDownLatch duplicateSent = new CountDownLatch(1);
    try (FakeServer upstream = new FakeServer((request, connection, out) -> {
      if (request.contains("X-Correlation-Id: 1\n")) {
        FakeServer.write(out, FakeServer.ok("mine"));
        sendDuplicate.await();
        FakeServer.write(out, FakeServer.ok("mine"));
        duplicateSent.countDown();
      } else {
        FakeServer.write(out, FakeServer.ok("next"));
      }
    })) {
      // A stopped clock: a connection is held back from reuse until the test advances the time.
      AtomicLong time = new AtomicLong(LONG_NANOS);
      UpstreamPool pool = of(poolWithClock(time), upstream.address());
      BlockingQueue<String> bodies = new LinkedBlockingQueue<>();
      loop.execute(() ->
          send(pool, "1", true, (first, status, answer) -> bodies.add(new String(answer.body()))));
      assertEquals("mine", bodies.poll(30, TimeUnit.SECONDS));
      loop.submit(() -> send(
              pool, "2", true, (second, status, answer) -> bodies.add(new String(answer.body()))))
          .get();
      sendDuplicate.countDown();
      duplicateSent.await();
      time.addAndGet(LONG_NANOS / 2);
      assertEquals("next", bodies.poll(30, TimeUnit.SECONDS));
      assertEquals(2, upstream.connections.size());
    }
  }

  /** Returns a pool whose clock the test controls. */
  private ConnectionPool poolWithClock(AtomicLong time) throws Exception {
    Reactor reactor = new Reactor(loop, new Clock(time::get, 1), new NioSockets());
    return loop.submit(() -> new ConnectionPool(reactor, LONG_NANOS, LONG_NANOS, 10))
        .get();
  }

  private UpstreamPool of(ConnectionPool pool, InetSocketAddress address) throws Exception {
    return loop.submit(() -> pool.of(address)).get();
  }

  @AfterEach
  void stop() {
    loop.shutdownGracefully(0, 0, TimeUnit.SECONDS);
  }

  @Test
  void sendCancelledDuringTheConnectWritesNothingAndLeavesTheConnectionToTheNext()
      throws Exception {
    try (FakeServer upstream = FakeServer.serving("fine")) {
      UpstreamPool pool = of(pool(LONG_NANOS, 10), upstream.address());
      attempt(pool, false);
      assertEquals(Status.NOT_SENT, outcome());
      attempt(pool, true);
      assertEquals(Status.SERVED, outcome());
      assertEquals(1, upstream.requests.size());
      assertEquals(1, upstream.connections.size());
    }
  }

  @Test
  void idleConnectionIsClosedBeforeTheUpstreamClosesIt() throws Exception {
    try (FakeServer upstream = FakeServer.serving("fine")) {
      attempt(of(pool(100_000_000L, 10), upstream.address()), true);
      assertEquals(Status.SERVED, outcome());
      TestNode.until(() -> upstream.closedByPeer.get() == 1);
    }
  }

  @Test
  void brokenIdleConnectionClosesThoseIdleForLonger() throws Exception {
    AtomicInteger waiting = new AtomicInteger();
    try (FakeServer upstream = new FakeServer((request, connection, out) -> {
      if (request.contains("X-Correlation-Id: break\n")) {
        connection.setSoLinger(true, 0);
        connection.close();
        return;
      }
      waiting.incrementAndGet();
      TestNode.until(() -> waiting.get() == 3);
      FakeServer.write(out, FakeServer.ok("fine"));
    })) {
      AtomicLong time = new AtomicLong(LONG_NANOS);
      UpstreamPool pool = of(poolWithClock(time), upstream.address());
      for (int i = 0; i < 3; i++) {
        attempt(pool, true);
      }
      for (int i = 0; i < 3; i++) {
        assertEquals(Status.SERVED, outcome());
      }
      // All may be reused, so that the one used last is chosen first.
      time.addAndGet(LONG_NANOS / 4);
      loop.execute(
          () -> send(pool, "break", true, (attempt, status, answer) -> outcomes.add(status)));
      assertEquals(Status.RESET, outcome());
      TestNode.until(() -> upstream.closedByPeer.get() == 3);
    }
  }

  @Test
  void atTheLimitAnIdleConnectionIsClosedAndABusyOneIsNot() throws Exception {
    try (FakeServer first = FakeServer.serving("fine");
        FakeServer second = new FakeServer((r, c, out) -> {})) {
      ConnectionPool pool = pool(LONG_NANOS, 1);
      UpstreamPool toFirst = of(pool, first.address());
      attempt(toFirst, true);
      assertEquals(Status.SERVED, outcome());
      attempt(of(pool, second.address()), true);
      TestNode.until(() -> first.closedByPeer.get() == 1 && second.requests.size() == 1);
      attempt(toFirst, true);
      assertEquals(Status.CONNECT_FAILED, outcome());
      assertEquals(1, first.requests.size());
    }
  }
}
