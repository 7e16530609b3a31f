package pumicekeel.lab.world;

/**
 * A fault that a world injects. Times and durations are in seconds, times counted from the start of the run; shares are fractions of the
 * fleet from 0 to 1. The figures in {@link Worlds} come from the ranges that the operators have observed in service.
 */
public sealed interface FaultSpec {

  /** Multiplies the clients' request rate. */
  record Burst(double start, double end, double factor) implements FaultSpec {}

  /** Upstreams crash at the same time and return cold under the same ids. */
  record Crash(double start, double share, double downtime) implements FaultSpec {}

  /** Upstreams process work slower by a factor. */
  record Slow(double start, double share, double factor, double duration) implements FaultSpec {}

  /** Upstreams end a share of their requests immediately with an error although discovery lists them as ready. */
  record Failing(double start, double share, double errorShare, double duration)
      implements FaultSpec {}

  /** Responses of upstreams are lost while requests still reach them: a partition in one direction. */
  record ResponseLoss(double start, double share, double duration) implements FaultSpec {}

  /** All upstreams of a zone crash and return cold. */
  record ZoneOutage(double start, int zone, double duration) implements FaultSpec {}

  /** Upstreams are drained, stopped and replaced by cold ones with new ids; {@code batchShare} of the fleet at a time. */
  record Deploy(double start, double duration, double share, double batchShare)
      implements FaultSpec {}

  /** Drains reduce the fleet to a share of its size; the clients' request rate shrinks with it. */
  record Shrink(double start, double duration, double remainingShare) implements FaultSpec {}

  /** Balancers are restarted, {@code batchShare} of them at a time, and start with the list that they had. */
  record Restart(double start, double duration, double share, double batchShare)
      implements FaultSpec {}

  /** Balancers crash at the same time; the front layer detects it with a delay. */
  record BalancerCrash(double start, double share, double downtime) implements FaultSpec {}

  /** List updates arrive with this maximum delay. */
  record ListDelay(double start, double end, double delay) implements FaultSpec {}

  /** Clients retry immediately up to {@code maxRetries} times and ignore Retry-After. */
  record RetryStorm(double start, double end, int maxRetries) implements FaultSpec {}
}
