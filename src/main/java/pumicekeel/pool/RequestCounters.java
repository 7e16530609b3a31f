package pumicekeel.pool;

import java.util.Map;
import java.util.TreeMap;

/** Counts the final outcomes of a process's requests, by pool and class; bounded in size, since pools and classes are configured. */
public final class RequestCounters {

  /** How a request ended for its client; LEFT if the client closed its connection or stopped waiting first. */
  public enum End {
    SERVED,
    REFUSED,
    FAILED,
    LEFT
  }

  private final Map<String, long[]> counts = new TreeMap<>();
  private long noRoute;
  private long malformed;
  private long poolFull;

  public void countEnd(String pool, String className, End end) {
    counts
        .computeIfAbsent(pool + " " + className, k -> new long[End.values().length])[
        end.ordinal()]++;
  }

  /** Rejected with 404. */
  public void countNoRoute() {
    noRoute++;
  }

  /** Rejected with 400 for its host or path. */
  public void countMalformed() {
    malformed++;
  }

  /** Rejected because its pool was full. */
  public void countPoolFull() {
    poolFull++;
  }

  public long count(String pool, String className, End end) {
    long[] row = counts.get(pool + " " + className);
    return row == null ? 0 : row[end.ordinal()];
  }

  public long noRouteCount() {
    return noRoute;
  }

  public long poolFullCount() {
    return poolFull;
  }

  /** Returns the counters as one log line. */
  public String logLine() {
    StringBuilder out = new StringBuilder(
        "no-route " + noRoute + " malformed " + malformed + " no-room " + poolFull);
    counts.forEach((key, n) -> out.append("; ")
        .append(key)
        .append(" served ")
        .append(n[0])
        .append(" refused ")
        .append(n[1])
        .append(" failed ")
        .append(n[2])
        .append(" left ")
        .append(n[3]));
    return out.toString();
  }
}
