package pumicekeel.core;

import java.util.Map;

/** Where a fleet's members share tenants' quotas: told of each request, and says what this instance may admit. */
public interface QuotaSource {

  /** A request of this tenant has come; rates a second by tenant where they may have changed, else null. */
  Map<String, Double> requestArrived(String tenant, long now);
}
