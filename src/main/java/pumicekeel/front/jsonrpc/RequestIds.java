package pumicekeel.front.jsonrpc;

/**
 * Ids of calls as requests: a client's own id counts on its connection only. They differ between instances by name and
 * between starts by time, so that logs and journals of a fleet can be laid side by side.
 */
public final class RequestIds {

  private final String prefix;
  private long last;

  /** Ids of one process; {@code startedMillis} is the wall clock's reading at its start. */
  public RequestIds(String instance, long startedMillis) {
    prefix = instance + "-" + Long.toString(startedMillis, 36) + "-";
  }

  /** One that was never given before. On the loop. */
  String next() {
    return prefix + Long.toString(++last, 36);
  }
}
