package pumicekeel.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import pumicekeel.Balancer.ListedUpstream;
import pumicekeel.Balancer.State;
import pumicekeel.discovery.HostTable.Changes;

/** What updates of a list change. */
class HostTableTest {

  private static final long START = 5_000_000_000L;

  private final HostTable table = new HostTable();

  private static HostList.Host host(long id, State state, long started) {
    return new HostList.Host(
        new InetSocketAddress(1), new ListedUpstream(id, "a", 0, state, started, 1));
  }

  private Changes merge(long index, boolean snapshot, HostList.Host... hosts) {
    return table.merge(new HostList(index, snapshot, Stream.of(hosts).toList()));
  }

  /** Guards against a departure that is told to nobody: the upstream joined and began to drain while this process was down. */
  @Test
  void upstreamThatIsFirstSeenLeavingHasDeparted() {
    merge(41, true, host(1, State.READY, 0));
    Changes changes = merge(43, true, host(1, State.READY, 0), host(2, State.DRAINING, 0));
    assertEquals(new Changes(Set.of(2L), Set.of()), changes);
    assertEquals(new Changes(Set.of(3L), Set.of()), merge(44, false, host(3, State.GONE, 0)));
    assertEquals(
        new Changes(Set.of(), Set.of()), merge(45, false, host(2, State.GONE, 0)), "told before");
  }

  @Test
  void upstreamLeftOutOfASnapshotHasDeparted() {
    merge(41, true, host(1, State.READY, 0), host(2, State.READY, 0));
    assertEquals(new Changes(Set.of(2L), Set.of()), merge(42, true, host(1, State.READY, 0)));
    assertEquals(
        List.of(1L), table.all().stream().map(h -> h.listed().upstream()).toList());
  }

  @Test
  void upstreamThatStartedAnewWasAwayAndIsBack() {
    merge(41, true, host(1, State.READY, START));
    assertEquals(
        new Changes(Set.of(1L), Set.of(1L)), merge(42, false, host(1, State.READY, 2 * START)));
  }
}
