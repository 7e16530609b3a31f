package pumicekeel.subset;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import pumicekeel.Balancer;
import pumicekeel.Balancer.ListKind;
import pumicekeel.Balancer.ListUpdate;
import pumicekeel.Balancer.ListedUpstream;
import pumicekeel.Balancer.State;

/** Size, load and stability of the subsets of each method, and the list that a module receives. */
class SubsetsTest {

  private static final List<Long> IDS = LongStream.range(0, 103).boxed().toList();

  @ParameterizedTest
  @EnumSource(Subsets.class)
  void wholeListIsUsedIfItIsNoLargerThanTheSubset(Subsets method) {
    assertEquals(103, method.of(3, 20, IDS, 103).size());
    assertEquals(103, method.of(0, 1, IDS, 200).size());
  }

  @ParameterizedTest
  @EnumSource(Subsets.class)
  void resultIsRepeatableAndNearTheWantedSize(Subsets method) {
    for (int m = 0; m < 20; m++) {
      Map<Long, Double> subset = method.of(m, 20, IDS, 25);
      assertEquals(subset, method.of(m, 20, IDS, 25));
      assertTrue(subset.size() >= 25 && subset.size() <= 32, method + " gives " + subset.size());
    }
  }

  /** Finagle's claim: with weighted ends, every upstream has the same load whatever the numbers are. */
  @Test
  void apertureLoadsAllUpstreamsEqually() {
    for (int balancers : new int[] {1, 3, 20, 37}) {
      SubsetFigures f = SubsetFigures.of(Subsets.APERTURE, balancers, 103, 25);
      assertEquals(1, f.maxLoad(), 1e-6, balancers + " balancers");
      assertEquals(1, f.minLoad(), 1e-6, balancers + " balancers");
    }
  }

  @Test
  void roundsLoadAllUpstreamsEquallyIfSubsetsDivideTheList() {
    SubsetFigures f = SubsetFigures.of(Subsets.ROUNDS, 20, 100, 25);
    assertEquals(1, f.maxLoad(), 1e-9);
    assertEquals(5, f.maxConnections());
  }

  @Test
  void rendezvousMovesFewPairs() {
    SubsetFigures f = SubsetFigures.of(Subsets.RENDEZVOUS, 40, 200, 20);
    assertTrue(f.movedByUpstream() < 0.02, "moved " + f.movedByUpstream());
    assertEquals(0, f.movedByBalancer());
  }

  /** The module receives a subset that follows list changes; an upstream that leaves it is drained first. */
  @Test
  void moduleReceivesOnlyItsSubset() {
    List<ListUpdate> received = new ArrayList<>();
    Balancer module = (now, event, out) -> received.add((ListUpdate) event);
    Balancer balancer = new SubsetBalancer(settings(), Subsets.RENDEZVOUS, 5, 50, s -> module);
    List<ListedUpstream> entries =
        IDS.subList(0, 50).stream().map(id -> entry(id, State.READY)).toList();
    balancer.handle(0, new ListUpdate(ListKind.FULL, entries), a -> {});
    assertEquals(5, received.get(0).entries().size());
    ListedUpstream mine = received.get(0).entries().get(0);
    balancer.handle(
        1,
        new ListUpdate(ListKind.DELTA, List.of(entry(mine.upstream(), State.DRAINING))),
        a -> {});
    List<ListedUpstream> secondUpdate = received.get(1).entries();
    assertEquals(
        2, secondUpdate.size(), "the one that drains, and its replacement: " + secondUpdate);
    balancer.handle(
        2, new ListUpdate(ListKind.DELTA, List.of(entry(mine.upstream(), State.READY))), a -> {});
    assertTrue(received.get(2).entries().stream()
        .anyMatch(l -> l.upstream() == mine.upstream() && l.state() == State.READY));
    assertEquals(
        1,
        received.get(2).entries().stream()
            .filter(l -> l.state() == State.DRAINING)
            .count());
  }

  private static ListedUpstream entry(long id, State state) {
    return new ListedUpstream(id, "a", 0, state, 0, 1);
  }

  private static Balancer.Settings settings() {
    return new Balancer.Settings(
        2,
        20,
        "a",
        List.of(new Balancer.RequestClass(
            "c", Balancer.Effect.SAFE, Balancer.DedupScope.ALL, 0, 1, 0, 1, 1, 0, false)),
        List.of(),
        new Balancer.Limits(true, false, false, false, true, 1, 3, 10, 1, 1, 1),
        new Balancer.Contract(0, 0, 1, 0.3, 1, 3, 1),
        new Balancer.Prices(0, 0, 0),
        false,
        Balancer.WeightKind.NONE,
        0,
        true,
        1);
  }
}
