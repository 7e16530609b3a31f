package pumicekeel.node;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.HttpMethod;
import java.net.InetSocketAddress;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import pumicekeel.Balancer.DedupScope;
import pumicekeel.Balancer.Effect;
import pumicekeel.Balancer.RequestClass;
import pumicekeel.Balancer.Status;

/** Limits of the pool, and what a send comes to that is over before its first byte. */
class ConnectionPoolTest {

  private static final long LONG = 60_000_000_000L;

  private final EventLoop loop = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
  private final BlockingQueue<Status> outcomes = new LinkedBlockingQueue<>();

  private void attempt(ConnectionPool pool, InetSocketAddress address, boolean maySend) {
    RequestClass type = new RequestClass("look", Effect.SAFE, DedupScope.ALL, LONG, LONG, 0, LONG, 1, 0, false);
    ClientRequest request =
        new ClientRequest("1", type, "acme", "k", LONG, 0, false, HttpMethod.GET, "/look", "h", null, null, new byte[0]);
    loop.execute(() -> new UpstreamAttempt(0, 1, 0, address, pool, (attempt, status, answer) -> outcomes.add(status))
        .start(request, LONG, () -> maySend, new Clock(), loop));
  }

  private Status outcome() throws InterruptedException {
    return outcomes.poll(30, TimeUnit.SECONDS);
  }

  private ConnectionPool pool(long idleNanos, int most) throws Exception {
    return loop.submit(() -> new ConnectionPool(loop, LONG, idleNanos, most)).get();
  }

  @AfterEach
  void stop() {
    loop.shutdownGracefully(0, 0, TimeUnit.SECONDS);
  }

  @Test
  void sendThatIsOverWhenTheConnectionIsUpWritesNothingAndLeavesItForTheNext() throws Exception {
    try (FakeServer upstream = FakeServer.serving("fine")) {
      ConnectionPool pool = pool(LONG, 10);
      attempt(pool, upstream.address(), false);
      assertEquals(Status.NOT_SENT, outcome());
      attempt(pool, upstream.address(), true);
      assertEquals(Status.SERVED, outcome());
      assertEquals(1, upstream.requests.size());
      assertEquals(1, upstream.connections.size());
    }
  }

  @Test
  void idleConnectionIsClosedBeforeTheUpstreamWould() throws Exception {
    try (FakeServer upstream = FakeServer.serving("fine")) {
      attempt(pool(100_000_000L, 10), upstream.address(), true);
      assertEquals(Status.SERVED, outcome());
      TestNode.until(() -> upstream.closedByPeer.get() == 1);
    }
  }

  @Test
  void atTheLimitAnIdleConnectionGivesWayAndABusyOneDoesNot() throws Exception {
    try (FakeServer first = FakeServer.serving("fine"); FakeServer second = new FakeServer((r, c, out) -> {})) {
      ConnectionPool pool = pool(LONG, 1);
      attempt(pool, first.address(), true);
      assertEquals(Status.SERVED, outcome());
      attempt(pool, second.address(), true);
      TestNode.until(() -> first.closedByPeer.get() == 1 && second.requests.size() == 1);
      attempt(pool, first.address(), true);
      assertEquals(Status.CONNECT_FAILED, outcome());
      assertEquals(1, first.requests.size());
    }
  }
}
