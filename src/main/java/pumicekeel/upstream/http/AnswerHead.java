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

/** Checks and classifies the head of an upstream's answer. */
public final class AnswerHead {

  /** Maximum number of interim answers that are skipped before an answer; an upstream that sends more never answers. */
  public static final int MAX_INTERIM = 10;

  private AnswerHead() {}

  /**
   * Returns whether the head defines in exactly one way where its body ends, and within the protocol's limit. The codec rejects two
   * lengths, and a length together with chunks, only in HTTP/1.1: no other version is accepted here. Without either, the body ends with
   * the connection if the head says so (RFC 9112, section 6.3); otherwise it could not be distinguished from a truncated one.
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

  /**
   * Returns the status of an answer. Only X-Unprocessed proves that a request never ran; a plain 503 may be the answer to one that did.
   */
  public static Status statusOf(HttpResponse head) {
    int code = head.status().code();
    if (code == 200) {
      return Status.SERVED;
    }
    boolean notRun =
        (code == 503 || code == 504) && "1".equals(head.headers().get("X-Unprocessed"));
    return notRun ? Status.FULL : Status.ERROR;
  }
}
