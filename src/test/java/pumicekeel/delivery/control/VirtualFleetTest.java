package pumicekeel.delivery.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static pumicekeel.delivery.control.VirtualFleet.NANOS_PER_MS;

import java.util.List;
import org.junit.jupiter.api.Test;
import pumicekeel.delivery.ConfigurationRequest;
import pumicekeel.delivery.ConfigurationVersion;
import pumicekeel.delivery.ReplicaReport;
import pumicekeel.delivery.Reply;

/** Control machines and subscribers together, in virtual time. */
class VirtualFleetTest {

  private static final int FLEET = 590;
  private static final String FIRST = text(0);
  private static final ConfigurationVersion ONE = ConfigurationVersion.of(1, 1, FIRST);

  /** Returns a document of some 6 KB with the number in one of its entries. */
  private static String text(int number) {
    return document(20, number);
  }

  /** A document that takes three parts to transfer. */
  private static final String LARGE = document(2_000, 1);

  private static String document(int routes, int number) {
    StringBuilder out = new StringBuilder("default-pool = \"a\"\n");
    for (int i = 0; i < routes; i++) {
      out.append("[[routes]]\nname = \"r")
          .append(i)
          .append("\"\npath = \"/")
          .append("x".repeat(250));
      out.append("\"\nweight = ").append(i == 10 ? number : 0).append("\n");
    }
    return out.toString();
  }

  private static VirtualFleet fleet(int machines, int replicas, long seed) {
    VirtualFleet fleet = new VirtualFleet(machines, seed);
    fleet.publish(1, 1, FIRST);
    return fleet.replicas(replicas, ONE, FIRST);
  }

  private static void assertAllHold(VirtualFleet fleet, ConfigurationVersion version) {
    for (VirtualFleet.Replica replica : fleet.replicas) {
      assertEquals(version, replica.subscription.held(), replica.name);
      ConfigurationVersion before = ConfigurationVersion.NONE;
      for (ConfigurationVersion applied : replica.applied) {
        assertTrue(applied.isNewerThan(before), replica.name + " applied " + replica.applied);
        before = applied;
      }
      assertEquals(
          version, ConfigurationVersion.of(version.epoch(), version.sequence(), replica.text));
    }
  }

  private static long lastAppliedAt(VirtualFleet fleet) {
    return fleet.replicas.stream().mapToLong(r -> r.lastAppliedAt).max().orElseThrow();
  }

  private static int maxCallsInATenthOfASecond(VirtualFleet fleet) {
    return fleet.machines.stream()
        .flatMap(m -> m.callsByTenthOfASecond.values().stream())
        .mapToInt(n -> n)
        .max()
        .orElse(0);
  }

  @Test
  void changeIsInForceEverywhereAtOnceAndAsADelta() {
    VirtualFleet fleet = fleet(4, FLEET, 11);
    fleet.runFor(10_000 * NANOS_PER_MS);
    long published = fleet.now;
    ConfigurationVersion two = fleet.publish(1, 2, text(2));
    fleet.runFor(1_000 * NANOS_PER_MS);
    assertAllHold(fleet, two);
    assertTrue(lastAppliedAt(fleet) - published < 100 * NANOS_PER_MS);
    assertEquals(0, fleet.replicas.stream().mapToInt(r -> r.parts).sum());
  }

  /** A fleet without a version starts at once: each machine limits its snapshots, and rejected callers retry at different times. */
  @Test
  void snapshotsForAFleetWithoutAVersionAreLimited() {
    VirtualFleet fleet = new VirtualFleet(4, 12);
    fleet.maxLatencyNanos = 100 * NANOS_PER_MS;
    ConfigurationVersion one = fleet.publish(1, 1, LARGE);
    fleet.replicas(FLEET, ConfigurationVersion.NONE, "");
    fleet.runFor(30_000 * NANOS_PER_MS);
    assertAllHold(fleet, one);
    for (VirtualFleet.Machine machine : fleet.machines) {
      assertEquals(SnapshotSlots.MAX_SLOTS, machine.maxSnapshots, "the limit was reached");
    }
    assertTrue(
        maxCallsInATenthOfASecond(fleet) < FLEET / 8,
        "calls in 0.1 s " + maxCallsInATenthOfASecond(fleet));
  }

  @Test
  void recoveryOfAllControlMachinesCausesNoCallStorm() {
    VirtualFleet fleet = fleet(4, FLEET, 13);
    fleet.runFor(3_000 * NANOS_PER_MS);
    fleet.machines.forEach(m -> m.up = false);
    fleet.runFor(60_000 * NANOS_PER_MS);
    fleet.replicas.forEach(
        r -> assertTrue(fleet.now - r.subscription.lastReplyAt() > 50_000 * NANOS_PER_MS));
    fleet.machines.forEach(m -> m.callsByTenthOfASecond.clear());
    fleet.machines.forEach(m -> m.up = true);
    long back = fleet.now;
    ConfigurationVersion two = fleet.publish(1, 2, text(2));
    fleet.runFor(10_000 * NANOS_PER_MS);
    assertAllHold(fleet, two);
    assertTrue(lastAppliedAt(fleet) - back < 7_000 * NANOS_PER_MS);
    assertTrue(
        maxCallsInATenthOfASecond(fleet) < FLEET / 12,
        "calls in 0.1 s " + maxCallsInATenthOfASecond(fleet));
  }

  @Test
  void frequentChangesAreAppliedInOrderAndTheLastOneByAll() {
    VirtualFleet fleet = fleet(4, 40, 14);
    fleet.replicas(1, ConfigurationVersion.NONE, "");
    ConfigurationVersion last = ONE;
    for (int sequence = 2; sequence <= 200; sequence++) {
      last = fleet.publish(1, sequence, text(sequence));
      fleet.runFor(50 * NANOS_PER_MS);
    }
    fleet.runFor(3_000 * NANOS_PER_MS);
    assertAllHold(fleet, last);
    int applied = fleet.replicas.get(0).applied.size();
    assertTrue(applied > 50 && applied <= 199, "versions applied " + applied);
  }

  /** A subscriber that missed more versions than the machines keep as delta bases gets the newest one as a snapshot. */
  @Test
  void subscriberWithoutADeltaBaseAppliesASnapshot() {
    VirtualFleet fleet = fleet(2, 0, 19);
    ConfigurationVersion last = ONE;
    for (int sequence = 2; sequence <= 2 * ConfigurationHistory.MAX_VERSIONS; sequence++) {
      last = fleet.publish(1, sequence, text(sequence));
    }
    fleet.replicas(1, ONE, FIRST);
    fleet.runFor(5_000 * NANOS_PER_MS);
    assertAllHold(fleet, last);
    assertEquals(List.of(last), fleet.replicas.get(0).applied);
  }

  /** Replies are lost and duplicated, and some duplicates arrive up to a second late, after newer ones. */
  @Test
  void lostAndDuplicateRepliesBreakNoOrder() {
    VirtualFleet fleet = fleet(3, 30, 15);
    fleet.lostPercent = 20;
    fleet.duplicatedPercent = 30;
    fleet.replicas(10, ConfigurationVersion.NONE, "");
    ConfigurationVersion last = ONE;
    for (int sequence = 2; sequence <= 30; sequence++) {
      last = fleet.publish(1, sequence, text(sequence));
      fleet.runFor(fleet.random.nextLong(1_500 * NANOS_PER_MS));
    }
    fleet.lostPercent = 0;
    fleet.runFor(30_000 * NANOS_PER_MS);
    assertAllHold(fleet, last);
  }

  @Test
  void interruptedSnapshotContinuesAtAnotherMachine() {
    VirtualFleet fleet = new VirtualFleet(2, 16);
    ConfigurationVersion one = fleet.publish(1, 1, LARGE);
    fleet.replicas(1, ConfigurationVersion.NONE, "");
    VirtualFleet.Replica replica = fleet.replicas.get(0);
    while (replica.parts == 0) {
      fleet.runFor(NANOS_PER_MS);
    }
    VirtualFleet.Machine called =
        fleet.machines.get(fleet.machines.get(0).callsByTenthOfASecond.isEmpty() ? 1 : 0);
    called.up = false;
    fleet.runFor(10_000 * NANOS_PER_MS);
    assertAllHold(fleet, one);
    assertEquals(3, replica.parts, "the first part came with the poll, one call was interrupted");
  }

  @Test
  void machineThatReturnsWithAnOldVersionRevertsNoSubscriber() {
    VirtualFleet fleet = fleet(2, 20, 17);
    fleet.machines.get(1).up = false;
    ConfigurationVersion two = fleet.publish(1, 2, text(2));
    fleet.runFor(10_000 * NANOS_PER_MS);
    fleet.machines.get(1).up = true;
    fleet.machines.get(0).up = false;
    fleet.runFor(20_000 * NANOS_PER_MS);
    assertAllHold(fleet, two);
    // The failure is immediate, so that the next machine is called; a held call would cost its
    // whole wait.
    ReplicaReport report = new ReplicaReport("n", two, ConfigurationVersion.NONE, "");
    Reply reply = fleet
        .machines
        .get(1)
        .state
        .answer(new ConfigurationRequest(report, two, two, 2_500), fleet.now);
    assertInstanceOf(Reply.Failed.class, reply);
    fleet.machines.get(0).up = true;
    ConfigurationVersion three = fleet.publish(1, 3, text(3));
    fleet.runFor(10_000 * NANOS_PER_MS);
    assertAllHold(fleet, three);
  }

  @Test
  void versionThatSomeBuildsDoNotSupportIsSkippedByThese() {
    VirtualFleet fleet = fleet(2, 10, 18);
    List<VirtualFleet.Replica> old = fleet.replicas.subList(0, 4);
    old.forEach(r -> r.supportsAllKeys = false);
    ConfigurationVersion two = fleet.publish(1, 2, FIRST + "unknown-key = 1\n");
    fleet.runFor(10_000 * NANOS_PER_MS);
    old.forEach(r -> assertEquals(ONE, r.subscription.held()));
    old.forEach(r -> assertEquals(two, r.subscription.refused()));
    assertEquals(
        4,
        fleet.machines.get(0).state.replicas().stream()
            .filter(
                r -> r.report().refused().equals(two) && r.report().trouble().contains("known"))
            .count());
    ConfigurationVersion three = fleet.publish(1, 3, text(3));
    fleet.runFor(10_000 * NANOS_PER_MS);
    assertAllHold(fleet, three);
  }
}
