package pumicekeel.rig.soak;

import pumicekeel.standin.CallFate;
import pumicekeel.standin.DiscoveryFaults.Terms;

/** How lists of upstreams fail to arrive at balancers that ask for them. In all but one each watch falls silent after its first list. */
public enum ListTrouble {
  /** Each call takes the service a quarter of a second. */
  SLOW(250, 0, false, CallFate.RESPOND, 0),
  /** Half of the lists stop half way, with the connection open. */
  CUT(5, 0, false, CallFate.CUT, 500),
  /** Six calls in ten are answered 503 at once. */
  REFUSED(5, 0, false, CallFate.REFUSE, 600),
  /** Seven calls in ten are reset. */
  RESET(5, 0, false, CallFate.RESET, 700),
  /** The first balancer's calls are accepted and never answered. */
  IGNORED(5, 0, false, CallFate.IGNORE, 0),
  /** All balancers together could have a list every 5.6 s; calls that wait for over 2 s are answered 503. */
  CROWDED(Figures.SHARED, Figures.PATIENCE_MILLIS, false, CallFate.RESPOND, 0),
  /** The same, and a call waits for as long as its caller likes. */
  CROWDED_PATIENT(Figures.SHARED, 0, false, CallFate.RESPOND, 0),
  /** The same as the first, and a call that is turned away has taken the service its turn. */
  CROWDED_COSTLY(Figures.SHARED, Figures.PATIENCE_MILLIS, true, CallFate.RESPOND, 0),
  /** Watches live; discovery is down for a while and resets all calls. */
  OUTAGE(5, 0, false, CallFate.RESPOND, 0);

  private static final class Figures {
    /** The turn of a call is such that a list for each balancer takes discovery {@link #ALL_LISTS_MILLIS}. */
    private static final int SHARED = -1;

    private static final int ALL_LISTS_MILLIS = 5_600;
    private static final int PATIENCE_MILLIS = 2_000;
  }

  private final int turnMillis;
  private final int patienceMillis;
  private final boolean refusalsTakeTurns;
  private final CallFate failing;
  private final int perMille;

  ListTrouble(
      int turnMillis,
      int patienceMillis,
      boolean refusalsTakeTurns,
      CallFate failing,
      int perMille) {
    this.turnMillis = turnMillis;
    this.patienceMillis = patienceMillis;
    this.refusalsTakeTurns = refusalsTakeTurns;
    this.failing = failing;
    this.perMille = perMille;
  }

  /** The terms of a discovery that so many balancers ask. */
  Terms terms(int balancers, long seed) {
    int turn = turnMillis == Figures.SHARED ? Figures.ALL_LISTS_MILLIS / balancers : turnMillis;
    return new Terms(
        turn, patienceMillis, refusalsTakeTurns, this != OUTAGE, failing, perMille, seed);
  }
}
