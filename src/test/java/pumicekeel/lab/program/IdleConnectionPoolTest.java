package pumicekeel.lab.program;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import pumicekeel.runtime.Clock;
import pumicekeel.runtime.NioSockets;
import pumicekeel.runtime.Reactor;
import pumicekeel.upstream.http.ConnectionPool;

/** A process may have hundreds of pools, so a pool without idle connections must not cost the event loop anything. */
class IdleConnectionPoolTest {

  private static final long IDLE_NANOS = TimeUnit.SECONDS.toNanos(5);

  @Test
  void poolWithoutIdleConnectionsSchedulesNoTasks() {
    VirtualLoop loop = new VirtualLoop();
    Reactor reactor = new Reactor(loop, new Clock(loop::now, 0), new NioSockets());
    loop.execute(() -> new ConnectionPool(reactor, IDLE_NANOS, IDLE_NANOS, 10));
    long executedBefore = loop.executed();
    loop.runUntil(loop.now() + 100 * IDLE_NANOS);
    assertEquals(executedBefore, loop.executed(), "tasks and timers that ran");
  }
}
