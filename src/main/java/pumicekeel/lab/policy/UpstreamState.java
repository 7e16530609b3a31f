package pumicekeel.lab.policy;

import pumicekeel.Balancer.Listed;

/** What a textbook policy keeps of an upstream. */
final class Peer {

  /** Weight of what is old in the mean of latencies after this time (Finagle's peak EWMA: ten seconds). */
  private static final double DECAY_NANOS = 10e9;

  final long id;
  Listed listed;
  int out;
  private double latency;
  private long at;

  Peer(long id) {
    this.id = id;
  }

  /** A peak counts at once, what is better only slowly: "peak EWMA". */
  void learn(long nanos, long now) {
    double keep = Math.exp(-Math.max(0, now - at) / DECAY_NANOS);
    latency = nanos > latency ? nanos : latency * keep + nanos * (1 - keep);
    at = now;
  }

  /** Expected latency with one more request on it; one that nobody knows is cheap, so that it is tried. */
  double cost(long now) {
    double known = latency * Math.exp(-Math.max(0, now - at) / DECAY_NANOS);
    return (known + 1) * (out + 1);
  }
}
