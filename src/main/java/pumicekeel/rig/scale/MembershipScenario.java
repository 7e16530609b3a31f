package pumicekeel.rig.scale;

import java.io.IOException;
import java.time.Duration;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import pumicekeel.sim.FleetSim;

/**
 * A fleet that starts all at once, rests, and loses one member: what a member holds and sends at rest, and how long it takes until
 * all know.
 */
final class MembershipScenario implements Scenario {

  /** Some probes and two exchanges of pages a member. */
  private static final Duration REST = Duration.ofSeconds(5);
  /** Some 100,000 datagrams in virtual time, then the sockets. */
  private static final int WARM_UP_MEMBERS = 30;

  private static final int WARM_UP_DEATHS = 1;
  private static final long WARM_UP_NANOS = TimeUnit.SECONDS.toNanos(1_000);

  private final Duration rest;

  MembershipScenario() {
    this(REST);
  }

  /** So long are members watched at rest. */
  MembershipScenario(Duration rest) {
    this.rest = rest;
  }

  @Override
  public String name() {
    return "membership";
  }

  @Override
  public Role role() {
    return Role.MEMBER;
  }

  @Override
  public Axis axis() {
    return Axis.BALANCERS;
  }

  @Override
  public long estimatedBytes(int size) {
    return HollowEstimate.bytes(size, size, 0);
  }

  @Override
  public long estimatedDescriptors(int size) {
    return HollowEstimate.descriptors(size);
  }

  @Override
  public void warmUp(long seed, Deadline deadline)
      throws TimeoutException, InterruptedException, IOException {
    new FleetSim(seed, WARM_UP_MEMBERS).detection(0, WARM_UP_DEATHS, WARM_UP_NANOS);
    try (EventLoops loops = new EventLoops(WARM_UP_MEMBERS);
        HollowFleet fleet = HollowFleet.start(loops, seed)) {
      deadline.await("every member knows every other", fleet::allKnown);
    }
  }

  @Override
  public Map<String, Double> measure(int size, long seed, Deadline deadline)
      throws TimeoutException, InterruptedException, IOException {
    Map<String, Double> figures = new TreeMap<>();
    try (EventLoops loops = new EventLoops(size)) {
      try (HollowFleet fleet = HollowFleet.start(loops, seed)) {
        long startedAt = System.nanoTime();
        deadline.await("every member knows every other", fleet::allKnown);
        figures.put("all-known-ms", (fleet.lastChangeAt() - startedAt) / 1e6);
        rest(loops, fleet, figures);
        long heapWith = ProcessMeter.heapAfterCollection();
        int dead = (int) Math.floorMod(seed, (long) size);
        long diedAt = System.nanoTime();
        fleet.kill(dead);
        deadline.await("every member knows of the death", () -> fleet.allHoldDead(dead));
        figures.put("death-known-ms", (fleet.lastChangeAt() - diedAt) / 1e6);
        fleet.close();
        figures.put("state-bytes", (double) (heapWith - ProcessMeter.heapAfterCollection()) / size);
      }
    }
    return figures;
  }

  private void rest(EventLoops loops, HollowFleet fleet, Map<String, Double> figures)
      throws InterruptedException {
    long datagrams = fleet.sentDatagrams();
    long bytes = fleet.sentBytes();
    long processor = loops.processorNanos();
    long from = System.nanoTime();
    TimeUnit.MILLISECONDS.sleep(rest.toMillis());
    double processorNanos = loops.processorNanos() - processor;
    double memberSeconds = fleet.size() * (System.nanoTime() - from) / 1e9;
    figures.put("processor-us-per-s", processorNanos / 1e3 / memberSeconds);
    figures.put("messages-per-s", (fleet.sentDatagrams() - datagrams) / memberSeconds);
    figures.put("bytes-per-s", (fleet.sentBytes() - bytes) / memberSeconds);
  }
}
