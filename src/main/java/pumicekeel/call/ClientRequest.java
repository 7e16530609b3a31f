package pumicekeel.call;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import java.util.List;
import pumicekeel.Balancer.Effect;
import pumicekeel.Balancer.RequestClass;
import pumicekeel.Balancer.Settings;

/**
 * A client's request, validated against the protocol and the settings.
 *
 * @param key the session key, or null
 * @param leftNanos time left for an answer, at most the class's deadline
 * @param hintNanos the client's estimate of the work; 0 for none
 * @param retry whether the client declares the request to be a repeat
 */
public record ClientRequest(
    String id,
    RequestClass type,
    String tenant,
    String key,
    long leftNanos,
    long hintNanos,
    boolean retry,
    Payload payload,
    String idempotencyKey) {

  public static final String ID = "X-Correlation-Id";
  public static final String TIME_LEFT = "X-Time-Left-Ms";
  public static final String IDEMPOTENCY_KEY = "Idempotency-Key";

  /** A request that violates the protocol; carries the 4xx status and the reason. */
  public static final class InvalidRequest extends Exception {
    private static final long serialVersionUID = 1L;
    public final int status;
    /** The time after which a retry makes sense; 0 for no advice. */
    public final long retryAfterNanos;

    /** Has no stack trace: clients that violate the protocol may do so at full speed. */
    public InvalidRequest(int status, String what) {
      this(status, what, 0);
    }

    /** Creates an exception with a retry time. */
    public InvalidRequest(int status, String what, long retryAfterNanos) {
      super(what, null, false, false);
      this.status = status;
      this.retryAfterNanos = retryAfterNanos;
    }
  }

  /**
   * Headers that identify a request: a repeated one is rejected, since readers could differ on which value counts.
   */
  private static final List<String> SINGLE_VALUE_HEADERS = List.of(
      ID,
      "X-Service-Class",
      "X-Account",
      "X-Session-Key",
      TIME_LEFT,
      IDEMPOTENCY_KEY,
      "X-Weight-Hint",
      "X-Repeat",
      HttpHeaderNames.HOST.toString());

  /**
   * Parses a request; one that fits only the previous settings, if there are any, was sent by a client that has not
   * seen the change yet, and keeps its previous class.
   */
  public static ClientRequest of(
      HttpRequest head, byte[] body, Upload upload, Settings settings, Settings former)
      throws InvalidRequest {
    try {
      return of(head, body, upload, settings);
    } catch (InvalidRequest e) {
      if (former == null) {
        throw e;
      }
      return of(head, body, upload, former);
    }
  }

  /**
   * The maximum length of a name that is kept while its request is open, and of a key kept for its window: several
   * times what the platform's clients send.
   */
  public static final int MAX_NAME_LENGTH = 256;

  /** The headers whose values are retained. */
  private static final List<String> RETAINED_HEADERS =
      List.of(ID, "X-Session-Key", IDEMPOTENCY_KEY);

  private static ClientRequest of(HttpRequest head, byte[] body, Upload upload, Settings settings)
      throws InvalidRequest {
    HttpHeaders h = head.headers();
    if (h.get(HttpHeaderNames.HOST) == null) {
      // RFC 9112, section 3.2.
      throw new InvalidRequest(400, "no Host");
    }
    for (String name : RETAINED_HEADERS) {
      checkName(name, h.get(name));
    }
    for (String name : SINGLE_VALUE_HEADERS) {
      if (h.getAll(name).size() > 1) {
        throw new InvalidRequest(400, "repeated " + name);
      }
    }
    String name = required(h, "X-Service-Class");
    RequestClass type = classOf(name, settings);
    String path = head.uri().split("\\?", 2)[0];
    if (!path.equals("/" + name) && !path.startsWith("/" + name + "/")) {
      throw new InvalidRequest(400, "the path does not begin with the class");
    }
    String tenant = h.get("X-Account");
    checkTenant(tenant, settings);
    if (!head.method().equals(type.effect() == Effect.SAFE ? HttpMethod.GET : HttpMethod.POST)) {
      throw new InvalidRequest(405, "wrong method for the class");
    }
    String idempotencyKey = h.get(IDEMPOTENCY_KEY);
    if (type.effect() == Effect.KEYED && idempotencyKey == null) {
      throw new InvalidRequest(400, "no " + IDEMPOTENCY_KEY);
    }
    long left = parseCount(TIME_LEFT, required(h, TIME_LEFT)) * 1_000_000L;
    long hint = parseCount("X-Weight-Hint", h.get("X-Weight-Hint", "0")) * 1_000L;
    return new ClientRequest(
        required(h, ID),
        type,
        tenant,
        h.get("X-Session-Key"),
        Math.min(left, type.deadlineNanos()),
        hint,
        "1".equals(h.get("X-Repeat")),
        new Payload.Http(
            head.method(),
            head.uri(),
            h.get(HttpHeaderNames.HOST, ""),
            h.get(HttpHeaderNames.CONTENT_TYPE),
            body,
            upload),
        idempotencyKey);
  }

  /** Returns the class of this name. */
  public static RequestClass classOf(String name, Settings settings) throws InvalidRequest {
    for (RequestClass c : settings.classes()) {
      if (c.name().equals(name)) {
        return c;
      }
    }
    throw new InvalidRequest(400, "unknown class");
  }

  /** Rejects a name that is too long to be kept; null is allowed. */
  public static void checkName(String what, String name) throws InvalidRequest {
    if (name != null && name.length() > MAX_NAME_LENGTH) {
      throw new InvalidRequest(400, what + " over " + MAX_NAME_LENGTH + " characters");
    }
  }

  /** Rejects a tenant that is not in the settings, if those list any. */
  public static void checkTenant(String tenant, Settings settings) throws InvalidRequest {
    if (!settings.tenants().isEmpty()
        && settings.tenants().stream().noneMatch(t -> t.name().equals(tenant))) {
      throw new InvalidRequest(400, "unknown tenant");
    }
  }

  /** Returns the body if it is too large to be buffered; else null. */
  public Upload upload() {
    return payload instanceof Payload.Http http ? http.upload() : null;
  }

  /** Returns the same request with this much time left, at least none. */
  public ClientRequest withTimeLeft(long nanos) {
    return new ClientRequest(
        id, type, tenant, key, Math.max(0, nanos), hintNanos, retry, payload, idempotencyKey);
  }

  /** Returns the same request with its class as another pool defines it. */
  public ClientRequest withType(RequestClass other) {
    return new ClientRequest(
        id, other, tenant, key, leftNanos, hintNanos, retry, payload, idempotencyKey);
  }

  private static String required(HttpHeaders headers, String name) throws InvalidRequest {
    String value = headers.get(name);
    if (value == null || value.isEmpty()) {
      throw new InvalidRequest(400, "no " + name);
    }
    return value;
  }

  /** Parses a count that is limited so that it cannot overflow when converted to nanoseconds. */
  private static long parseCount(String name, String text) throws InvalidRequest {
    try {
      long value = Long.parseLong(text);
      if (value >= 0 && value <= 1_000_000_000_000L) {
        return Math.min(value, 1_000_000_000L);
      }
    } catch (NumberFormatException e) {
      // Reported below.
    }
    throw new InvalidRequest(400, "bad " + name);
  }
}
