package pumicekeel.rig.scale;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import pumicekeel.quota.QuotaExchange;

/**
 * Measures what the quota exchange costs in addition to membership: members lend each other quotas of a growing number of tenants
 * while demand moves.
 */
final class QuotaScenario implements Scenario {

  private static final int MEMBERS = 20;
  private static final Duration MEASURE_TIME = Duration.ofSeconds(5);
  /** A tenant's ledger with the leases of some members, and its name. */
  private static final long TENANT_BYTES = 4_000;

  private final Duration measureTime;

  QuotaScenario() {
    this(MEASURE_TIME);
  }

  /** Creates a scenario that measures the members for the given time. */
  QuotaScenario(Duration measureTime) {
    this.measureTime = measureTime;
  }

  @Override
  public String name() {
    return "quotas-by-tenants";
  }

  @Override
  public Role role() {
    return Role.QUOTA_LENDER;
  }

  @Override
  public Axis axis() {
    return Axis.TENANTS;
  }

  @Override
  public long estimatedBytes(int size) {
    return HollowEstimate.bytes(MEMBERS, MEMBERS, 0) + MEMBERS * size * TENANT_BYTES;
  }

  @Override
  public long estimatedDescriptors(int size) {
    return HollowEstimate.descriptors(MEMBERS);
  }

  @Override
  public void warmUp(long seed, Deadline deadline)
      throws RefusedException, TimeoutException, InterruptedException, IOException {
    measure(QuotaExchange.MAX_TENANTS, seed, deadline);
  }

  @Override
  public Map<String, Double> measure(int size, long seed, Deadline deadline)
      throws RefusedException, TimeoutException, InterruptedException, IOException {
    if (size > QuotaExchange.MAX_TENANTS) {
      throw new RefusedException("expected at most " + QuotaExchange.MAX_TENANTS
          + " tenants, the maximum of the quota exchange, got " + size);
    }
    try (EventLoops loops = new EventLoops(MEMBERS);
        HollowFleet fleet = HollowFleet.start(loops, seed)) {
      deadline.await("every member knows every other", fleet::allConsideredLive);
      return measure(size, seed, loops, fleet);
    }
  }

  private Map<String, Double> measure(int tenants, long seed, EventLoops loops, HollowFleet fleet)
      throws InterruptedException {
    Map<String, Double> figures = new TreeMap<>();
    double microsWithoutQuotas = processorMicrosPerSecond(loops);
    List<HollowQuotas> quotas = new ArrayList<>();
    for (int i = 0; i < MEMBERS; i++) {
      quotas.add(new HollowQuotas(i, MEMBERS, tenants, seed + i));
    }
    fleet.attach(quotas::get);
    // Quota is lent only after the duration of one lease has passed since the start.
    TimeUnit.MILLISECONDS.sleep(measureTime.toMillis());

    long datagramsBefore = sum(loops.callAll(i -> quotas.get(i).sentDatagrams()));
    long bytesBefore = sum(loops.callAll(i -> quotas.get(i).sentBytes()));
    double memberSeconds = MEMBERS * measureTime.toMillis() / 1e3;
    figures.put("processor-us-per-s", processorMicrosPerSecond(loops) - microsWithoutQuotas);
    figures.put(
        "messages-per-s",
        (sum(loops.callAll(i -> quotas.get(i).sentDatagrams())) - datagramsBefore) / memberSeconds);
    figures.put(
        "bytes-per-s",
        (sum(loops.callAll(i -> quotas.get(i).sentBytes())) - bytesBefore) / memberSeconds);
    figures.put("state-bytes", stateBytes(fleet, quotas) / MEMBERS);
    return figures;
  }

  /** Returns the heap size with the state of all quota exchanges minus that without it. */
  private static double stateBytes(HollowFleet fleet, List<HollowQuotas> quotas) {
    long heapWithQuotas = ProcessMeter.heapAfterCollection();
    fleet.attach(i -> null);
    quotas.clear();
    return heapWithQuotas - ProcessMeter.heapAfterCollection();
  }

  /** Measures for {@code measureTime} and returns the processor time of one member, in microseconds per second. */
  private double processorMicrosPerSecond(EventLoops loops) throws InterruptedException {
    long processorBefore = loops.processorNanos();
    long startedAt = System.nanoTime();
    TimeUnit.MILLISECONDS.sleep(measureTime.toMillis());
    double memberSeconds = MEMBERS * (System.nanoTime() - startedAt) / 1e9;
    return (loops.processorNanos() - processorBefore) / 1e3 / memberSeconds;
  }

  private static long sum(List<Long> values) {
    return values.stream().mapToLong(value -> value).sum();
  }
}
