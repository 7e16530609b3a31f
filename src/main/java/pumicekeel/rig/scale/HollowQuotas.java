package pumicekeel.rig.scale;

import java.util.BitSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import pumicekeel.peers.Membership;
import pumicekeel.peers.PeerService;
import pumicekeel.quota.QuotaExchange;
import pumicekeel.quota.QuotaSettings;

/**
 * A hollow balancer's exchange of quotas on its members' socket, with made-up demand: at each of its ticks some tenants ask for as
 * much as twice the member's even share, so parts are borrowed and returned all the time. Only on its loop.
 */
final class HollowQuotas implements PeerService {

  /** Of each tenant, over the whole fleet. */
  private static final double QUOTA_PER_SECOND = 1_000;
  /** One tenant in so many has demand here at a time. */
  private static final int ACTIVE_EVERY = 20;
  /** A tenant's demand moves elsewhere after so many ticks, some 2.5 s. */
  private static final int TICKS_OF_DEMAND = 10;

  private final QuotaExchange exchange;
  private final int tenants;
  private final int members;
  private final SplittableRandom random;
  private long ticks;
  private int firstActive;
  private long sentDatagrams;
  private long sentBytes;

  HollowQuotas(int self, int members, int tenants, long seed) {
    this.members = members;
    this.tenants = tenants;
    random = new SplittableRandom(seed);
    long now = System.nanoTime();
    exchange = new QuotaExchange(
        QuotaSettings.DEFAULTS, self, members, System.currentTimeMillis(), seed, now);
    Map<String, Double> quotas = new HashMap<>();
    for (int tenant = 0; tenant < tenants; tenant++) {
      quotas.put(ConfigurationGenerator.tenantName(tenant), QUOTA_PER_SECOND);
    }
    exchange.setQuotas(quotas, now);
  }

  long sentDatagrams() {
    return sentDatagrams;
  }

  long sentBytes() {
    return sentBytes;
  }

  @Override
  public boolean accepts(byte[] bytes) {
    return QuotaExchange.isQuotaMessage(bytes);
  }

  @Override
  public List<Membership.OutgoingDatagram> receive(int from, byte[] bytes, long now) {
    return counted(exchange.receive(from, bytes, now));
  }

  @Override
  public List<Membership.OutgoingDatagram> tick(long now, BitSet live) {
    demand(now);
    return counted(exchange.tick(now, live));
  }

  private void demand(long now) {
    if (ticks++ % TICKS_OF_DEMAND == 0) {
      firstActive = random.nextInt(ACTIVE_EVERY);
    }
    double share = QUOTA_PER_SECOND / members;
    for (int tenant = firstActive; tenant < tenants; tenant += ACTIVE_EVERY) {
      exchange.recordRequests(
          ConfigurationGenerator.tenantName(tenant), random.nextDouble() * share, now);
    }
  }

  private List<Membership.OutgoingDatagram> counted(List<QuotaExchange.OutgoingDatagram> out) {
    for (QuotaExchange.OutgoingDatagram one : out) {
      sentDatagrams++;
      sentBytes += one.bytes().length;
    }
    return out.stream()
        .map(o -> new Membership.OutgoingDatagram(o.to(), o.bytes()))
        .toList();
  }

  @Override
  public long nextAt() {
    return exchange.nextTickAt();
  }
}
