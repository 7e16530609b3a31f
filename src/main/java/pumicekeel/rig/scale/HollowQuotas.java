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
 * A hollow balancer's quota exchange on its member's socket, with synthetic demand: at each tick some tenants have a demand of about
 * twice the member's even share, so quota is borrowed and returned all the time. To be used on its loop only.
 */
final class HollowQuotas implements PeerService {

  /** Quota of each tenant over the whole fleet. */
  private static final double QUOTA_PER_SECOND = 1_000;
  /** One tenant out of this many has demand at this member at a time. */
  private static final int ACTIVE_INTERVAL = 20;
  /** Ticks after which the demand moves to other tenants, about 2.5 s. */
  private static final int DEMAND_TICKS = 10;

  private final QuotaExchange exchange;
  private final int tenants;
  private final int members;
  private final SplittableRandom random;
  private long ticks;
  private int firstActiveTenant;
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
    return count(exchange.receive(from, bytes, now));
  }

  @Override
  public List<Membership.OutgoingDatagram> tick(long now, BitSet live) {
    recordDemand(now);
    return count(exchange.tick(now, live));
  }

  private void recordDemand(long now) {
    if (ticks++ % DEMAND_TICKS == 0) {
      firstActiveTenant = random.nextInt(ACTIVE_INTERVAL);
    }
    double share = QUOTA_PER_SECOND / members;
    for (int tenant = firstActiveTenant; tenant < tenants; tenant += ACTIVE_INTERVAL) {
      exchange.recordRequests(
          ConfigurationGenerator.tenantName(tenant), random.nextDouble() * share, now);
    }
  }

  private List<Membership.OutgoingDatagram> count(List<QuotaExchange.OutgoingDatagram> datagrams) {
    for (QuotaExchange.OutgoingDatagram datagram : datagrams) {
      sentDatagrams++;
      sentBytes += datagram.bytes().length;
    }
    return datagrams.stream()
        .map(datagram -> new Membership.OutgoingDatagram(datagram.to(), datagram.bytes()))
        .toList();
  }

  @Override
  public long nextAt() {
    return exchange.nextTickAt();
  }
}
