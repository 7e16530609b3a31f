package pumicekeel.peers;

/** The state of a member. Of two updates with the same incarnation, the one with the later constant wins (SWIM, section 4.2). */
public enum State {
  UNKNOWN,
  ALIVE,
  SUSPECT,
  DEAD
}
