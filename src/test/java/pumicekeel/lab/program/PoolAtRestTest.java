package pumicekeel.lab.program;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import pumicekeel.runtime.Clock;
import pumicekeel.runtime.NioSockets;
import pumicekeel.runtime.Reactor;
import pumicekeel.upstream.http.ConnectionPool;

/** A process may have hundreds of pools, so a pool without idle connections must not cost the event loop anything. */
class PoolAtRestTest {

  private static final long IDLE_NANOS = TimeUnit.SECONDS.toNanos(5);

  @Test
  void poolWithoutIdleConnectionsWakesNobody() {
    VirtualLoop loop = new VirtualLoop();
    Reactor on = new Reactor(loop, new Clock(loop::now, 0), new NioSockets());
    loop.execute(() -> new ConnectionPool(on, IDLE_NANOS, IDLE_NANOS, 10));
    long before = loop.done();
    loop.runUntil(loop.now() + 100 * IDLE_NANOS);
    assertEquals(before, loop.done(), "tasks and timers that ran");
  }
}
