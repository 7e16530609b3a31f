package pumicekeel.pool;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

/** Guaranteed and borrowed capacity, the capacity plan, and the Retry-After of a full pool. */
class PoolCapacityTest {

  @Test
  void guaranteeIsAvailableWhateverTheOthersBorrow() {
    SharedCapacity shares = new SharedCapacity(10);
    SharedCapacity.Owner a = shares.add(2, 10);
    SharedCapacity.Owner b = shares.add(3, 10);
    for (int i = 0; i < 7; i++) {
      assertTrue(a.tryAcquire(1));
    }
    assertFalse(a.tryAcquire(1), "three are reserved for b");
    assertTrue(a.isBorrowing());
    assertTrue(b.tryAcquire(3));
    assertFalse(b.tryAcquire(1), "all is in use");
    a.release(1);
    assertTrue(b.tryAcquire(1), "b borrows what a released");
    assertFalse(a.tryAcquire(1));
  }

  @Test
  void maximumHoldsDespiteFreeCapacityAndAcquiringIsAllOrNothing() {
    SharedCapacity shares = new SharedCapacity(100);
    SharedCapacity.Owner a = shares.add(0, 5);
    assertFalse(a.tryAcquire(6));
    assertEquals(0, a.used());
    assertTrue(a.tryAcquire(5));
    assertThrows(IllegalStateException.class, () -> a.release(6));
  }

  @Test
  void usageBeyondNewLimitsStaysUntilReleased() {
    SharedCapacity shares = new SharedCapacity(10);
    SharedCapacity.Owner a = shares.add(0, 10);
    assertTrue(a.tryAcquire(9));
    SharedCapacity.Owner b = shares.add(5, 10);
    assertFalse(b.tryAcquire(2), "the capacity is not free yet");
    a.resize(0, 3);
    assertFalse(a.tryAcquire(1));
    a.release(5);
    assertTrue(b.tryAcquire(5));
    a.close();
    a.release(4);
    assertTrue(b.tryAcquire(5), "a closed owner reserves nothing");
  }

  /** In any order of acquiring and releasing, no more than the total is in use, and every guarantee can be acquired. */
  @Test
  void limitsHoldInAnyOrder() {
    long seed = new SplittableRandom().nextLong();
    SplittableRandom random = new SplittableRandom(seed);
    for (int round = 0; round < 500; round++) {
      SharedCapacity shares = new SharedCapacity(50);
      List<SharedCapacity.Owner> owners = new ArrayList<>();
      long[] guaranteed = new long[4];
      for (int i = 0; i < 4; i++) {
        guaranteed[i] = random.nextInt(12);
        owners.add(shares.add(guaranteed[i], 50));
      }
      for (int step = 0; step < 200; step++) {
        int i = random.nextInt(4);
        if (random.nextBoolean()) {
          long wanted = 1 + random.nextInt(5);
          boolean within = owners.get(i).used() + wanted <= guaranteed[i];
          boolean got = owners.get(i).tryAcquire(wanted);
          assertTrue(got || !within, () -> "seed " + seed + ": a guarantee was not available");
        } else if (owners.get(i).used() > 0) {
          owners.get(i).release(1 + random.nextLong(owners.get(i).used()));
        }
        assertTrue(
            owners.stream().mapToLong(SharedCapacity.Owner::used).sum() <= 50,
            () -> "seed " + seed);
      }
    }
  }

  @Test
  void poolsWithoutAGuaranteeShareHalfOfTheRestEvenly() {
    List<CapacityPlan.Allocation> parts = CapacityPlan.of(
        "sockets",
        100,
        List.of(
            new CapacityPlan.Demand("a", 40L, null),
            new CapacityPlan.Demand("b", null, 10L),
            new CapacityPlan.Demand("c", null, null)));
    assertEquals(
        List.of(
            new CapacityPlan.Allocation(40, 100),
            new CapacityPlan.Allocation(10, 10),
            new CapacityPlan.Allocation(15, 100)),
        parts);
    assertThrows(
        IllegalArgumentException.class,
        () -> CapacityPlan.of("sockets", 39, List.of(new CapacityPlan.Demand("a", 40L, null))));
  }

  @Test
  void fullPoolAdvisesItsMeanResidenceTime() {
    ResidenceTime residence = new ResidenceTime();
    for (int i = 0; i < 500; i++) {
      residence.record(400_000_000L);
    }
    assertEquals(400_000_000L, residence.retryAfter(true, 2_000_000_000L), 1_000_000);
    assertEquals(300_000_000L, residence.retryAfter(true, 300_000_000L));
    assertEquals(0, residence.retryAfter(false, 300_000_000L));
  }
}
