package pumicekeel.config;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import pumicekeel.front.jsonrpc.BatchMode;
import pumicekeel.front.jsonrpc.CallSettings;
import pumicekeel.front.jsonrpc.MethodMapping;
import pumicekeel.front.jsonrpc.MethodMapping.Part;
import pumicekeel.jsonrpc.Framing;
import pumicekeel.jsonrpc.JsonPointer;
import pumicekeel.jsonrpc.Limits;
import pumicekeel.route.HostName;
import pumicekeel.upstream.jsonrpc.ServerSettings;

/** Reads the JSON-RPC settings of an operator file: listeners, methods, and pools whose servers speak JSON-RPC. */
final class RpcReader {

  /** Methods are looked up by name for each call; the limit is far above any known interface. */
  private static final int MAX_METHODS = 1_000;
  /** Host of calls without a host setting: routing by host and HTTP upstreams need one. */
  private static final String DEFAULT_HOST = "localhost";

  private static final Map<String, Boolean> PROTOCOLS = Map.of("http", false, "json-rpc", true);
  private static final Map<String, Framing> SERVER_FRAMINGS = Map.of(
      "newline",
      Framing.NEWLINE,
      "values",
      Framing.VALUES,
      "content-length",
      Framing.CONTENT_LENGTH);
  private static final Map<Part, String> KEYS = new EnumMap<>(Map.of(
      Part.TENANT,
      "tenant",
      Part.SESSION_KEY,
      "session-key",
      Part.IDEMPOTENCY_KEY,
      "idempotency-key",
      Part.TIME_LEFT_MS,
      "time-left-ms",
      Part.WORK_HINT_US,
      "work-hint-us"));

  private final List<Fault> faults;
  private final Map<String, Map<String, MethodMapping>> methods = new HashMap<>();

  RpcReader(List<Fault> faults) {
    this.faults = faults;
  }

  // Methods

  /** Reads {@code [[methods]]}, each for one listener or for all JSON-RPC listeners. */
  void methods(Section root, Map<String, Section> listeners) {
    List<String> jsonRpcListeners = listeners.entrySet().stream()
        .filter(e -> "json-rpc".equals(e.getValue().text("protocol", null)))
        .map(Map.Entry::getKey)
        .toList();
    jsonRpcListeners.forEach(name -> methods.put(name, new LinkedHashMap<>()));
    List<Section> entries = root.tables("methods");
    if (entries.size() > MAX_METHODS) {
      root.addFault("methods", "expected at most " + MAX_METHODS + ", got " + entries.size());
      return;
    }
    for (Section s : entries) {
      method(s, jsonRpcListeners);
    }
  }

  private void method(Section s, List<String> jsonRpcListeners) {
    String listener = s.text("listener", null);
    String name = s.requiredText("name", "the method's name as clients call it");
    String className = s.requiredText("class", "the class that the method's calls are of");
    Map<Part, MethodMapping.Source> sources = new EnumMap<>(Part.class);
    KEYS.forEach((part, key) -> {
      MethodMapping.Source source = source(s, key, part);
      if (source != null) {
        sources.put(part, source);
      }
    });
    List<MethodMapping.PathPart> path = path(s, className);
    String host = HostName.of(s.text("host", DEFAULT_HOST));
    if (host == null) {
      s.addFault("host", "expected a host name");
    }
    s.reportUnknownKeys();
    if (listener != null && !jsonRpcListeners.contains(listener)) {
      s.addFault(
          "listener",
          "expected a listener of this file with protocol = \"json-rpc\", got \"" + listener
              + "\"");
    } else if (jsonRpcListeners.isEmpty()) {
      s.addFault("name", "expected a listener with protocol = \"json-rpc\" for it");
    }
    if (name != null && (name.length() > Limits.MAX_METHOD_LENGTH || name.startsWith("rpc."))) {
      s.addFault(
          "name",
          "expected at most " + Limits.MAX_METHOD_LENGTH
              + " characters that don't begin with rpc., got \"" + name + "\"");
    }
    if (name == null || className == null) {
      return;
    }
    MethodMapping mapping = new MethodMapping(name, className, host, sources, path);
    for (String listenerName : listener == null ? jsonRpcListeners : List.of(listener)) {
      if (methods.containsKey(listenerName)
          && methods.get(listenerName).putIfAbsent(name, mapping) != null) {
        s.addFault(
            "name",
            "expected a name of its own at listener " + listenerName + ", \"" + name
                + "\" is taken");
      }
    }
  }

  /** Reads a constant or {@code { pointer = "/a/b", optional = true }}. */
  private MethodMapping.Source source(Section s, String key, Part part) {
    boolean number = part == Part.TIME_LEFT_MS || part == Part.WORK_HINT_US;
    if (!s.has(key)) {
      return null;
    }
    if (s.holds(key, Map.class)) {
      Section pointerTable = s.table(key);
      JsonPointer pointer = pointer(
          pointerTable, pointerTable.requiredText("pointer", "a JSON Pointer into the params"));
      Boolean optional = pointerTable.bool("optional");
      pointerTable.reportUnknownKeys();
      return pointer == null ? null : new MethodMapping.At(pointer, Boolean.TRUE.equals(optional));
    }
    if (number) {
      Long value = s.integer(key, 0, 1_000_000_000L);
      return value == null ? null : new MethodMapping.Constant(Long.toString(value));
    }
    String text = s.text(key, null);
    return text == null ? null : new MethodMapping.Constant(text);
  }

  private static JsonPointer pointer(Section s, String text) {
    try {
      return text == null ? null : JsonPointer.of(text);
    } catch (IllegalArgumentException e) {
      s.addFault("pointer", "expected " + e.getMessage() + ", got \"" + text + "\"");
      return null;
    }
  }

  /** Reads {@code /class/{/pointer}}, the path of a call that is forwarded as an HTTP request. */
  private static List<MethodMapping.PathPart> path(Section s, String className) {
    String text = s.text("path", null);
    List<MethodMapping.PathPart> out = new ArrayList<>();
    if (text == null) {
      return out;
    }
    String first = "/" + className;
    if (!text.equals(first) && !text.startsWith(first + "/") && !text.startsWith(first + "?")) {
      s.addFault(
          "path",
          "expected a path that begins with its class, " + first + ", got \"" + text + "\"");
    }
    int at = 0;
    for (int open = text.indexOf('{'); open >= 0; open = text.indexOf('{', at)) {
      int close = text.indexOf('}', open);
      if (close < 0 || text.substring(open + 1, close).indexOf('{') >= 0) {
        s.addFault("path", "expected } behind each {, got \"" + text + "\"");
        return out;
      }
      literal(s, text.substring(at, open), out);
      try {
        out.add(new MethodMapping.Value(JsonPointer.of(text.substring(open + 1, close))));
      } catch (IllegalArgumentException e) {
        s.addFault("path", "expected " + e.getMessage() + " in braces, got \"" + text + "\"");
      }
      at = close + 1;
    }
    literal(s, text.substring(at), out);
    return out;
  }

  private static void literal(Section s, String text, List<MethodMapping.PathPart> out) {
    if (!text.matches("[A-Za-z0-9._~!$&'()*+,;=:@/?%-]*")) {
      s.addFault("path", "expected characters that a URL may have, got \"" + text + "\"");
    } else if (!text.isEmpty()) {
      out.add(new MethodMapping.Text(text));
    }
  }

  // Listeners

  /** Reads a listener's JSON-RPC settings; null if it speaks HTTP. */
  CallSettings listener(String name, Section s) {
    Boolean jsonRpc = s.choice("protocol", PROTOCOLS);
    Section table = s.table("json-rpc");
    if (!Boolean.TRUE.equals(jsonRpc)) {
      if (table != null) {
        s.addFault("json-rpc", "expected only with protocol = \"json-rpc\"");
      }
      return null;
    }
    Map<String, MethodMapping> known = methods.getOrDefault(name, Map.of());
    if (known.isEmpty()) {
      s.addFault("protocol", "expected at least one method for it, as [[methods]]");
    }
    Section r = s.tableOrEmpty("json-rpc");
    Framing framing = r.choice("framing", Framing.NAMES);
    BatchMode batch = r.choice("batch-answers", BatchMode.NAMES);
    CallSettings settings = new CallSettings(
        framing == null ? Framing.DETECT : framing,
        batch == null ? BatchMode.IN_TIME : batch,
        new Limits(
            (int) or(r.integer("max-message-kib", 1, 4_096), 256) << 10,
            (int) or(r.integer("max-depth", 3, Limits.MAX_DEPTH), 32),
            (int) or(r.integer("max-batch", 1, 1_000), 100)),
        (int) or(r.integer("max-open-calls", 1, 10_000), 64),
        or(r.integer("idle-ms", 100, 86_400_000), 300_000) * 1_000_000L,
        Map.copyOf(known));
    r.reportUnknownKeys();
    return settings;
  }

  private static long or(Long value, long absent) {
    return value == null ? absent : value;
  }

  // Pools

  /** Reads a pool's JSON-RPC settings; null if its upstreams speak HTTP. */
  static ServerSettings pool(Section s) {
    Boolean jsonRpc = s.choice("protocol", PROTOCOLS);
    Section r = s.table("json-rpc");
    if (!Boolean.TRUE.equals(jsonRpc)) {
      if (r != null) {
        s.addFault("json-rpc", "expected only with protocol = \"json-rpc\"");
      }
      return null;
    }
    if (r == null) {
      return new ServerSettings(
          Framing.NEWLINE, 32, Set.of(), Set.of(), Set.of(), Map.of(), "idempotencyKey");
    }
    Framing framing = r.choice("framing", SERVER_FRAMINGS);
    ServerSettings settings = new ServerSettings(
        framing == null ? Framing.NEWLINE : framing,
        (int) or(r.integer("calls-per-connection", 1, 10_000), 32),
        codes(r, "not-run-codes"),
        codes(r, "failure-codes"),
        codes(r, "answer-codes"),
        Map.copyOf(new TreeMap<>(r.textTable("methods"))),
        r.text("key-member", "idempotencyKey"));
    r.reportUnknownKeys();
    Set<Integer> seen = new HashSet<>();
    for (Set<Integer> codes :
        List.of(settings.notRunCodes(), settings.failureCodes(), settings.answerCodes())) {
      for (int code : codes) {
        if (!seen.add(code)) {
          s.addFault(
              "json-rpc", "expected each code under one heading, got " + code + " under two");
        }
      }
    }
    return settings;
  }

  private static Set<Integer> codes(Section s, String key) {
    List<Integer> codes = s.integers(key, Integer.MIN_VALUE, Integer.MAX_VALUE);
    return codes == null ? Set.of() : Set.copyOf(codes);
  }
}
