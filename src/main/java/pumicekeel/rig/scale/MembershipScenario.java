package pumicekeel.rig.scale;

import java.io.IOException;
import java.time.Duration;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import pumicekeel.sim.FleetSim;

/**
 * Measures a fleet that starts all at once, stays idle, and loses one member: what a member stores and sends while idle, and how long
 * it takes until all others have detected the loss.
 */
final class MembershipScenario implements Scenario {

  /** Covers several probes and two exchanges of table pages per member. */
  private static final Duration IDLE_TIME = Duration.ofSeconds(5);
  /** Members of the warm-up: about 100,000 datagrams in virtual time first, then over sockets. */
  private static final int WARM_UP_MEMBERS = 30;

  private static final int WARM_UP_KILLS = 1;
  private static final long WARM_UP_QUIET_NANOS = TimeUnit.SECONDS.toNanos(1_000);

  private final Duration idleTime;

  MembershipScenario() {
    this(IDLE_TIME);
  }

  /** Creates a scenario that measures the idle members for the given time. */
  MembershipScenario(Duration idleTime) {
    this.idleTime = idleTime;
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
    new FleetSim(seed, WARM_UP_MEMBERS).detection(0, WARM_UP_KILLS, WARM_UP_QUIET_NANOS);
    try (EventLoops loops = new EventLoops(WARM_UP_MEMBERS);
        HollowFleet fleet = HollowFleet.start(loops, seed)) {
      deadline.await("every member knows every other", fleet::allConsideredLive);
    }
  }

  @Override
  public Map<String, Double> measure(int size, long seed, Deadline deadline)
      throws TimeoutException, InterruptedException, IOException {
    Map<String, Double> figures = new TreeMap<>();
    try (EventLoops loops = new EventLoops(size)) {
      try (HollowFleet fleet = HollowFleet.start(loops, seed)) {
        long startedAt = System.nanoTime();
        deadline.await("every member knows every other", fleet::allConsideredLive);
        figures.put("all-known-ms", (fleet.lastChangeAt() - startedAt) / 1e6);
        measureIdle(loops, fleet, figures);
        long heapWithFleet = ProcessMeter.heapAfterCollection();
        int killed = (int) Math.floorMod(seed, (long) size);
        long killedAt = System.nanoTime();
        fleet.kill(killed);
        deadline.await("every member knows of the death", () -> fleet.isConsideredDead(killed));
        figures.put("death-known-ms", (fleet.lastChangeAt() - killedAt) / 1e6);
        fleet.close();
        figures.put(
            "state-bytes", (double) (heapWithFleet - ProcessMeter.heapAfterCollection()) / size);
      }
    }
    return figures;
  }

  private void measureIdle(EventLoops loops, HollowFleet fleet, Map<String, Double> figures)
      throws InterruptedException {
    long datagramsBefore = fleet.sentDatagrams();
    long bytesBefore = fleet.sentBytes();
    long processorBefore = loops.processorNanos();
    long idleSince = System.nanoTime();
    TimeUnit.MILLISECONDS.sleep(idleTime.toMillis());
    double processorNanos = loops.processorNanos() - processorBefore;
    double memberSeconds = fleet.size() * (System.nanoTime() - idleSince) / 1e9;
    figures.put("processor-us-per-s", processorNanos / 1e3 / memberSeconds);
    figures.put("messages-per-s", (fleet.sentDatagrams() - datagramsBefore) / memberSeconds);
    figures.put("bytes-per-s", (fleet.sentBytes() - bytesBefore) / memberSeconds);
  }
}
