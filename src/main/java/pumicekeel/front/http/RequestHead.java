package pumicekeel.front.http;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;
import pumicekeel.call.Answer;
import pumicekeel.call.ClientRequest.InvalidRequest;

/**
 * Validates a request's framing by its head: guards against request smuggling, and against reading bodies that would
 * be rejected anyway.
 */
public final class RequestHead {

  private RequestHead() {}

  public static void check(HttpRequest head) throws InvalidRequest {
    if (!head.protocolVersion().equals(HttpVersion.HTTP_1_1)) {
      throw new InvalidRequest(505, "HTTP/1.1 only");
    }
    List<String> lengths = head.headers().getAll(HttpHeaderNames.CONTENT_LENGTH);
    List<String> codings = head.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
    if (lengths.size() + codings.size() > 1
        || !codings.isEmpty()
            && !HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(codings.get(0))) {
      throw new InvalidRequest(400, "more than one way to tell where the body ends");
    }
    if (HttpUtil.getContentLength(head, 0L) > Answer.MAX_BODY_BYTES) {
      throw new InvalidRequest(413, "body over 32 MiB");
    }
  }
}
