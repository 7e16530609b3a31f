package pumicekeel.lab.policy;

import pumicekeel.Balancer.ListedUpstream;

/** State that a textbook policy keeps for each upstream. */
final class UpstreamState {

  /** Time constant of the moving average of latencies; Finagle's peak EWMA uses ten seconds. */
  private static final double DECAY_TIME_NANOS = 10e9;

  final long id;
  ListedUpstream entry;
  int inFlight;
  private double latency;
  private long updatedAt;

  UpstreamState(long id) {
    this.id = id;
  }

  /** Updates the moving average ("peak EWMA"): a higher latency counts at once, a lower one gradually. */
  void recordLatency(long latencyNanos, long now) {
    double retained = Math.exp(-Math.max(0, now - updatedAt) / DECAY_TIME_NANOS);
    latency =
        latencyNanos > latency ? latencyNanos : latency * retained + latencyNanos * (1 - retained);
    updatedAt = now;
  }

  /** Returns the expected latency with one more request. An upstream without measurements is cheap, so that it is tried. */
  double cost(long now) {
    double decayed = latency * Math.exp(-Math.max(0, now - updatedAt) / DECAY_TIME_NANOS);
    return (decayed + 1) * (inFlight + 1);
  }
}
