package pumicekeel.discovery;

/** How a call to discovery failed. */
public enum CallFailure {
  /** No connection, or one that failed before a response, shortly after the call was made. */
  UNREACHABLE,
  /** This process could not make the call, for lack of a descriptor, a port or memory: tells nothing of discovery. */
  NOT_MADE,
  /** The connect timed out, although the kernel retransmitted it. */
  UNCONNECTED,
  /**
   * Any response other than a list, shortly after the call was made; a service that is down may answer so, and so may an overloaded one.
   */
  TURNED_AWAY,
  /** As {@link #TURNED_AWAY}, or the connection failed before a response, after the call had waited in the service's queue. */
  TURNED_AWAY_LATE,
  /** Accepted, but not answered within the time limit. */
  IGNORED,
  /** A list began and did not complete, or was malformed. */
  CUT,
  /** Discovery ended a working watch. */
  ENDED,
  /** A working watch received nothing more. */
  SILENT
}
