package pumicekeel.route;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import pumicekeel.call.RequestAttributes;

/** Indexes the routes of one host by path segments. A lookup allocates no strings for segments. */
final class PathIndex {

  /** Routes that differ only in headers, class, method and listener, in file order. */
  private static final class Bucket {
    private final List<Route> plain = new ArrayList<>(1);
    /** Routes by the name of the first header whose value is compared, then by that value. */
    private final List<Map.Entry<String, Map<String, List<Route>>>> byHeader = new ArrayList<>(0);

    private void add(Route route) {
      String name = route.headers().entrySet().stream()
          .filter(h -> !h.getValue().equals(Route.PRESENT))
          .map(Map.Entry::getKey)
          .sorted()
          .findFirst()
          .orElse(null);
      if (name == null) {
        plain.add(route);
        return;
      }
      Map<String, List<Route>> values = byHeader.stream()
          .filter(e -> e.getKey().equals(name))
          .findFirst()
          .map(Map.Entry::getValue)
          .orElse(null);
      if (values == null) {
        values = new HashMap<>();
        byHeader.add(Map.entry(name, values));
      }
      values.computeIfAbsent(route.headers().get(name), k -> new ArrayList<>(1)).add(route);
    }

    private Route best(RequestAttributes request, Route best) {
      Route found = first(plain, request, best);
      for (int i = 0; i < byHeader.size(); i++) {
        String sent = request.header(byHeader.get(i).getKey());
        List<Route> routes = sent == null ? null : byHeader.get(i).getValue().get(sent);
        found = routes == null ? found : first(routes, request, found);
      }
      return found;
    }

    private static Route first(List<Route> routes, RequestAttributes request, Route best) {
      for (int i = 0; i < routes.size(); i++) {
        Route r = routes.get(i);
        if (best != null && best.order() < r.order()) {
          return best;
        }
        if (r.matchesConditions(request)) {
          return r;
        }
      }
      return best;
    }
  }

  /** A node of the segment tree, with the routes whose pattern ends here. */
  private static final class Node {
    private final Children children = new Children();
    private Node wildcard;
    private Bucket prefix;
    private Bucket whole;
  }

  /** A hash table from segment to node that is looked up by a range of a path, without a substring. */
  private static final class Children {
    private String[] names = new String[2];
    private Node[] nodes = new Node[2];
    private int size;

    private Node get(String path, int from, int to) {
      int length = to - from;
      for (int i = slot(hash(path, from, to)); names[i] != null; i = i + 1 & names.length - 1) {
        if (names[i].length() == length && path.startsWith(names[i], from)) {
          return nodes[i];
        }
      }
      return null;
    }

    private Node at(String name) {
      Node node = get(name, 0, name.length());
      if (node == null) {
        if (2 * (size + 1) > names.length) {
          grow();
        }
        node = new Node();
        put(name, node);
        size++;
      }
      return node;
    }

    private void put(String name, Node node) {
      int i = slot(hash(name, 0, name.length()));
      while (names[i] != null) {
        i = i + 1 & names.length - 1;
      }
      names[i] = name;
      nodes[i] = node;
    }

    private void grow() {
      String[] oldNames = names;
      Node[] oldNodes = nodes;
      names = new String[2 * oldNames.length];
      nodes = new Node[names.length];
      for (int i = 0; i < oldNames.length; i++) {
        if (oldNames[i] != null) {
          put(oldNames[i], oldNodes[i]);
        }
      }
    }

    private int slot(int hash) {
      return (hash ^ hash >>> 16) & names.length - 1;
    }

    private static int hash(String text, int from, int to) {
      int hash = 0;
      for (int i = from; i < to; i++) {
        hash = 31 * hash + text.charAt(i);
      }
      return hash * 0x9e3779b9;
    }
  }

  private final Node root = new Node();

  void add(Route route) {
    Node node = root;
    for (String segment : segmentsOf(route.path())) {
      if (segment.equals(PathPattern.WILDCARD)
          && route.path().kind() == PathPattern.Kind.TEMPLATE) {
        node.wildcard = node.wildcard == null ? new Node() : node.wildcard;
        node = node.wildcard;
      } else {
        node = node.children.at(segment);
      }
    }
    switch (route.path().kind()) {
      case ANY, PREFIX -> {
        node.prefix = node.prefix == null ? new Bucket() : node.prefix;
        node.prefix.add(route);
      }
      case EXACT, TEMPLATE -> {
        node.whole = node.whole == null ? new Bucket() : node.whole;
        node.whole.add(route);
      }
    }
  }

  private static List<String> segmentsOf(PathPattern path) {
    // As an exact path, "/" has one empty segment.
    boolean root = path.segments().isEmpty()
        && (path.kind() == PathPattern.Kind.EXACT || path.kind() == PathPattern.Kind.TEMPLATE);
    return root ? List.of("") : path.segments();
  }

  /** Returns the earliest matching route, out of this index and {@code best}, the one found so far; null if there is none. */
  Route best(String path, RequestAttributes request, Route best) {
    return walk(root, path, 0, request, best);
  }

  /** Matches the path from {@code slash}, the start of its rest or its end. The recursion is no deeper than the longest pattern. */
  private static Route walk(
      Node node, String path, int slash, RequestAttributes request, Route best) {
    Route found = node.prefix == null ? best : node.prefix.best(request, best);
    if (slash >= path.length()) {
      return node.whole == null ? found : node.whole.best(request, found);
    }
    int end = path.indexOf('/', slash + 1);
    int to = end < 0 ? path.length() : end;
    Node next = node.children.get(path, slash + 1, to);
    found = next == null ? found : walk(next, path, to, request, found);
    return node.wildcard == null || to == slash + 1
        ? found
        : walk(node.wildcard, path, to, request, found);
  }
}
