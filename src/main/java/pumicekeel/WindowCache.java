package pumicekeel;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/** The windows of keys and endpoints, by name. Empty and least recently used ones are dropped, to bound memory if most names are new. */
final class WindowCache {

  /** Maximum number of windows kept. */
  private static final int MAX_WINDOWS = 20_000;

  private final long windowNanos;
  private final Map<String, Window> windows = new LinkedHashMap<>(64, 0.75f, true);

  WindowCache(long windowNanos) {
    this.windowNanos = windowNanos;
  }

  /** Returns the window of a name, a new one if none is kept. */
  Window of(String name, long now) {
    Window w = windows.computeIfAbsent(name, k -> new Window(windowNanos, now));
    Iterator<Window> leastRecentlyUsed = windows.values().iterator();
    for (Window idle = leastRecentlyUsed.next();
        idle != w && (idle.empty(now) || windows.size() > MAX_WINDOWS);
        idle = leastRecentlyUsed.next()) {
      leastRecentlyUsed.remove();
    }
    return w;
  }

  int size() {
    return windows.size();
  }
}
