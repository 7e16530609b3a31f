package pumicekeel.upstream.jsonrpc;

import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import pumicekeel.call.ClientRequest;
import pumicekeel.call.Payload;
import pumicekeel.jsonrpc.JsonPointer;
import pumicekeel.jsonrpc.JsonPointerSet;
import pumicekeel.jsonrpc.Limits;
import pumicekeel.jsonrpc.Message;
import pumicekeel.jsonrpc.MessageReader;
import pumicekeel.jsonrpc.MessageWriter;

/**
 * Translates an HTTP request into a JSON-RPC call. The query of a GET becomes an object of strings, with the part of the path
 * after the class as the member {@code path}; the body of a POST must be an object, an array or empty.
 */
final class HttpCallTranslator {

  /** Thrown for a request that can't be expressed as a call. */
  static final class UntranslatableException extends Exception {
    private static final long serialVersionUID = 1L;

    UntranslatableException(String why) {
      super(why, null, false, false);
    }
  }

  private static final MessageReader VALUES =
      new MessageReader(new Limits(pumicekeel.call.Answer.MAX_BUFFERED_BYTES, 32, 1));
  private static final String PATH = "path";

  private HttpCallTranslator() {}

  /** Returns the call for a request, which may already be a call. */
  static Message.Call toCall(ClientRequest request, ServerSettings settings)
      throws UntranslatableException {
    if (request.payload() instanceof Payload.Call call) {
      return new Message.Call(null, call.method(), call.params());
    }
    Payload.Http http = (Payload.Http) request.payload();
    if (http.upload() != null) {
      throw new UntranslatableException(
          "a body of more than " + pumicekeel.call.Answer.MAX_BUFFERED_BYTES + " bytes");
    }
    String type = request.type().name();
    String key = request.idempotencyKey();
    byte[] params =
        http.method().equals(HttpMethod.GET) ? query(http.uri(), type) : body(http.body());
    return new Message.Call(
        null,
        settings.methods().getOrDefault(type, type),
        key == null ? params : withKey(params, settings.keyMember(), key));
  }

  private static byte[] query(String uri, String type) throws UntranslatableException {
    QueryStringDecoder decoded = new QueryStringDecoder(uri, StandardCharsets.UTF_8);
    Map<String, String> members = new LinkedHashMap<>();
    try {
      String rest = decoded.path().substring(Math.min(decoded.path().length(), type.length() + 1));
      if (!rest.isEmpty() && !rest.equals("/")) {
        members.put(PATH, rest);
      }
      for (Map.Entry<String, List<String>> e : decoded.parameters().entrySet()) {
        if (e.getValue().size() > 1
            || members.putIfAbsent(e.getKey(), e.getValue().get(0)) != null) {
          throw new UntranslatableException("the query names something twice");
        }
      }
    } catch (IllegalArgumentException e) {
      throw new UntranslatableException("malformed query");
    }
    if (members.isEmpty()) {
      return null;
    }
    StringBuilder out = new StringBuilder("{");
    members.forEach((name, value) -> out.append(out.length() > 1 ? "," : "")
        .append(MessageWriter.quoted(name))
        .append(':')
        .append(MessageWriter.quoted(value)));
    return out.append('}').toString().getBytes(StandardCharsets.US_ASCII);
  }

  private static byte[] body(byte[] body) throws UntranslatableException {
    if (body.length == 0) {
      return null;
    }
    JsonPointerSet.Kind kind = VALUES.isValue(body)
        ? new JsonPointerSet(List.of(JsonPointer.of(""))).resolve(body)[0].kind()
        : null;
    if (kind != JsonPointerSet.Kind.OBJECT && kind != JsonPointerSet.Kind.ARRAY) {
      throw new UntranslatableException("expected a JSON object or array as the body");
    }
    return body;
  }

  /** Adds the idempotency key to the params: the server needs it to deduplicate repeats. */
  private static byte[] withKey(byte[] params, String member, String key)
      throws UntranslatableException {
    String added = MessageWriter.quoted(member) + ":" + MessageWriter.quoted(key);
    if (params == null) {
      return ("{" + added + "}").getBytes(StandardCharsets.US_ASCII);
    }
    String pointer = "/" + member.replace("~", "~0").replace("/", "~1");
    JsonPointerSet.Found[] found =
        new JsonPointerSet(List.of(JsonPointer.of(""), JsonPointer.of(pointer))).resolve(params);
    if (found[0].kind() != JsonPointerSet.Kind.OBJECT) {
      throw new UntranslatableException("expected a JSON object as the body of a keyed request");
    }
    if (found[1].kind() == JsonPointerSet.Kind.STRING && found[1].text().equals(key)) {
      return params;
    }
    if (found[1].kind() != JsonPointerSet.Kind.ABSENT) {
      throw new UntranslatableException("the body has another " + member + " than the header");
    }
    int open = 0;
    while (params[open] != '{') {
      open++;
    }
    boolean empty = new String(params, open + 1, params.length - open - 1, StandardCharsets.UTF_8)
        .strip()
        .equals("}");
    byte[] head = ("{" + added + (empty ? "" : ",")).getBytes(StandardCharsets.US_ASCII);
    byte[] out = new byte[head.length + params.length - open - 1];
    System.arraycopy(head, 0, out, 0, head.length);
    System.arraycopy(params, open + 1, out, head.length, params.length - open - 1);
    return out;
  }
}
