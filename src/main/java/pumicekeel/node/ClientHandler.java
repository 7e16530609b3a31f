package pumicekeel.node;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/** One client connection: reads a request at a time, hands it to the core and writes its answer. */
final class ClientHandler extends SimpleChannelInboundHandler<HttpObject> implements Client {

  private static final int MAX_BODY = 64 << 10;

  private final ClientSide side;
  private ChannelHandlerContext ctx;
  private HttpRequest head;
  private ByteArrayOutputStream body;
  /** The id of the request that waits for its answer, or null. */
  private String waiting;
  private boolean keepAlive;
  private boolean discarding;

  ClientHandler(ClientSide side) {
    this.side = side;
  }

  @Override
  public void handlerAdded(ChannelHandlerContext context) {
    ctx = context;
  }

  /** Nothing of a request has come that has no answer yet. */
  boolean idle() {
    return untaken() && head == null;
  }

  /** No whole request has come that has no answer yet, and no last answer is on its way out. */
  boolean untaken() {
    return waiting == null && !discarding;
  }

  /** Closes once all that was written has gone out: an answer must not be cut short. */
  void close() {
    ctx.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, HttpObject message) throws IOException {
    if (discarding) {
      return;
    }
    if (message.decoderResult().isFailure()) {
      reject(400, "malformed request");
      return;
    }
    if (message instanceof HttpRequest next) {
      begin(next);
    }
    if (message instanceof HttpContent part && head != null) {
      part.content().readBytes(body, part.content().readableBytes());
      if (body.size() > MAX_BODY) {
        reject(413, "body over 64 KiB");
      } else if (message instanceof LastHttpContent) {
        whole();
      }
    }
  }

  private void begin(HttpRequest next) {
    if (waiting != null) {
      // Pipelining: the first request still gets its answer, the rest is dropped with the connection.
      keepAlive = false;
      discard();
      return;
    }
    head = next;
    body = new ByteArrayOutputStream();
    if (HttpUtil.is100ContinueExpected(next)) {
      ctx.writeAndFlush(new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
    }
  }

  /** Reads no more from a client that breaks the protocol: what it sends must not fill the memory. */
  private void discard() {
    discarding = true;
    ctx.channel().config().setAutoRead(false);
  }

  private void whole() {
    HttpRequest request = head;
    head = null;
    keepAlive = HttpUtil.isKeepAlive(request);
    if (request.uri().equals("/up") || request.uri().equals(WarmUp.PATH) && !side.serves(WarmUp.PATH)) {
      write(side.ready() || request.uri().equals(WarmUp.PATH) ? 200 : 503, new byte[0], "text/plain", 0);
      return;
    }
    try {
      ClientRequest taken = ClientRequest.of(request, body.toByteArray(), side.settings());
      waiting = taken.id();
      if (!side.take(taken, this)) {
        waiting = null;
        throw new ClientRequest.Bad(409, "this id is open already");
      }
    } catch (ClientRequest.Bad e) {
      write(e.status, e.getMessage().getBytes(StandardCharsets.UTF_8), "text/plain", 0);
    }
  }

  /** Answers what breaks the protocol; a request that is taken already keeps its own, only answer. */
  private void reject(int status, String why) {
    keepAlive = false;
    head = null;
    discard();
    if (waiting == null) {
      write(status, why.getBytes(StandardCharsets.UTF_8), "text/plain", 0);
    }
  }

  @Override
  public void served(Answer answer) {
    write(200, answer.body(), answer.contentType(), 0);
  }

  @Override
  public void refused(long retryAfterNanos) {
    write(429, new byte[0], null, retryAfterNanos);
  }

  @Override
  public void failed() {
    write(502, new byte[0], null, 0);
  }

  private void write(int status, byte[] content, String contentType, long retryAfterNanos) {
    waiting = null;
    FullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status),
        Unpooled.wrappedBuffer(content));
    response.headers().set(HttpHeaderNames.CONTENT_LENGTH, content.length);
    if (contentType != null) {
      response.headers().set(HttpHeaderNames.CONTENT_TYPE, contentType);
    }
    if (retryAfterNanos > 0) {
      response.headers().set(HttpHeaderNames.RETRY_AFTER, String.format(Locale.ROOT, "%.3f", retryAfterNanos / 1e9));
    }
    boolean last = !keepAlive || side.draining();
    if (last) {
      response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
    var written = ctx.writeAndFlush(response);
    if (last) {
      discard();
      written.addListener(ChannelFutureListener.CLOSE);
    }
    side.becameIdle(this);
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    side.closed(this);
    if (waiting != null) {
      String id = waiting;
      waiting = null;
      side.clientGone(id);
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    if (!(cause instanceof IOException)) {
      Log.line("client " + context.channel().remoteAddress() + ": " + cause);
    }
    context.close();
  }
}
