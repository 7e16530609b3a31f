package pumicekeel.call;

import io.netty.handler.codec.http.HttpMethod;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import pumicekeel.Balancer.Effect;

/** The content of a request in its client's protocol. It is translated for upstreams of another protocol. */
public sealed interface Payload permits Payload.Http, Payload.Call {

  /** Returns the number of bytes retained while the request is open. */
  int size();

  /** Converts to a request of the platform's protocol, for a class with this effect. */
  Http toHttp(Effect effect);

  /** An HTTP request; if {@code upload} is not null, that is its body, still incomplete. */
  record Http(
      HttpMethod method, String uri, String host, String contentType, byte[] body, Upload upload)
      implements Payload {

    /** Creates a request with a complete body. */
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
   * @param uri the target as an HTTP request; null for one derived from the class, with the params in the query of a
   * safe call
   */
  record Call(String method, byte[] params, String className, String uri, String host)
      implements Payload {
    /** Servers accept request lines of 4 KiB to 8 KiB; method and version are part of it. */
    public static final int MAX_TARGET_LENGTH = 4_000;

    private static final byte[] EMPTY = {};

    @Override
    public int size() {
      return params == null ? 0 : params.length;
    }

    /** A safe call has its params in the target; any other has them as the body. */
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

    /** Returns whether the target fits the request line that HTTP upstreams accept. */
    public boolean fitsHttp(Effect effect) {
      return target(effect == Effect.SAFE).length() <= MAX_TARGET_LENGTH;
    }
  }
}
