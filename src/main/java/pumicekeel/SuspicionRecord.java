package pumicekeel;

/** What became of answers that were suspected to have stopped: whether they came in the end. Recent ones count most. */
final class SuspicionRecord {

  private static final double DECAY = 0.9;
  private static final double MIN_STOPPED = 1;
  private static final double MAX_CAME_SHARE = 0.1;

  private double came;
  private double stopped;

  /** Records that a suspected answer came after all. */
  void answerCame() {
    came = came * DECAY + 1;
    stopped *= DECAY;
  }

  /** Records that a suspected answer had stopped. */
  void answerStopped() {
    stopped = stopped * DECAY + 1;
    came *= DECAY;
  }

  /** Returns whether a suspected answer will most likely never come. */
  boolean mostlyStopped() {
    return stopped >= MIN_STOPPED && came <= MAX_CAME_SHARE * (came + stopped);
  }
}
