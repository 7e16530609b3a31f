package pumicekeel.standin;

import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicLong;

/** Faults of the calls and watches of a stand-in discovery, and a log of the lists that it sent. Thread-safe. */
public final class DiscoveryFaults {

  /**
   * Timing and faults of the service.
   *
   * @param serviceMillis time for which a call occupies the service; calls are served one at a time
   * @param maxWaitMillis time after which a waiting call is answered 503; 0 for never
   * @param refusalsTakeTime whether a call that has waited too long is refused only when it is served, and takes service time too
   * @param quietAfterList whether each watch sends nothing more after its first list
   * @param failing how failing calls are handled
   * @param perMille how many calls of a thousand fail
   * @param seed seed of the choice of failing calls
   */
  public record Settings(
      int serviceMillis,
      int maxWaitMillis,
      boolean refusalsTakeTime,
      boolean quietAfterList,
      CallHandling failing,
      int perMille,
      long seed) {}

  /** A list update that was sent, with the time by System.nanoTime. */
  public record SentList(String caller, long index, long atNanos) {}

  private final Settings settings;
  private final Random random;
  private final Map<String, CallHandling> handlingByCaller = new ConcurrentHashMap<>();
  private final List<SentList> written = new CopyOnWriteArrayList<>();
  private final AtomicLong calls = new AtomicLong();
  private volatile boolean down;

  public DiscoveryFaults(Settings settings) {
    this.settings = settings;
    random = new Random(settings.seed());
  }

  /** Returns an object that injects no faults. */
  public static DiscoveryFaults none() {
    return new DiscoveryFaults(new Settings(0, 0, false, false, CallHandling.RESPOND, 0, 0));
  }

  /** Handles all calls of a caller, identified by its Host header, in this way instead of by the settings. */
  public void always(String caller, CallHandling handling) {
    handlingByCaller.put(caller, handling);
  }

  /** Returns the list updates that were sent, full lists and changes. */
  public List<SentList> written() {
    return written;
  }

  Settings settings() {
    return settings;
  }

  boolean quietAfterList() {
    return settings.quietAfterList();
  }

  void down(boolean on) {
    down = on;
  }

  void written(String caller, long index) {
    written.add(new SentList(caller, index, System.nanoTime()));
  }

  /** Returns the number of calls received so far, however they were handled. */
  public long calls() {
    return calls.get();
  }

  CallHandling handlingOf(String caller) {
    calls.incrementAndGet();
    if (down) {
      return CallHandling.RESET;
    }
    CallHandling own = handlingByCaller.get(caller);
    synchronized (random) {
      boolean fails = random.nextInt(1_000) < settings.perMille();
      return own != null ? own : fails ? settings.failing() : CallHandling.RESPOND;
    }
  }
}
