package pumicekeel.call;

import io.netty.handler.codec.http.HttpMethod;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import pumicekeel.Balancer.Effect;

/** What a client wants done, in the form of its own protocol. An upstream of another protocol gets it translated. */
public sealed interface Payload permits Payload.Http, Payload.Call {

  /** Bytes that are kept for it while it is open. */
  int size();

  /** As a request of the platform's protocol, for a class with this effect. */
  Http toHttp(Effect effect);

  /** An HTTP request; where {@code upload} is not null, its body is that, and still comes. */
  record Http(
      HttpMethod method, String uri, String host, String contentType, byte[] body, Upload upload)
      implements Payload {

    /** One whose body has come whole. */
    public Http(HttpMethod method, String uri, String host, String contentType, byte[] body) {
      this(method, uri, host, contentType, body, null);
    }

    @Override
    public int size() {
      return body.length;
    }

    @Override
    public Http toHttp(Effect effect) {
      return this;
    }
  }

  /**
   * A JSON-RPC call.
   *
   * @param params raw JSON, an object or an array; null for none
   * @param uri where it goes as an HTTP request; null for the class, with the params in the query of a safe one
   */
  record Call(String method, byte[] params, String className, String uri, String host)
      implements Payload {
    /** Servers take lines of 4 KiB to 8 KiB; method and version are on it too. */
    public static final int MAX_TARGET_LENGTH = 4_000;

    private static final byte[] EMPTY = {};

    @Override
    public int size() {
      return params == null ? 0 : params.length;
    }

    /** A safe one says all in its target; any other carries its params as the body. */
    @Override
    public Http toHttp(Effect effect) {
      boolean safe = effect == Effect.SAFE;
      return new Http(
          safe ? HttpMethod.GET : HttpMethod.POST,
          target(safe),
          host,
          safe || params == null ? null : "application/json",
          safe || params == null ? EMPTY : params);
    }

    private String target(boolean safe) {
      return uri != null
          ? uri
          : "/" + className
              + (safe && params != null
                  ? "?params="
                      + URLEncoder.encode(
                          new String(params, StandardCharsets.UTF_8), StandardCharsets.UTF_8)
                  : "");
    }

    /** Whether it fits the line that HTTP upstreams take. */
    public boolean fitsHttp(Effect effect) {
      return target(effect == Effect.SAFE).length() <= MAX_TARGET_LENGTH;
    }
  }
}
