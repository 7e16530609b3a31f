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

/** Members that lend each other quotas of ever more tenants under moving demand; what the exchange adds to membership alone. */
final class QuotaScenario implements Scenario {

  private static final int MEMBERS = 20;
  private static final Duration REST = Duration.ofSeconds(5);
  /** A tenant's book with the leases of some members, and its name. */
  private static final long TENANT_BYTES = 4_000;

  private final Duration rest;

  QuotaScenario() {
    this(REST);
  }

  /** So long are members watched. */
  QuotaScenario(Duration rest) {
    this.rest = rest;
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
      throw new RefusedException(
          "at most " + QuotaExchange.MAX_TENANTS + " tenants' quotas are lent, got " + size);
    }
    try (EventLoops loops = new EventLoops(MEMBERS);
        HollowFleet fleet = HollowFleet.start(loops, seed)) {
      deadline.await("every member knows every other", fleet::allKnown);
      return measure(size, seed, loops, fleet);
    }
  }

  private Map<String, Double> measure(int tenants, long seed, EventLoops loops, HollowFleet fleet)
      throws InterruptedException {
    Map<String, Double> figures = new TreeMap<>();
    double withoutQuotas = processorMicrosPerSecond(loops);
    List<HollowQuotas> quotas = new ArrayList<>();
    for (int i = 0; i < MEMBERS; i++) {
      quotas.add(new HollowQuotas(i, MEMBERS, tenants, seed + i));
    }
    fleet.carry(quotas::get);
    // Parts are lent only once the time of a lease has passed since the start.
    TimeUnit.MILLISECONDS.sleep(rest.toMillis());

    long datagrams = sum(loops.callAll(i -> quotas.get(i).sentDatagrams()));
    long bytes = sum(loops.callAll(i -> quotas.get(i).sentBytes()));
    double seconds = MEMBERS * rest.toMillis() / 1e3;
    figures.put("processor-us-per-s", processorMicrosPerSecond(loops) - withoutQuotas);
    figures.put(
        "messages-per-s",
        (sum(loops.callAll(i -> quotas.get(i).sentDatagrams())) - datagrams) / seconds);
    figures.put(
        "bytes-per-s", (sum(loops.callAll(i -> quotas.get(i).sentBytes())) - bytes) / seconds);
    figures.put("state-bytes", stateBytes(fleet, quotas) / MEMBERS);
    return figures;
  }

  /** The heap with all books less the heap once they are dropped. */
  private static double stateBytes(HollowFleet fleet, List<HollowQuotas> quotas) {
    long with = ProcessMeter.heapAfterCollection();
    fleet.carry(i -> null);
    quotas.clear();
    return with - ProcessMeter.heapAfterCollection();
  }

  /** Of one member, while the rest passes. */
  private double processorMicrosPerSecond(EventLoops loops) throws InterruptedException {
    long before = loops.processorNanos();
    long from = System.nanoTime();
    TimeUnit.MILLISECONDS.sleep(rest.toMillis());
    double memberSeconds = MEMBERS * (System.nanoTime() - from) / 1e9;
    return (loops.processorNanos() - before) / 1e3 / memberSeconds;
  }

  private static long sum(List<Long> values) {
    return values.stream().mapToLong(value -> value).sum();
  }
}
