package pumicekeel.pool;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Set;
import org.junit.jupiter.api.Test;
import pumicekeel.Balancer.ListedUpstream;
import pumicekeel.Balancer.State;

/** One machine in several pools, and several machines under one id. */
class SharedUpstreamsTest {

  private final SharedUpstreams<String> shared = new SharedUpstreams<>();

  private static ListedUpstream line(long id, State state, long started) {
    return new ListedUpstream(id, "z", 1, state, started, 1);
  }

  private ListedUpstream seen(String pool, String address, long id) {
    return shared.withSharing(pool, address, line(id, State.READY, 0));
  }

  @Test
  void eachPoolReceivesTheSharerCountAndTheLatestStart() {
    assertEquals(Set.of(), shared.update("a", "h:1", line(1, State.READY, 0)));
    assertEquals(Set.of("a"), shared.update("b", "h:1", line(7, State.READY, 500)));
    assertEquals(2, seen("a", "h:1", 1).sharers());
    assertEquals(500, seen("a", "h:1", 1).startedNanos(), "a's own list has no start");
    assertEquals(Set.of(), shared.update("b", "h:1", line(7, State.READY, 500)), "nothing new");
  }

  @Test
  void upstreamDrainingInAPoolIsNoLongerSharedThere() {
    shared.update("a", "h:1", line(1, State.READY, 0));
    shared.update("b", "h:1", line(1, State.READY, 0));
    assertEquals(Set.of("a"), shared.update("b", "h:1", line(1, State.DRAINING, 0)));
    assertEquals(1, seen("a", "h:1", 1).sharers());
    assertEquals(
        State.DRAINING,
        shared.withSharing("b", "h:1", line(1, State.DRAINING, 0)).state());
  }

  @Test
  void sameIdAtTwoAddressesIsTwoUpstreams() {
    shared.update("a", "h:1", line(1, State.READY, 0));
    shared.update("b", "h:2", line(1, State.READY, 900));
    assertEquals(1, seen("a", "h:1", 1).sharers());
    assertEquals(0, seen("a", "h:1", 1).startedNanos());
    assertEquals(2, shared.size());
  }

  @Test
  void twoIdsOfOnePoolAtOneAddressCountAsOneSharer() {
    shared.update("a", "h:1", line(1, State.READY, 0));
    shared.update("a", "h:1", line(2, State.READY, 0));
    assertEquals(1, seen("a", "h:1", 1).sharers());
  }

  @Test
  void movedDepartedAndRemovedEntriesLeaveNoState() {
    shared.update("a", "h:1", line(1, State.READY, 0));
    shared.update("b", "h:1", line(1, State.READY, 0));
    assertEquals(
        Set.of("b"), shared.update("a", "h:2", line(1, State.READY, 0)), "a's upstream has moved");
    assertEquals(1, seen("b", "h:1", 1).sharers());
    shared.update("a", "h:2", line(1, State.GONE, 0));
    assertEquals(1, shared.size());
    shared.update("c", "h:1", line(3, State.READY, 0));
    assertEquals(Set.of("h:1"), shared.removePool("c"));
    assertEquals(Set.of(), shared.removePool("b"));
    assertEquals(0, shared.size());
    for (int i = 0; i < 1_000; i++) {
      shared.update("a", "h:" + i, line(i, State.READY, 0));
      shared.update("a", "h:" + i, line(i, State.GONE, 0));
    }
    assertEquals(0, shared.size());
    assertTrue(shared.linesOf("a", "h:1").isEmpty());
  }
}
