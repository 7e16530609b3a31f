package pumicekeel.rig.soak;

import pumicekeel.standin.CallHandling;
import pumicekeel.standin.DiscoveryFaults.Settings;

/** How upstream lists fail to reach balancers that request them. In all cases but OUTAGE each watch goes silent after its first list. */
public enum ListTrouble {
  /** Discovery takes a quarter of a second for each call. */
  SLOW(250, 0, false, CallHandling.RESPOND, 0),
  /** Half of the lists stop half-way while the connection stays open. */
  CUT(5, 0, false, CallHandling.CUT, 500),
  /** Six in ten calls are answered 503 at once. */
  REFUSED(5, 0, false, CallHandling.REFUSE, 600),
  /** Seven in ten calls are reset. */
  RESET(5, 0, false, CallHandling.RESET, 700),
  /** The first balancer's calls are accepted and never answered. */
  IGNORED(5, 0, false, CallHandling.IGNORE, 0),
  /** Discovery needs 5.6 s to serve one list to every balancer; calls that wait for more than 2 s are answered 503. */
  CROWDED(Constants.SHARED_CAPACITY, Constants.MAX_WAIT_MILLIS, false, CallHandling.RESPOND, 0),
  /** The same capacity, but a call waits until its caller gives up. */
  CROWDED_PATIENT(Constants.SHARED_CAPACITY, 0, false, CallHandling.RESPOND, 0),
  /** Like CROWDED, but a rejected call takes the same service time as a served one. */
  CROWDED_COSTLY(
      Constants.SHARED_CAPACITY, Constants.MAX_WAIT_MILLIS, true, CallHandling.RESPOND, 0),
  /** Watches work; discovery is down for some time and resets all calls. */
  OUTAGE(5, 0, false, CallHandling.RESPOND, 0);

  private static final class Constants {
    /** In place of a service time: a call takes {@link #ALL_LISTS_MILLIS} divided by the number of balancers. */
    private static final int SHARED_CAPACITY = -1;

    private static final int ALL_LISTS_MILLIS = 5_600;
    private static final int MAX_WAIT_MILLIS = 2_000;
  }

  private final int serviceMillis;
  private final int maxWaitMillis;
  private final boolean rejectionsTakeServiceTime;
  private final CallHandling failure;
  private final int perMille;

  ListTrouble(
      int serviceMillis,
      int maxWaitMillis,
      boolean rejectionsTakeServiceTime,
      CallHandling failure,
      int perMille) {
    this.serviceMillis = serviceMillis;
    this.maxWaitMillis = maxWaitMillis;
    this.rejectionsTakeServiceTime = rejectionsTakeServiceTime;
    this.failure = failure;
    this.perMille = perMille;
  }

  /** Returns the timing and faults of a discovery service that is used by this number of balancers. */
  Settings discoverySettings(int balancers, long seed) {
    int millis = serviceMillis == Constants.SHARED_CAPACITY
        ? Constants.ALL_LISTS_MILLIS / balancers
        : serviceMillis;
    return new Settings(
        millis, maxWaitMillis, rejectionsTakeServiceTime, this != OUTAGE, failure, perMille, seed);
  }
}
