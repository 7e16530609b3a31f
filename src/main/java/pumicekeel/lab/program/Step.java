package pumicekeel.lab.program;

/**
 * One thing that happens in a run.
 *
 * @param at nanoseconds from the run's start
 * @param which the request, the upstream, or how many
 * @param nanos how long it lasts, where that is said
 */
record Step(long at, Kind kind, int which, long nanos) {

  /** What can happen; the order counts for nothing. */
  enum Kind {
    /** A client asks; its scenario depends on the seed and its number alone. */
    ASK,
    /** Many ask within a moment. */
    BURST,
    /** Many clients connect and say nothing, or little. */
    CROWD,
    /** An upstream drains, and is gone some seconds later. */
    DRAIN,
    /** A new upstream starts, cold. */
    FRESH,
    /** An upstream takes requests and says nothing. */
    HANG,
    /** It refuses connects, and those that it has are reset. */
    CRASH,
    /** It is cut off: nothing comes up, and what is open stays open. */
    CUT_OFF,
    /** It turns away all that comes. */
    FULL,
    /** It is ten times as slow. */
    SLOW,
    /** It closes connections that stand idle, at once. */
    IMPATIENT,
    /** Discovery resets its watch. */
    WATCH_BREAKS,
    /** Discovery says nothing for a while. */
    WATCH_SILENT,
    /** It reads its files again, which say something else. */
    RELOAD,
    /** The balancer is told to stop. */
    STOP
  }

  @Override
  public String toString() {
    return String.format(
        "%8.3f ms  %s %d%s",
        at / 1e6, kind, which, nanos == 0 ? "" : String.format(" for %.0f ms", nanos / 1e6));
  }
}
