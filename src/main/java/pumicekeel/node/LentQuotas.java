package pumicekeel.node;

import java.util.BitSet;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import pumicekeel.Balancer.Tenant;
import pumicekeel.core.QuotaSource;
import pumicekeel.peers.Membership;
import pumicekeel.peers.PeerService;
import pumicekeel.quota.QuotaExchange;
import pumicekeel.quota.QuotaSettings;

/** Connects the pools' tenants to the fleet's quota exchange, whose datagrams use the members' socket. Event loop only. */
final class LentQuotas implements PeerService {

  private final QuotaExchange exchange;
  private final Map<String, List<String>> tenants = new HashMap<>();
  /** Incremented with each change of rates; a pool that has seen the current version gets no update. */
  private long version;

  LentQuotas(int self, int size, long epochMillis, long seed) {
    exchange =
        new QuotaExchange(QuotaSettings.DEFAULTS, self, size, epochMillis, seed, System.nanoTime());
  }

  /** Replaces the pools whose tenants take part. */
  void pools(Collection<ServicePool> pools) {
    Map<String, Double> quotas = new HashMap<>();
    tenants.clear();
    for (ServicePool pool : pools) {
      List<Tenant> limited =
          pool.settings().tenants().stream().filter(t -> t.quotaPerSecond() > 0).toList();
      tenants.put(pool.name(), limited.stream().map(Tenant::name).toList());
      limited.forEach(t -> quotas.put(key(pool.name(), t.name()), t.quotaPerSecond()));
    }
    exchange.setQuotas(quotas, System.nanoTime());
    version++;
  }

  private static String key(String pool, String tenant) {
    return pool + '\n' + tenant;
  }

  /** Returns the source of one pool's rates. */
  QuotaSource of(String pool) {
    return new QuotaSource() {
      private long seenVersion;

      @Override
      public Map<String, Double> requestArrived(String tenant, long now) {
        long at = System.nanoTime();
        exchange.recordRequests(key(pool, tenant), 1, at);
        version += exchange.ratesChanged(at) ? 1 : 0;
        if (seenVersion == version) {
          return null;
        }
        seenVersion = version;
        Map<String, Double> rates = new HashMap<>();
        tenants
            .getOrDefault(pool, List.of())
            .forEach(t -> rates.put(t, Math.max(MIN_RATE, exchange.rate(key(pool, t), at))));
        return rates;
      }
    };
  }

  /** Lowest rate passed to a module, in requests per second: 0 would mean that the tenant has no quota. */
  private static final double MIN_RATE = 1e-6;

  /** Returns the requests per second of a tenant's quota that this instance may admit now. */
  double rate(String pool, String tenant) {
    return exchange.rate(key(pool, tenant), System.nanoTime());
  }

  // Datagrams

  @Override
  public boolean accepts(byte[] bytes) {
    return QuotaExchange.isQuotaMessage(bytes);
  }

  @Override
  public List<Membership.OutgoingDatagram> receive(int from, byte[] bytes, long now) {
    return out(exchange.receive(from, bytes, now));
  }

  @Override
  public List<Membership.OutgoingDatagram> tick(long now, BitSet live) {
    return out(exchange.tick(now, live));
  }

  @Override
  public long nextAt() {
    return exchange.nextTickAt();
  }

  private static List<Membership.OutgoingDatagram> out(List<QuotaExchange.OutgoingDatagram> out) {
    return out.stream()
        .map(o -> new Membership.OutgoingDatagram(o.to(), o.bytes()))
        .toList();
  }
}
