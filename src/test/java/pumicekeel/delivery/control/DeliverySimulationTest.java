package pumicekeel.delivery.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static pumicekeel.delivery.control.DeliverySimulation.NANOS_PER_MS;

import java.util.List;
import org.junit.jupiter.api.Test;
import pumicekeel.delivery.ConfigurationRequest;
import pumicekeel.delivery.ConfigurationVersion;
import pumicekeel.delivery.ReplicaReport;
import pumicekeel.delivery.Reply;

/** Control machines and subscribers together, in virtual time. */
class DeliverySimulationTest {

  private static final int FLEET_SIZE = 590;
  private static final String FIRST_TEXT = text(0);
  private static final ConfigurationVersion FIRST_VERSION =
      ConfigurationVersion.of(1, 1, FIRST_TEXT);

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

  private static DeliverySimulation simulation(int machines, int replicas, long seed) {
    DeliverySimulation simulation = new DeliverySimulation(machines, seed);
    simulation.publish(1, 1, FIRST_TEXT);
    return simulation.replicas(replicas, FIRST_VERSION, FIRST_TEXT);
  }

  private static void assertAllHold(DeliverySimulation simulation, ConfigurationVersion version) {
    for (DeliverySimulation.Replica replica : simulation.replicas) {
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

  private static long lastAppliedAt(DeliverySimulation simulation) {
    return simulation.replicas.stream().mapToLong(r -> r.lastAppliedAt).max().orElseThrow();
  }

  private static int maxCallsPerTenthSecond(DeliverySimulation simulation) {
    return simulation.machines.stream()
        .flatMap(m -> m.callsPerTenthSecond.values().stream())
        .mapToInt(n -> n)
        .max()
        .orElse(0);
  }

  @Test
  void changeIsInForceEverywhereAtOnceAndAsADelta() {
    DeliverySimulation simulation = simulation(4, FLEET_SIZE, 11);
    simulation.runFor(10_000 * NANOS_PER_MS);
    long published = simulation.now;
    ConfigurationVersion two = simulation.publish(1, 2, text(2));
    simulation.runFor(1_000 * NANOS_PER_MS);
    assertAllHold(simulation, two);
    assertTrue(lastAppliedAt(simulation) - published < 100 * NANOS_PER_MS);
    assertEquals(0, simulation.replicas.stream().mapToInt(r -> r.partCalls).sum());
  }

  /** A fleet without a version starts at once: each machine limits its snapshots, and rejected callers retry at different times. */
  @Test
  void snapshotsForAFleetWithoutAVersionAreLimited() {
    DeliverySimulation simulation = new DeliverySimulation(4, 12);
    simulation.maxLatencyNanos = 100 * NANOS_PER_MS;
    ConfigurationVersion one = simulation.publish(1, 1, LARGE);
    simulation.replicas(FLEET_SIZE, ConfigurationVersion.NONE, "");
    simulation.runFor(30_000 * NANOS_PER_MS);
    assertAllHold(simulation, one);
    for (DeliverySimulation.Machine machine : simulation.machines) {
      assertEquals(
          SnapshotSlots.MAX_SLOTS, machine.maxSnapshotsInProgress, "the limit was reached");
    }
    assertTrue(
        maxCallsPerTenthSecond(simulation) < FLEET_SIZE / 8,
        "calls in 0.1 s " + maxCallsPerTenthSecond(simulation));
  }

  @Test
  void recoveryOfAllControlMachinesCausesNoCallStorm() {
    DeliverySimulation simulation = simulation(4, FLEET_SIZE, 13);
    simulation.runFor(3_000 * NANOS_PER_MS);
    simulation.machines.forEach(m -> m.up = false);
    simulation.runFor(60_000 * NANOS_PER_MS);
    simulation.replicas.forEach(
        r -> assertTrue(simulation.now - r.subscription.lastReplyAt() > 50_000 * NANOS_PER_MS));
    simulation.machines.forEach(m -> m.callsPerTenthSecond.clear());
    simulation.machines.forEach(m -> m.up = true);
    long back = simulation.now;
    ConfigurationVersion two = simulation.publish(1, 2, text(2));
    simulation.runFor(10_000 * NANOS_PER_MS);
    assertAllHold(simulation, two);
    assertTrue(lastAppliedAt(simulation) - back < 7_000 * NANOS_PER_MS);
    assertTrue(
        maxCallsPerTenthSecond(simulation) < FLEET_SIZE / 12,
        "calls in 0.1 s " + maxCallsPerTenthSecond(simulation));
  }

  @Test
  void frequentChangesAreAppliedInOrderAndTheLastOneByAll() {
    DeliverySimulation simulation = simulation(4, 40, 14);
    simulation.replicas(1, ConfigurationVersion.NONE, "");
    ConfigurationVersion last = FIRST_VERSION;
    for (int sequence = 2; sequence <= 200; sequence++) {
      last = simulation.publish(1, sequence, text(sequence));
      simulation.runFor(50 * NANOS_PER_MS);
    }
    simulation.runFor(3_000 * NANOS_PER_MS);
    assertAllHold(simulation, last);
    int applied = simulation.replicas.get(0).applied.size();
    assertTrue(applied > 50 && applied <= 199, "versions applied " + applied);
  }

  /** A subscriber that missed more versions than the machines keep as delta bases gets the newest one as a snapshot. */
  @Test
  void subscriberWithoutADeltaBaseAppliesASnapshot() {
    DeliverySimulation simulation = simulation(2, 0, 19);
    ConfigurationVersion last = FIRST_VERSION;
    for (int sequence = 2; sequence <= 2 * ConfigurationHistory.MAX_VERSIONS; sequence++) {
      last = simulation.publish(1, sequence, text(sequence));
    }
    simulation.replicas(1, FIRST_VERSION, FIRST_TEXT);
    simulation.runFor(5_000 * NANOS_PER_MS);
    assertAllHold(simulation, last);
    assertEquals(List.of(last), simulation.replicas.get(0).applied);
  }

  /** Replies are lost and duplicated, and some duplicates arrive up to a second late, after newer ones. */
  @Test
  void lostAndDuplicateRepliesBreakNoOrder() {
    DeliverySimulation simulation = simulation(3, 30, 15);
    simulation.lostPercent = 20;
    simulation.duplicatedPercent = 30;
    simulation.replicas(10, ConfigurationVersion.NONE, "");
    ConfigurationVersion last = FIRST_VERSION;
    for (int sequence = 2; sequence <= 30; sequence++) {
      last = simulation.publish(1, sequence, text(sequence));
      simulation.runFor(simulation.random.nextLong(1_500 * NANOS_PER_MS));
    }
    simulation.lostPercent = 0;
    simulation.runFor(30_000 * NANOS_PER_MS);
    assertAllHold(simulation, last);
  }

  @Test
  void interruptedSnapshotContinuesAtAnotherMachine() {
    DeliverySimulation simulation = new DeliverySimulation(2, 16);
    ConfigurationVersion one = simulation.publish(1, 1, LARGE);
    simulation.replicas(1, ConfigurationVersion.NONE, "");
    DeliverySimulation.Replica replica = simulation.replicas.get(0);
    while (replica.partCalls == 0) {
      simulation.runFor(NANOS_PER_MS);
    }
    DeliverySimulation.Machine called =
        simulation.machines.get(simulation.machines.get(0).callsPerTenthSecond.isEmpty() ? 1 : 0);
    called.up = false;
    simulation.runFor(10_000 * NANOS_PER_MS);
    assertAllHold(simulation, one);
    assertEquals(
        3, replica.partCalls, "the first part came with the poll, one call was interrupted");
  }

  @Test
  void machineThatReturnsWithAnOldVersionRevertsNoSubscriber() {
    DeliverySimulation simulation = simulation(2, 20, 17);
    simulation.machines.get(1).up = false;
    ConfigurationVersion two = simulation.publish(1, 2, text(2));
    simulation.runFor(10_000 * NANOS_PER_MS);
    simulation.machines.get(1).up = true;
    simulation.machines.get(0).up = false;
    simulation.runFor(20_000 * NANOS_PER_MS);
    assertAllHold(simulation, two);
    // The failure is immediate, so that the next machine is called; a held call would cost its
    // whole wait.
    ReplicaReport report = new ReplicaReport("n", two, ConfigurationVersion.NONE, "");
    Reply reply = simulation
        .machines
        .get(1)
        .state
        .answer(new ConfigurationRequest(report, two, two, 2_500), simulation.now);
    assertInstanceOf(Reply.Failed.class, reply);
    simulation.machines.get(0).up = true;
    ConfigurationVersion three = simulation.publish(1, 3, text(3));
    simulation.runFor(10_000 * NANOS_PER_MS);
    assertAllHold(simulation, three);
  }

  @Test
  void versionThatSomeBuildsDoNotSupportIsSkippedByThese() {
    DeliverySimulation simulation = simulation(2, 10, 18);
    List<DeliverySimulation.Replica> old = simulation.replicas.subList(0, 4);
    old.forEach(r -> r.supportsAllKeys = false);
    ConfigurationVersion two = simulation.publish(1, 2, FIRST_TEXT + "unknown-key = 1\n");
    simulation.runFor(10_000 * NANOS_PER_MS);
    old.forEach(r -> assertEquals(FIRST_VERSION, r.subscription.held()));
    old.forEach(r -> assertEquals(two, r.subscription.refused()));
    assertEquals(
        4,
        simulation.machines.get(0).state.replicas().stream()
            .filter(
                r -> r.report().refused().equals(two) && r.report().trouble().contains("known"))
            .count());
    ConfigurationVersion three = simulation.publish(1, 3, text(3));
    simulation.runFor(10_000 * NANOS_PER_MS);
    assertAllHold(simulation, three);
  }
}
