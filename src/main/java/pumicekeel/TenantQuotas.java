package pumicekeel;

import java.util.HashMap;
import java.util.Map;

/** This balancer's part of the tenants' quotas: a token bucket of one second for each tenant with a quota. */
final class TenantQuotas {

  /** Minimum size of a tenant's bucket: else random bursts would make work inside a small quota excess. */
  private static final double MIN_BURST = 3;

  private final Map<String, Double> perSecond = new HashMap<>();
  private final Map<String, TokenBucket> buckets = new HashMap<>();

  /** Replaces all rates by an even share for each of the group's instances. */
  void reset(Balancer.Settings settings) {
    perSecond.clear();
    settings
        .tenants()
        .forEach(t -> perSecond.put(t.name(), t.quotaPerSecond() / settings.groupSize()));
  }

  /** Replaces the rates of some tenants, in requests per second. */
  void allocate(Map<String, Double> rates) {
    perSecond.putAll(rates);
  }

  /** Takes a token for a request of this tenant, which may be null; returns true if it is over its quota. */
  boolean takeToken(String tenant, long now) {
    double rate = tenant == null ? 0 : perSecond.getOrDefault(tenant, 0.0);
    if (rate == 0) {
      return false;
    }
    TokenBucket bucket = buckets.computeIfAbsent(tenant, k -> new TokenBucket());
    boolean empty = bucket.fill(now, rate, Math.max(MIN_BURST, rate)) < 1;
    bucket.tokens -= empty ? 0 : 1;
    return empty;
  }

  /** Returns whether a request of this tenant was ever counted against a quota. */
  boolean counts(String tenant) {
    return buckets.containsKey(tenant);
  }
}
