package pumicekeel.lab.program;

/**
 * One event of a run.
 *
 * @param at time from the start of the run
 * @param kind what happens
 * @param which number of the request or upstream, or a size, depending on the kind
 * @param nanos how long it lasts, or 0 if the kind has no duration
 */
record Step(long at, Kind kind, int which, long nanos) {

  /** The kinds of event; nothing depends on their order. */
  enum Kind {
    /** A client sends a request; its scenario depends on the seed and its number alone. */
    ASK,
    /** Clients send many requests at once. */
    BURST,
    /** Many clients connect and send nothing, or only the start of a request. */
    CROWD,
    /** An upstream drains and ends some seconds later. */
    DRAIN,
    /** A new upstream starts, cold. */
    FRESH,
    /** An upstream executes requests and does not answer. */
    HANG,
    /** An upstream resets its connections and refuses new ones. */
    CRASH,
    /** An upstream is cut off from the network: connects get no reply, and open connections stay open. */
    CUT_OFF,
    /** An upstream rejects all requests. */
    FULL,
    /** An upstream takes ten times as long. */
    SLOW,
    /** An upstream closes its idle connections at once. */
    IMPATIENT,
    /** Discovery resets its watches. */
    WATCH_BREAKS,
    /** Discovery sends nothing for a while. */
    WATCH_SILENT,
    /** The balancer reloads its files, which have changed. */
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
