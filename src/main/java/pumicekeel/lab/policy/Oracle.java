package pumicekeel.lab.policy;

/** What no real balancer can see: the true state of an upstream, as it was a moment ago. */
public interface Oracle {

  /** Requests that it held, over its capacity when it was looked at; positive infinity for one that is down. */
  double crowd(long upstream);
}
