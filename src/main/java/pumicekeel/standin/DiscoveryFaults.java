package pumicekeel.standin;

import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicLong;

/** How the calls and watches of a stand-in discovery fail, and what it has written to whom. For any thread. */
public final class DiscoveryFaults {

  /**
   * The terms on which it works.
   *
   * @param turnMillis of the service that a call takes; calls wait in turn
   * @param patienceMillis after which a waiting call is answered 503; 0 for never
   * @param refusalsTakeTurns whether a call that has waited too long is refused in its turn, and takes the service's time
   * @param quietAfterList whether each watch falls silent after its first list
   * @param failing what becomes of calls that fail, and of how many of a thousand
   * @param seed of the choice
   */
  public record Terms(
      int turnMillis,
      int patienceMillis,
      boolean refusalsTakeTurns,
      boolean quietAfterList,
      CallFate failing,
      int perMille,
      long seed) {}

  /** A whole list that was written, by System.nanoTime. */
  public record Written(String caller, long index, long atNanos) {}

  private final Terms terms;
  private final Random random;
  private final Map<String, CallFate> byCaller = new ConcurrentHashMap<>();
  private final List<Written> written = new CopyOnWriteArrayList<>();
  private final AtomicLong calls = new AtomicLong();
  private volatile boolean down;

  public DiscoveryFaults(Terms terms) {
    this.terms = terms;
    random = new Random(terms.seed());
  }

  /** None at all. */
  public static DiscoveryFaults none() {
    return new DiscoveryFaults(new Terms(0, 0, false, false, CallFate.RESPOND, 0, 0));
  }

  /** All calls of this caller, by its Host header, end so. */
  public void always(String caller, CallFate fate) {
    byCaller.put(caller, fate);
  }

  /** The whole lists that were written. */
  public List<Written> written() {
    return written;
  }

  Terms terms() {
    return terms;
  }

  boolean quietAfterList() {
    return terms.quietAfterList();
  }

  void down(boolean on) {
    down = on;
  }

  void written(String caller, long index) {
    written.add(new Written(caller, index, System.nanoTime()));
  }

  /** Calls that came so far, whatever became of them. */
  public long calls() {
    return calls.get();
  }

  CallFate fateOf(String caller) {
    calls.incrementAndGet();
    if (down) {
      return CallFate.RESET;
    }
    CallFate own = byCaller.get(caller);
    synchronized (random) {
      boolean fails = random.nextInt(1_000) < terms.perMille();
      return own != null ? own : fails ? terms.failing() : CallFate.RESPOND;
    }
  }
}
