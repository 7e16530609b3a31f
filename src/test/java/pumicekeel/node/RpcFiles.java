package pumicekeel.node;

/** Operator files of the JSON-RPC tests. */
final class RpcFiles {

  /** Methods of the two classes, with all parts by pointer. */
  static final String METHODS = """
      [[methods]]
      name = "rate.lookup"
      class = "rate-lookup"
      tenant = { pointer = "/account" }
      session-key = { pointer = "/session", optional = true }
      time-left-ms = { pointer = "/left", optional = true }
      [[methods]]
      name = "quote.issue"
      class = "quote-issue"
      tenant = "acme"
      idempotency-key = { pointer = "/key" }
      time-left-ms = { pointer = "/left", optional = true }
      """;

  private RpcFiles() {}

  /** Returns a file with a listener "rpc" of these settings and a pool "p" of JSON-RPC servers that gets all calls. */
  static String toServers(TestServices t, String listener, String pool, String... names) {
    return listener(listener) + METHODS + "[sources.s]\nstatic = " + t.list(names)
        + "\n[pools.p]\nsource = \"s\"\nprotocol = \"json-rpc\"\n" + pool
        + "\n[[routes]]\npool = \"p\"\n";
  }

  /** Returns the same file with HTTP upstreams. */
  static String toHttp(TestServices t, String listener, String pool, String... names) {
    return listener(listener) + METHODS + "[sources.s]\nstatic = " + t.list(names)
        + "\n[pools.p]\nsource = \"s\"\n" + pool + "\n[[routes]]\npool = \"p\"\n";
  }

  private static String listener(String settings) {
    return "[listeners.rpc]\naddress = \"127.0.0.1:0\"\nprotocol = \"json-rpc\"\njson-rpc = { "
        + settings + " }\n";
  }

  /** Returns a call of a safe class with {@code n} in its params. */
  static String lookup(String id, String n) {
    return "{\"jsonrpc\":\"2.0\",\"method\":\"rate.lookup\",\"params\":{\"account\":\"acme\",\"n\":"
        + n + "},\"id\":" + id + "}";
  }

  /** Returns a keyed call. */
  static String issue(String id, String key) {
    return "{\"jsonrpc\":\"2.0\",\"method\":\"quote.issue\",\"params\":{\"key\":\"" + key
        + "\"},\"id\":" + id + "}";
  }
}
