package pumicekeel.peers;

/** What is held of a member. Of two words of the same incarnation the later of these counts (SWIM, section 4.2). */
public enum State {
  UNKNOWN,
  ALIVE,
  SUSPECT,
  DEAD
}
