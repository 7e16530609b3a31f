package pumicekeel.route;

import java.util.List;
import java.util.Map;
import pumicekeel.call.RequestAttributes;

/**
 * One route of the operator file: its match conditions, and the pools that serve matching requests. An empty list, null or
 * an empty map is no condition.
 *
 * @param order its position in the file, from 0; the first matching route wins
 * @param hosts canonical names; {@code *.} stands for one or more labels in front of a suffix
 * @param headers required values by lower-case name; {@link #PRESENT} for any value
 * @param fallback the pool to use while the selected one has no ready upstream, or null
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

  /** Requires a header to be present, with any value. */
  public static final String PRESENT = "*";

  /** Returns whether all conditions except host and path hold; the index has checked those two. */
  boolean matchesConditions(RequestAttributes request) {
    return (listener == null || listener.equals(request.listener()))
        && (className == null || className.equals(request.className()))
        && (method == null || method.equals(request.method()))
        && matchesHeaders(request);
  }

  private boolean matchesHeaders(RequestAttributes request) {
    if (headers.isEmpty()) {
      return true;
    }
    for (Map.Entry<String, String> wanted : headers.entrySet()) {
      if (!matchesHeader(wanted.getValue(), request.header(wanted.getKey()))) {
        return false;
      }
    }
    return true;
  }

  private static boolean matchesHeader(String wanted, String sent) {
    return sent != null && (wanted == PRESENT || wanted.equals(PRESENT) || wanted.equals(sent));
  }

  /** Returns the first condition that a request with canonical host and path does not meet, as text; null if the route matches. */
  String objection(RequestAttributes request, String host, String path) {
    if (listener != null && !listener.equals(request.listener())) {
      return "listener: wanted " + listener + ", got " + request.listener();
    }
    if (!hosts.isEmpty() && hosts.stream().noneMatch(h -> hostMatches(h, host))) {
      return "host: wanted " + String.join(" or ", hosts) + ", got "
          + (host == null ? "none" : host);
    }
    if (!this.path.matches(path)) {
      return "path: wanted " + this.path + ", got " + path;
    }
    if (className != null && !className.equals(request.className())) {
      return "class: wanted " + className + ", got "
          + (request.className() == null ? "none" : request.className());
    }
    if (method != null && !method.equals(request.method())) {
      return "method: wanted " + method + ", got " + request.method();
    }
    for (Map.Entry<String, String> wanted : headers.entrySet()) {
      String sent = request.header(wanted.getKey());
      if (!matchesHeader(wanted.getValue(), sent)) {
        return "header " + wanted.getKey() + ": wanted "
            + (wanted.getValue().equals(PRESENT) ? "any value" : wanted.getValue()) + ", got "
            + (sent == null ? "none" : sent);
      }
    }
    return null;
  }

  static boolean hostMatches(String wanted, String host) {
    return host != null
        && (wanted.startsWith("*.")
            ? host.length() > wanted.length() - 1 && host.endsWith(wanted.substring(1))
            : wanted.equals(host));
  }

  /** Returns whether this route matches every request that the other one matches. */
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
                .allMatch(otherHost -> hosts.stream()
                    .anyMatch(ownHost -> ownHost.equals(otherHost)
                        || ownHost.startsWith("*.")
                            && hostMatches(
                                ownHost,
                                otherHost.startsWith("*.") ? otherHost.substring(2) : otherHost)));
  }
}
