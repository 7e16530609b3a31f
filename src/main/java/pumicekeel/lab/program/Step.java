package pumicekeel.lab.program;

/**
 * One event of a run.
 *
 * @param atNanos time from the start of the run
 * @param kind what happens
 * @param target number of the request, upstream or burst, or a size, depending on the kind
 * @param durationNanos how long it lasts, or 0 if the kind has no duration
 */
record Step(long atNanos, Kind kind, int target, long durationNanos) {

  /** The kinds of event; nothing depends on their order. */
  enum Kind {
    /** A client sends a request; its scenario depends on the seed and its number alone. */
    REQUEST,
    /** Clients send many requests at once. */
    BURST,
    /** Many clients connect and send nothing, or only the start of a request. */
    IDLE_CLIENTS,
    /** An upstream drains and ends some seconds later. */
    DRAIN,
    /** A new upstream starts, cold. */
    START_UPSTREAM,
    /** An upstream executes requests and does not answer. */
    HANG,
    /** An upstream resets its connections and refuses new ones. */
    CRASH,
    /** An upstream is cut off from the network: connects get no reply, and open connections stay open. */
    ISOLATE,
    /** An upstream rejects all requests. */
    REJECT,
    /** An upstream takes ten times as long. */
    SLOW_DOWN,
    /** An upstream closes its idle connections at once. */
    CLOSE_IDLE,
    /** Discovery resets its watches. */
    RESET_WATCHES,
    /** Discovery sends nothing for a while. */
    SILENCE_WATCHES,
    /** The balancer reloads its files, which have changed. */
    RELOAD,
    /** The balancer is told to stop. */
    STOP
  }

  @Override
  public String toString() {
    return String.format(
        "%8.3f ms  %s %d%s",
        atNanos / 1e6,
        kind,
        target,
        durationNanos == 0 ? "" : String.format(" for %.0f ms", durationNanos / 1e6));
  }
}
