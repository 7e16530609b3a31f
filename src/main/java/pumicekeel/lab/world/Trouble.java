package pumicekeel.lab.world;

/**
 * What goes wrong in a world, by seconds from its start and parts of its fleet. The brief's ranges ("Seen in service") are the source
 * of the figures in {@link Worlds}.
 */
public sealed interface Trouble {

  /** Clients ask so many times as much. */
  record Burst(double from, double to, double times) implements Trouble {}

  /** A part of the upstreams dies at once and is back cold under the same ids. */
  record Crash(double at, double part, double backAfter) implements Trouble {}

  /** A part of the upstreams runs so many times slower. */
  record Slow(double at, double part, double times, double lasts) implements Trouble {}

  /** A part of the upstreams ends this share of requests at once in errors: an upstream that lies about being well. */
  record Failing(double at, double part, double share, double lasts) implements Trouble {}

  /** What a part of the upstreams answers is not heard: a network cut one way. */
  record Mute(double at, double part, double lasts) implements Trouble {}

  /** A zone with all its upstreams is gone, and back cold. */
  record ZoneLost(double at, int zone, double lasts) implements Trouble {}

  /** A part of the upstreams is drained, ended and replaced by cold ones under new ids, so much of the fleet at a time. */
  record Deploy(double from, double lasts, double part, double atOnce) implements Trouble {}

  /** The fleet shrinks to a part by drains, and what clients ask for shrinks with it. */
  record Shrink(double from, double lasts, double to) implements Trouble {}

  /** A part of the balancers is restarted, so many at a time, and comes back with the list that it had. */
  record Restart(double from, double lasts, double part, double atOnce) implements Trouble {}

  /** A part of the balancers dies at once; the front layer finds out late. */
  record BalancerCrash(double at, double part, double backAfter) implements Trouble {}

  /** News of the list take so long. */
  record ListLate(double from, double to, double seconds) implements Trouble {}

  /** Clients ask again up to so many times whatever they were told, without waiting. */
  record RetryStorm(double from, double to, int tries) implements Trouble {}
}
