package pumicekeel.route;

import java.util.List;
import java.util.Map;
import pumicekeel.call.RequestAttributes;

/**
 * One route of the operator file: what it asks of a request, and where it sends what it takes. An empty list, a null or
 * an empty map asks nothing.
 *
 * @param order its place in the file, from 0; the first route that takes a request has it
 * @param hosts canonical names, {@code *.} for any one or more labels in front of a suffix
 * @param headers by lower-case name, the wanted value, or {@link #PRESENT} for any
 * @param fallback the pool for while the first has no ready upstream, or null
 */
public record Route(
    int order,
    String name,
    String listener,
    List<String> hosts,
    PathPattern path,
    String className,
    String method,
    Map<String, String> headers,
    Split split,
    String fallback) {

  /** A header that only has to be there. */
  public static final String PRESENT = "*";

  /** Whether all but host and path fit, which the index has seen to. */
  boolean takesRest(RequestAttributes f) {
    return (listener == null || listener.equals(f.listener()))
        && (className == null || className.equals(f.className()))
        && (method == null || method.equals(f.method()))
        && takesHeaders(f);
  }

  private boolean takesHeaders(RequestAttributes f) {
    if (headers.isEmpty()) {
      return true;
    }
    for (Map.Entry<String, String> wanted : headers.entrySet()) {
      if (!takesHeader(wanted.getValue(), f.header(wanted.getKey()))) {
        return false;
      }
    }
    return true;
  }

  private static boolean takesHeader(String wanted, String sent) {
    return sent != null && (wanted == PRESENT || wanted.equals(PRESENT) || wanted.equals(sent));
  }

  /** Why this route does not take a request whose host and path are canonical; null where it does. */
  String objection(RequestAttributes f, String host, String path) {
    if (listener != null && !listener.equals(f.listener())) {
      return "listener: wanted " + listener + ", got " + f.listener();
    }
    if (!hosts.isEmpty() && hosts.stream().noneMatch(h -> hostTakes(h, host))) {
      return "host: wanted " + String.join(" or ", hosts) + ", got "
          + (host == null ? "none" : host);
    }
    if (!this.path.takes(path)) {
      return "path: wanted " + this.path + ", got " + path;
    }
    if (className != null && !className.equals(f.className())) {
      return "class: wanted " + className + ", got "
          + (f.className() == null ? "none" : f.className());
    }
    if (method != null && !method.equals(f.method())) {
      return "method: wanted " + method + ", got " + f.method();
    }
    for (Map.Entry<String, String> wanted : headers.entrySet()) {
      String sent = f.header(wanted.getKey());
      if (!takesHeader(wanted.getValue(), sent)) {
        return "header " + wanted.getKey() + ": wanted "
            + (wanted.getValue().equals(PRESENT) ? "any value" : wanted.getValue()) + ", got "
            + (sent == null ? "none" : sent);
      }
    }
    return null;
  }

  static boolean hostTakes(String wanted, String host) {
    return host != null
        && (wanted.startsWith("*.")
            ? host.length() > wanted.length() - 1 && host.endsWith(wanted.substring(1))
            : wanted.equals(host));
  }

  /** Whether this route, being earlier, leaves nothing for the other. */
  boolean covers(Route other) {
    return path.covers(other.path)
        && (listener == null || listener.equals(other.listener))
        && (className == null || className.equals(other.className))
        && (method == null || method.equals(other.method))
        && coversHosts(other)
        && headers.entrySet().stream()
            .allMatch(h -> h.getValue().equals(PRESENT)
                ? other.headers.containsKey(h.getKey())
                : h.getValue().equals(other.headers.get(h.getKey())));
  }

  private boolean coversHosts(Route other) {
    return hosts.isEmpty()
        || !other.hosts.isEmpty()
            && other.hosts.stream()
                .allMatch(theirs -> hosts.stream()
                    .anyMatch(ours -> ours.equals(theirs)
                        || ours.startsWith("*.")
                            && hostTakes(
                                ours, theirs.startsWith("*.") ? theirs.substring(2) : theirs)));
  }
}
