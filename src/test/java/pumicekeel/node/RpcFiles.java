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

  /** A listener "rpc" with these settings, a pool "p" of JSON-RPC servers, all calls to it. */
  static String toServers(TestServices t, String listener, String pool, String... names) {
    return listener(listener) + METHODS + "[sources.s]\nstatic = " + t.list(names)
        + "\n[pools.p]\nsource = \"s\"\nprotocol = \"json-rpc\"\n" + pool
        + "\n[[routes]]\npool = \"p\"\n";
  }

  /** The same with HTTP upstreams. */
  static String toHttp(TestServices t, String listener, String pool, String... names) {
    return listener(listener) + METHODS + "[sources.s]\nstatic = " + t.list(names)
        + "\n[pools.p]\nsource = \"s\"\n" + pool + "\n[[routes]]\npool = \"p\"\n";
  }

  private static String listener(String settings) {
    return "[listeners.rpc]\naddress = \"127.0.0.1:0\"\nprotocol = \"json-rpc\"\njson-rpc = { "
        + settings + " }\n";
  }

  /** A call of a safe class; the params carry {@code n}. */
  static String lookup(String id, String n) {
    return "{\"jsonrpc\":\"2.0\",\"method\":\"rate.lookup\",\"params\":{\"account\":\"acme\",\"n\":"
        + n + "},\"id\":" + id + "}";
  }

  /** A keyed call. */
  static String issue(String id, String key) {
    return "{\"jsonrpc\":\"2.0\",\"method\":\"quote.issue\",\"params\":{\"key\":\"" + key
        + "\"},\"id\":" + id + "}";
  }
}
