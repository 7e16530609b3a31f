package pumicekeel.lab.policy;

/** Access to the true state of upstreams at the last sample, which no real balancer has. */
public interface Oracle {

  /** Returns the number of requests that an upstream held relative to its capacity; positive infinity if it was down. */
  double crowd(long upstream);
}
