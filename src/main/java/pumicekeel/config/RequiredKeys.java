package pumicekeel.config;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

/**
 * Checks that a re-read configuration has every key of the previous one. At start-up an absent key gets its default, but a
 * key that disappears at a reload indicates a truncated or wrongly written file.
 */
final class RequiredKeys {

  /** Keys that hold current lists, which may be shorter or absent. */
  private static final Set<String> OPTIONAL = Set.of("known", "peers", "peers_all", "peer_listen");

  private static final String KIND_KEY = "effect";

  private RequiredKeys() {}

  /** Returns the path of the first key that {@code next} lacks, or null if it has all of them. */
  static String firstMissing(Map<?, ?> before, Map<?, ?> next) {
    return firstMissing("", before, next);
  }

  private static String firstMissing(String path, Map<?, ?> before, Map<?, ?> next) {
    for (Map.Entry<?, ?> entry : before.entrySet()) {
      Object now = next.get(entry.getKey());
      String name = path + entry.getKey();
      if (entry.getValue() == null || OPTIONAL.contains(name)) {
        continue;
      }
      if (now == null) {
        return name;
      }
      String within = null;
      if (entry.getValue() instanceof Map<?, ?> was && now instanceof Map<?, ?> is) {
        within = firstMissing(name + ".", was, is);
      } else if (entry.getValue() instanceof List<?> was && now instanceof List<?> is) {
        within = firstMissing(name, was, is);
      }
      if (within != null) {
        return within;
      }
    }
    return null;
  }

  /** Requires of an element the keys common to all previous elements of its kind or, if there were none, to all elements. */
  private static String firstMissing(String path, List<?> before, List<?> next) {
    for (int i = 0; i < next.size(); i++) {
      if (next.get(i) instanceof Map<?, ?> element) {
        List<Map<?, ?>> sameKind = new ArrayList<>();
        List<Map<?, ?>> all = new ArrayList<>();
        for (Object o : before) {
          if (o instanceof Map<?, ?> was) {
            all.add(was);
            if (Objects.equals(was.get(KIND_KEY), element.get(KIND_KEY))) {
              sameKind.add(was);
            }
          }
        }
        for (Object key : commonKeys(sameKind.isEmpty() ? all : sameKind)) {
          if (element.get(key) == null) {
            return path + "[" + i + "]." + key;
          }
        }
      }
    }
    return null;
  }

  private static Set<Object> commonKeys(List<Map<?, ?>> elements) {
    Set<Object> keys = new HashSet<>();
    for (int i = 0; i < elements.size(); i++) {
      Map<?, ?> element = elements.get(i);
      if (i == 0) {
        keys.addAll(element.keySet());
      }
      keys.removeIf(key -> element.get(key) == null);
    }
    return keys;
  }
}
