package pumicekeel.front.jsonrpc;

/**
 * Generates request ids for calls, as a client's own id is unique only on its connection. The ids differ between instances by
 * name and between starts by time, so that logs and journals of a fleet can be combined.
 */
public final class RequestIds {

  private final String prefix;
  private long last;

  /** Creates the ids of one process; {@code startedMillis} is its start time by the wall clock. */
  public RequestIds(String instance, long startedMillis) {
    prefix = instance + "-" + Long.toString(startedMillis, 36) + "-";
  }

  /** Returns an id that was not used before. Event loop only. */
  String next() {
    return prefix + Long.toString(++last, 36);
  }
}
