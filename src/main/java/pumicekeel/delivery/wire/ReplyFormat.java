package pumicekeel.delivery.wire;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import pumicekeel.delivery.ConfigurationVersion;
import pumicekeel.delivery.Reply;
import pumicekeel.delivery.SnapshotPart;

/**
 * Replies as HTTP responses: 200 a delta in JSON; 206 a part of a snapshot, with Content-Range and Configuration-Version; 204 nothing
 * newer; 503 busy, with Retry-After; 410 no such version any more; 409 with a reason otherwise.
 */
public final class ReplyFormat {

  /** The version of which a 206 holds a part: EPOCH.SEQUENCE.HASH. */
  public static final String VERSION_HEADER = "Configuration-Version";

  private static final Pattern RANGE = Pattern.compile("bytes (\\d{1,10})-(\\d{1,10})/(\\d{1,10})");
  /** A response that turns away without saying until when. */
  private static final long DEFAULT_RETRY_SECONDS = 1;

  private static final int MAX_REASON_CHARS = 300;

  private ReplyFormat() {}

  /** The response that carries a reply. */
  public static FullHttpResponse response(Reply reply) {
    if (reply instanceof Reply.Delta d) {
      FullHttpResponse out = response(HttpResponseStatus.OK, DeltaJson.write(d.delta()));
      out.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON);
      return out;
    }
    if (reply instanceof Reply.Part p) {
      return response(p.part());
    }
    if (reply instanceof Reply.Busy busy) {
      FullHttpResponse out = response(HttpResponseStatus.SERVICE_UNAVAILABLE, new byte[0]);
      long seconds = TimeUnit.NANOSECONDS.toSeconds(busy.retryAfterNanos());
      return with(out, HttpHeaderNames.RETRY_AFTER, Long.toString(seconds));
    }
    if (reply instanceof Reply.Failed failed) {
      byte[] reason = failed.reason().getBytes(StandardCharsets.UTF_8);
      return response(HttpResponseStatus.CONFLICT, reason);
    }
    HttpResponseStatus status =
        reply instanceof Reply.Gone ? HttpResponseStatus.GONE : HttpResponseStatus.NO_CONTENT;
    return response(status, new byte[0]);
  }

  private static FullHttpResponse response(SnapshotPart part) {
    FullHttpResponse out = response(HttpResponseStatus.PARTIAL_CONTENT, part.bytes());
    long last = part.offset() + part.bytes().length - 1;
    with(out, VERSION_HEADER, part.version().text());
    return with(
        out,
        HttpHeaderNames.CONTENT_RANGE,
        "bytes " + part.offset() + "-" + last + "/" + part.total());
  }

  private static FullHttpResponse with(FullHttpResponse out, CharSequence name, String value) {
    out.headers().set(name, value);
    return out;
  }

  /** A response with a length, after which the connection ends. */
  public static FullHttpResponse response(HttpResponseStatus status, byte[] body) {
    ByteBuf content = Unpooled.wrappedBuffer(body);
    FullHttpResponse out = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, content);
    out.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    if (status.code() != HttpResponseStatus.NO_CONTENT.code()) {
      out.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
    }
    return out;
  }

  /** The reply that a response carries; {@link Reply.Failed} where it makes no sense. */
  public static Reply reply(FullHttpResponse response) {
    return reply(
        response.status().code(),
        name -> response.headers().get(name, ""),
        ByteBufUtil.getBytes(response.content()));
  }

  /**
   * The same for any HTTP client.
   *
   * @param header the value of a header, empty where it is absent
   */
  public static Reply reply(int status, UnaryOperator<String> header, byte[] body) {
    try {
      return switch (status) {
        case 200 -> new Reply.Delta(DeltaJson.read(body));
        case 204 -> new Reply.Unchanged();
        case 206 -> new Reply.Part(part(header, body));
        case 410 -> new Reply.Gone();
        case 503 -> new Reply.Busy(retryAfterNanos(header));
        default -> new Reply.Failed(reason(status, body));
      };
    } catch (IOException | IllegalArgumentException e) {
      return new Reply.Failed("an answer that makes no sense: " + e.getMessage());
    }
  }

  private static String reason(int status, byte[] body) {
    String text = new String(body, StandardCharsets.UTF_8);
    String shown = text.substring(0, Math.min(MAX_REASON_CHARS, text.length()));
    return "answer " + status + (shown.isEmpty() ? "" : ": " + shown);
  }

  private static long retryAfterNanos(UnaryOperator<String> header) {
    String seconds = header.apply(HttpHeaderNames.RETRY_AFTER.toString());
    return TimeUnit.SECONDS.toNanos(
        seconds.matches("\\d{1,4}") ? Long.parseLong(seconds) : DEFAULT_RETRY_SECONDS);
  }

  private static SnapshotPart part(UnaryOperator<String> header, byte[] body) {
    String range = header.apply(HttpHeaderNames.CONTENT_RANGE.toString());
    Matcher m = RANGE.matcher(range);
    if (!m.matches()) {
      throw new IllegalArgumentException("Content-Range \"" + range + "\"");
    }
    long from = Long.parseLong(m.group(1));
    if (Long.parseLong(m.group(2)) != from + body.length - 1) {
      throw new IllegalArgumentException("Content-Range \"" + range + "\" with other bytes");
    }
    ConfigurationVersion version = ConfigurationVersion.parse(header.apply(VERSION_HEADER));
    return new SnapshotPart(version, from, Long.parseLong(m.group(3)), body);
  }
}
