package pumicekeel.front.jsonrpc;

import java.util.Locale;
import pumicekeel.Balancer.Effect;
import pumicekeel.Balancer.RequestClass;
import pumicekeel.Balancer.Settings;
import pumicekeel.call.Answer;
import pumicekeel.call.Client;
import pumicekeel.call.ClientRequest;
import pumicekeel.call.ClientRequest.InvalidRequest;
import pumicekeel.call.Payload;
import pumicekeel.call.RequestAttributes;
import pumicekeel.core.RequestHandle;
import pumicekeel.front.jsonrpc.BatchAnswers.EntryOutcome;
import pumicekeel.front.jsonrpc.MethodMapping.BadParams;
import pumicekeel.front.jsonrpc.MethodMapping.CallFields;
import pumicekeel.front.jsonrpc.MethodMapping.Part;
import pumicekeel.jsonrpc.ErrorCodes;
import pumicekeel.jsonrpc.Id;
import pumicekeel.jsonrpc.Message;
import pumicekeel.jsonrpc.MessageWriter;

/** A call from its arrival to its end; for a notification, no answer is sent. */
final class RpcCall implements Client, RequestAttributes {

  private static final long NANOS_PER_MILLI = 1_000_000L;
  private final RpcClientConnection connection;
  private final BatchAnswers<Reply> batch;
  private final Message.Call call;
  private final MethodMapping mapping;
  private CallFields fields;
  private RequestHandle handle;
  private ClientRequest request;
  private boolean submitted;
  private boolean ended;
  private long arrivedAt;

  RpcCall(
      RpcClientConnection connection,
      Message.Call call,
      MethodMapping mapping,
      BatchAnswers<Reply> batch) {
    this.connection = connection;
    this.call = call;
    this.mapping = mapping;
    this.batch = batch;
  }

  /** Returns the id; null for a notification. */
  Id id() {
    return call.id();
  }

  BatchAnswers<Reply> batch() {
    return batch;
  }

  /** Thrown for a call that is rejected before any attempt. */
  static final class RejectedException extends Exception {
    private static final long serialVersionUID = 1L;
    private final int code;
    private final long retryAfterNanos;

    RejectedException(int code, String why, long retryAfterNanos) {
      super(why, null, false, false);
      this.code = code;
      this.retryAfterNanos = retryAfterNanos;
    }
  }

  /** Reads the params, routes the call and reserves capacity for the params. */
  void prepare(long now) throws RejectedException {
    arrivedAt = now;
    try {
      fields = mapping.read(call.params());
      handle = connection.front().router().route(this);
      request = request(settings());
      if (!handle.reserveBody(request.payload().size())) {
        throw new RejectedException(ErrorCodes.NO_CAPACITY, "no room for the params", 0);
      }
    } catch (BadParams e) {
      throw new RejectedException(ErrorCodes.INVALID_PARAMS, e.getMessage(), 0);
    } catch (InvalidRequest e) {
      throw new RejectedException(codeOf(e.status), e.getMessage(), e.retryAfterNanos);
    }
  }

  /** Returns the current settings, or the former ones if the class was just removed. */
  private Settings settings() {
    boolean dropped = handle.previousSettings() != null
        && handle.settings().classes().stream()
            .noneMatch(c -> c.name().equals(mapping.className()));
    return dropped ? handle.previousSettings() : handle.settings();
  }

  /** Returns the error code for a status of the platform's protocol. */
  private static int codeOf(int status) {
    return switch (status) {
      case 404 -> ErrorCodes.NO_ROUTE;
      case 502 -> ErrorCodes.FAILED;
      case 503 -> ErrorCodes.NO_CAPACITY;
      default -> ErrorCodes.INVALID_PARAMS;
    };
  }

  private ClientRequest request(Settings settings) throws InvalidRequest, RejectedException {
    RequestClass type = ClientRequest.classOf(mapping.className(), settings);
    try {
      ClientRequest.checkTenant(fields.tenant(), settings);
    } catch (InvalidRequest e) {
      throw new RejectedException(
          ErrorCodes.INVALID_PARAMS,
          mapping.describeSource(Part.TENANT) + ": expected a tenant that is known",
          0);
    }
    if (type.effect() == Effect.KEYED && fields.idempotencyKey() == null) {
      throw new RejectedException(
          ErrorCodes.INVALID_PARAMS,
          mapping.describeSource(Part.IDEMPOTENCY_KEY) + ": expected an idempotency key",
          0);
    }
    if (call.params() != null && call.params().length > Answer.MAX_BUFFERED_BYTES) {
      throw new RejectedException(
          ErrorCodes.INVALID_PARAMS,
          "params of more than " + Answer.MAX_BUFFERED_BYTES + " bytes",
          0);
    }
    long left = fields.timeLeftMillis() < 0
        ? type.deadlineNanos()
        : Math.min(type.deadlineNanos(), fields.timeLeftMillis() * NANOS_PER_MILLI);
    return new ClientRequest(
        connection.front().newRequestId(),
        type,
        fields.tenant(),
        fields.sessionKey(),
        left,
        Math.max(0, fields.workHintMicros()) * 1_000L,
        false,
        new Payload.Call(
            call.method(), call.params(), mapping.className(), fields.uri(), mapping.host()),
        fields.idempotencyKey());
  }

  long leftNanos() {
    return request.leftNanos();
  }

  /** Limits the time left. */
  void limitTime(long nanos) {
    request = request.withTimeLeft(Math.min(nanos, request.leftNanos()));
  }

  /** Submits the call; from now on its end will be reported. */
  void submit() throws RejectedException {
    try {
      submitted = true;
      if (!handle.submit(request, this)) {
        throw new RejectedException(ErrorCodes.NO_CAPACITY, "its request id is open", 0);
      }
    } catch (InvalidRequest e) {
      submitted = false;
      throw new RejectedException(codeOf(e.status), e.getMessage(), e.retryAfterNanos);
    } catch (RejectedException e) {
      submitted = false;
      throw e;
    }
  }

  void reject(RejectedException rejection) {
    boolean invalid = rejection.code == ErrorCodes.INVALID_PARAMS
        || rejection.code == ErrorCodes.UNKNOWN_METHOD
        || rejection.code == ErrorCodes.NO_ROUTE;
    end(
        now -> rejection.code == ErrorCodes.INVALID_PARAMS
            ? Reply.error(
                call.id(),
                rejection.code,
                ErrorCodes.messageOf(rejection.code) + ": " + rejection.getMessage(),
                null)
            : Reply.errorWithRetryAfter(call.id(), rejection.code, rejection.retryAfterNanos),
        invalid ? EntryOutcome.INVALID : EntryOutcome.REFUSED_OR_FAILED);
  }

  @Override
  public void served(Answer answer) {
    byte[] result = connection.resultOf(answer);
    if (result == null) {
      // It ran, but its result can't be represented; the client must not treat that as a refusal.
      failed();
    } else if (answer.error()) {
      end(now -> Reply.error(call.id(), result), EntryOutcome.ANSWERED);
    } else {
      end(now -> Reply.result(call.id(), result), EntryOutcome.ANSWERED);
    }
  }

  @Override
  public void refused(long retryAfterNanos) {
    long at = System.nanoTime();
    // In a batch the reply may be delayed: the retry advice is reduced by the delay.
    end(
        now -> Reply.errorWithRetryAfter(
            call.id(),
            ErrorCodes.REFUSED,
            retryAfterNanos <= 0 ? 0 : Math.max(1, retryAfterNanos - (now - at))),
        EntryOutcome.REFUSED_OR_FAILED);
  }

  @Override
  public void failed() {
    end(
        now -> Reply.error(
            call.id(),
            ErrorCodes.FAILED,
            ErrorCodes.messageOf(ErrorCodes.FAILED),
            "{\"request\":" + MessageWriter.quoted(request.id()) + "}"),
        EntryOutcome.REFUSED_OR_FAILED);
  }

  private void end(Reply reply, EntryOutcome outcome) {
    if (ended) {
      return;
    }
    ended = true;
    submitted = false;
    releaseHandle();
    long aim = request == null ? arrivedAt : arrivedAt + request.type().aimNanos();
    connection.ended(this, call.id() == null ? null : reply, outcome, aim);
  }

  private void releaseHandle() {
    RequestHandle released = handle;
    handle = null;
    if (released != null) {
      released.release();
    }
  }

  /** Ends the call without an answer, as the client has disconnected. */
  void clientClosed() {
    if (ended) {
      return;
    }
    ended = true;
    if (submitted) {
      handle.clientDisconnected(request.id());
    }
    releaseHandle();
  }

  // Values that routes match

  @Override
  public String listener() {
    return connection.front().name();
  }

  @Override
  public String host() {
    return mapping.host();
  }

  @Override
  public String path() {
    String uri = fields.uri() == null ? "/" + mapping.className() : fields.uri();
    int query = uri.indexOf('?');
    return query < 0 ? uri : uri.substring(0, query);
  }

  /** Calls have no HTTP method, so they match no route that requires one. */
  @Override
  public String method() {
    return null;
  }

  @Override
  public String className() {
    return mapping.className();
  }

  @Override
  public String header(String name) {
    return switch (name.toLowerCase(Locale.ROOT)) {
      case "x-account" -> fields.tenant();
      case "x-session-key" -> fields.sessionKey();
      case "idempotency-key" -> fields.idempotencyKey();
      case "x-service-class" -> mapping.className();
      default -> null;
    };
  }
}
