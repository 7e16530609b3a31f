package pumicekeel.core;

import java.util.Map;

/**
 * Shares tenants' quotas among the members of a fleet: notified of each request, returns what this instance may admit.
 */
public interface QuotaSource {

  /** Notifies of a request of this tenant; returns rates per second by tenant if they may have changed, else null. */
  Map<String, Double> requestArrived(String tenant, long now);
}
