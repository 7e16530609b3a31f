package pumicekeel.call;

/**
 * The attributes of a request that are known once its head has arrived, before its body: all that routes can match on.
 * Values are as the client sent them; an absent one is null.
 */
public interface RequestAttributes {

  /** Returns the name of the listener that received the request. */
  String listener();

  /** Returns the authority as the client sent it, including the port if present. */
  String host();

  /** Returns the target without its query; empty if the client sent only a query. */
  String path();

  String method();

  String className();

  /** Returns the value of a header by its case-insensitive name; null if absent, the first one if repeated. */
  String header(String name);
}
