package pumicekeel.lab.world;

/**
 * A fault of a world and when it strikes: seconds from the start of the run, parts of its fleet from 0 to 1. The brief's ranges ("Seen in service") are the source
 * of the figures in {@link Worlds}.
 */
public sealed interface FaultSpec {

  /** Clients ask so many times as much. */
  record Burst(double from, double to, double times) implements FaultSpec {}

  /** A part of the upstreams dies at once and is back cold under the same ids. */
  record Crash(double at, double part, double backAfter) implements FaultSpec {}

  /** A part of the upstreams runs so many times slower. */
  record Slow(double at, double part, double times, double lasts) implements FaultSpec {}

  /** A part of the upstreams ends this share of requests at once in errors: an upstream that lies about being well. */
  record Failing(double at, double part, double share, double lasts) implements FaultSpec {}

  /** What a part of the upstreams answers is not heard: a network cut one way. */
  record Mute(double at, double part, double lasts) implements FaultSpec {}

  /** A zone with all its upstreams is gone, and back cold. */
  record ZoneLost(double at, int zone, double lasts) implements FaultSpec {}

  /** A part of the upstreams is drained, ended and replaced by cold ones under new ids, so much of the fleet at a time. */
  record Deploy(double from, double lasts, double part, double atOnce) implements FaultSpec {}

  /** The fleet shrinks to a part by drains, and what clients ask for shrinks with it. */
  record Shrink(double from, double lasts, double to) implements FaultSpec {}

  /** A part of the balancers is restarted, so many at a time, and comes back with the list that it had. */
  record Restart(double from, double lasts, double part, double atOnce) implements FaultSpec {}

  /** A part of the balancers dies at once; the front layer finds out late. */
  record BalancerCrash(double at, double part, double backAfter) implements FaultSpec {}

  /** News of the list take so long. */
  record ListLate(double from, double to, double seconds) implements FaultSpec {}

  /** Clients ask again up to so many times whatever they were told, without waiting. */
  record RetryStorm(double from, double to, int tries) implements FaultSpec {}
}
