package pumicekeel.call;

/**
 * What a front knows of a request once its head has come, before its body: all that a route can ask for. Values are as
 * the client sent them; an absent one is null.
 */
public interface RequestAttributes {

  /** The name of the listener that the request came in at. */
  String listener();

  /** The authority as the client wrote it, with a port if it gave one. */
  String host();

  /** The target without its query; empty where the client sent a query only. */
  String path();

  String method();

  String className();

  /** The value of a header by its name in any case; null where it is absent, the first where it came twice. */
  String header(String name);
}
