package pumicekeel.node;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import pumicekeel.Balancer.Status;

/** A connection to an upstream: sends one attempt at a time and reads how it ended. */
final class UpstreamConnection extends SimpleChannelInboundHandler<HttpObject> {

  /** A body beyond the protocol's limit is malformed. */
  private static final int MAX_BODY = 64 << 10;

  private final ConnectionPool pool;
  private final Channel channel;
  private final ByteArrayOutputStream body = new ByteArrayOutputStream();
  private InetSocketAddress address;
  private UpstreamAttempt attempt;
  private ChannelFuture written;
  private HttpResponse response;
  long idleSince;

  UpstreamConnection(ConnectionPool pool, Channel channel) {
    this.pool = pool;
    this.channel = channel;
  }

  /** Asked of the channel when first needed: a connect's listeners run before channelActive. */
  InetSocketAddress address() {
    if (address == null) {
      address = (InetSocketAddress) channel.remoteAddress();
    }
    return address;
  }

  /** False from the moment that the peer's close was seen, before the pool hears of it. */
  boolean usable() {
    return channel.isActive();
  }

  void send(UpstreamAttempt next, FullHttpRequest request) {
    attempt = next;
    response = null;
    body.reset();
    written = channel.writeAndFlush(request);
  }

  /** Gives up what is on this connection, with no outcome. */
  void close() {
    attempt = null;
    channel.close();
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) throws IOException {
    if (attempt == null || message.decoderResult().isFailure()) {
      broken();
      return;
    }
    if (message instanceof HttpResponse head) {
      response = head;
    }
    if (message instanceof HttpContent part && response != null
        && response.status().codeClass() != HttpStatusClass.INFORMATIONAL) {
      part.content().readBytes(body, part.content().readableBytes());
      if (body.size() > MAX_BODY) {
        broken();
      } else if (message instanceof LastHttpContent) {
        answered();
      }
    }
  }

  /** The whole answer has come. One without a length can't be told from one cut short: it counts as broken. */
  private void answered() {
    if (!HttpUtil.isContentLengthSet(response) && !HttpUtil.isTransferEncodingChunked(response)) {
      broken();
      return;
    }
    UpstreamAttempt ended = attempt;
    attempt = null;
    if (HttpUtil.isKeepAlive(response) && written.isSuccess() && channel.isActive()) {
      pool.giveBack(this);
    } else {
      channel.close();
    }
    ended.end(statusOf(response), new Answer(body.toByteArray(), response.headers().get(HttpHeaderNames.CONTENT_TYPE)));
  }

  /** Only X-Unprocessed proves that a request never ran; a bare 503 may stand for one that did. */
  private static Status statusOf(HttpResponse response) {
    int code = response.status().code();
    if (code == 200) {
      return Status.SERVED;
    }
    boolean never = (code == 503 || code == 504) && "1".equals(response.headers().get("X-Unprocessed"));
    return never ? Status.FULL : Status.ERROR;
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    broken();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    if (!(cause instanceof IOException)) {
      Log.line("upstream " + address() + ": " + cause);
    }
    broken();
  }

  /** The connection is of no use any more: what was on it ran perhaps, if its last byte went out. */
  private void broken() {
    UpstreamAttempt ended = attempt;
    attempt = null;
    channel.close();
    pool.remove(this);
    if (ended != null) {
      ended.end(written.isSuccess() ? Status.RESET : Status.CONNECT_FAILED, null);
    }
  }
}
