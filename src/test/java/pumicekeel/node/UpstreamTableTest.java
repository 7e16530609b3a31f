package pumicekeel.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import pumicekeel.Balancer.ListedUpstream;
import pumicekeel.Balancer.State;
import pumicekeel.discovery.HostList;
import pumicekeel.runtime.Reactor;
import pumicekeel.upstream.UpstreamTable;
import pumicekeel.upstream.http.ConnectionPool;
import pumicekeel.upstream.http.UpstreamPool;

/** The state kept of upstreams while instances are continually replaced. */
class UpstreamTableTest {

  private final EventLoop loop =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
  private final UpstreamTable table =
      new UpstreamTable(new ConnectionPool(Reactor.of(loop), 1_000_000_000L, 60_000_000_000L, 10));

  private static HostList.Host host(long id, State state) {
    return new HostList.Host(TestNode.unusedAddress(), new ListedUpstream(id, "a", 1, state, 0, 1));
  }

  @AfterEach
  void stop() {
    loop.shutdownGracefully(0, 0, TimeUnit.SECONDS);
  }

  @Test
  void thousandReplacedUpstreamsLeaveNothingBehind() {
    table.applyList(true, List.of(host(0, State.READY)));
    for (int id = 1; id <= 1_000; id++) {
      table.applyList(false, List.of(host(id, State.READY), host(id - 1, State.DRAINING)));
      table.applyList(false, List.of(host(id - 1, State.GONE)));
    }
    assertEquals(1, table.size());
    assertNotNull(table.get(1_000));
  }

  @Test
  void removedUpstreamIsKeptWhileAnAttemptIsInFlight() {
    table.applyList(true, List.of(host(1, State.READY), host(2, State.READY)));
    UpstreamTable.Entry first = table.get(1);
    table.attemptStarted(first);
    table.applyList(true, List.of(host(2, State.READY)));
    assertSame(first, table.get(1));
    assertTrue(first.leaving(), "absent from a snapshot");
    table.attemptEnded(first);
    assertNull(table.get(1));
    assertTrue(first.leaving(), "a send that is still pending may query it");
  }

  @Test
  void successorAtTheSameAddressInheritsNoState() {
    table.applyList(true, List.of(host(1, State.READY)));
    table.applyList(false, List.of(host(1, State.DRAINING)));
    UpstreamPool before = (UpstreamPool) table.get(1).link();
    table.applyList(false, List.of(host(2, State.READY)));
    UpstreamPool after = (UpstreamPool) table.get(2).link();
    assertEquals(before.address(), after.address());
    assertFalse(before == after);
    assertFalse(table.get(2).leaving());
    assertTrue(table.get(1).leaving());
  }

  @Test
  void upstreamThatIsReadyAgainIsNoLongerLeaving() {
    table.applyList(true, List.of(host(1, State.READY)));
    table.applyList(false, List.of(host(1, State.DRAINING)));
    table.applyList(false, List.of(host(1, State.GONE)));
    table.applyList(false, List.of(host(1, State.READY)));
    assertFalse(table.get(1).leaving());
  }
}
