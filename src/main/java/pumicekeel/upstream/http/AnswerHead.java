package pumicekeel.upstream.http;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;
import pumicekeel.Balancer.Status;
import pumicekeel.call.Answer;

/** What the head of an upstream's answer is worth. */
public final class AnswerHead {

  /** Interim answers that are skipped ahead of an answer; more come from an upstream that never answers. */
  public static final int MAX_INTERIM = 10;

  private AnswerHead() {}

  /**
   * Whether the head tells in exactly one way where its body ends, and that within the protocol's limit. The codec
   * refuses two lengths, and a length beside chunks, in HTTP/1.1 only: there is no other version here. Without either
   * it ends with its connection, where it says so (RFC 9112, section 6.3); else it can't be told from one cut short.
   */
  public static boolean hasValidFraming(HttpResponse head) {
    if (!head.protocolVersion().equals(HttpVersion.HTTP_1_1)
        || head.status().equals(HttpResponseStatus.SWITCHING_PROTOCOLS)) {
      return false;
    }
    if (head.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
      return true;
    }
    List<String> codings = head.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
    if (!codings.isEmpty()) {
      return codings.size() == 1
          && HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(codings.get(0))
          && !HttpUtil.isContentLengthSet(head);
    }
    if (!HttpUtil.isContentLengthSet(head)) {
      return !HttpUtil.isKeepAlive(head);
    }
    return HttpUtil.getContentLength(head) <= Answer.MAX_BODY_BYTES;
  }

  /** Only X-Unprocessed proves that a request never ran; a bare 503 may stand for one that did. */
  public static Status statusOf(HttpResponse head) {
    int code = head.status().code();
    if (code == 200) {
      return Status.SERVED;
    }
    boolean never = (code == 503 || code == 504) && "1".equals(head.headers().get("X-Unprocessed"));
    return never ? Status.FULL : Status.ERROR;
  }
}
