package pumicekeel.upstream.http;

import io.netty.buffer.ByteBuf;
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
import io.netty.util.concurrent.ScheduledFuture;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import pumicekeel.Balancer.Status;
import pumicekeel.call.Answer;
import pumicekeel.runtime.Log;
import pumicekeel.upstream.UpstreamAttempt;
import pumicekeel.upstream.UpstreamSocket;

/**
 * A connection to an upstream: sends one attempt at a time and reads how it ended. Only once a read is over with
 * nothing left is the connection used again: whatever else comes on it belongs to no request.
 */
public final class UpstreamConnection extends SimpleChannelInboundHandler<HttpObject> {

  private static final byte[] START = "HTTP/1.1 ".getBytes(StandardCharsets.US_ASCII);
  /** From an answer's first byte to its last: it is small and written whole, so one that stalls is spoilt. */
  private static final long ANSWER_MILLIS = 300;

  private final UpstreamPool pool;
  private final UpstreamSocket channel;
  private final AnswerDecoder decoder;
  private final ByteArrayOutputStream body = new ByteArrayOutputStream();
  private UpstreamAttempt attempt;
  private ChannelFuture written;
  private HttpResponse response;
  private ScheduledFuture<?> stalled;
  private long heard;
  private int interim;
  private boolean whole;
  private boolean surplus;
  public long idleSince;

  public UpstreamConnection(UpstreamPool pool, UpstreamSocket channel, AnswerDecoder decoder) {
    this.pool = pool;
    this.channel = channel;
    this.decoder = decoder;
  }

  /** False where the peer has closed, or has sent what nobody asked for. */
  public boolean usable() {
    return channel.quiet();
  }

  /** Nothing has come since the last request was written. */
  public boolean nothingHeard() {
    return heard == 0;
  }

  public void giveBack() {
    pool.giveBack(this);
  }

  public void send(UpstreamAttempt next, FullHttpRequest request) {
    attempt = next;
    response = null;
    heard = 0;
    interim = 0;
    whole = false;
    body.reset();
    written = channel.writeAndFlush(request);
  }

  /** Runs something once the last byte of what was sent has gone out. */
  void whenWritten(Runnable then) {
    written.addListener(done -> {
      if (done.isSuccess()) {
        then.run();
      }
    });
  }

  /** Gives up what is on this connection, with no outcome. */
  public void close() {
    attempt = null;
    stopWaiting();
    channel.close();
    pool.remove(this);
  }

  /** An answer's first bytes already show noise: it is not waited for any longer. */
  boolean accepts(ByteBuf bytes) {
    pool.heard();
    if (attempt == null || whole || surplus) {
      surplus = true;
      return false;
    }
    boolean noise = false;
    for (int i = 0; heard + i < START.length && i < bytes.readableBytes(); i++) {
      noise |= bytes.getByte(bytes.readerIndex() + i) != START[(int) heard + i];
    }
    heard += bytes.readableBytes();
    surplus = noise;
    return !noise;
  }

  @Override
  protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) throws IOException {
    if (attempt == null || whole || message.decoderResult().isFailure()) {
      surplus = true;
      return;
    }
    if (message instanceof HttpResponse head) {
      response = head;
      surplus |= !AnswerHead.sound(head) || interim() && ++interim > AnswerHead.MOST_INTERIM;
    }
    if (message instanceof HttpContent part && response != null && !interim() && !surplus) {
      part.content().readBytes(body, part.content().readableBytes());
      surplus = body.size() > Answer.MAX_BODY;
      whole = !surplus && message instanceof LastHttpContent;
    }
  }

  private boolean interim() {
    return response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
  }

  /** The read is over: a whole answer counts, whatever came behind it, and anything else that is too much does not. */
  @Override
  public void channelReadComplete(ChannelHandlerContext ctx) {
    if (whole && attempt != null) {
      answered();
    } else if (surplus) {
      broken();
    } else if (stalled == null && begun()) {
      stalled = ctx.executor().schedule(this::broken, ANSWER_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  /** Part of the answer itself has come, not only of interim ones ahead of it. */
  private boolean begun() {
    return attempt != null && (decoder.leftOver() || response != null && !interim());
  }

  private void answered() {
    UpstreamAttempt ended = attempt;
    attempt = null;
    stopWaiting();
    if (!surplus && !decoder.leftOver() && HttpUtil.isKeepAlive(response) && written.isSuccess()
        && channel.isActive()) {
      pool.giveBack(this);
    } else {
      channel.close();
    }
    ended.end(AnswerHead.statusOf(response),
        new Answer(body.toByteArray(), response.headers().get(HttpHeaderNames.CONTENT_TYPE)));
  }

  private void stopWaiting() {
    if (stalled != null) {
      stalled.cancel(false);
      stalled = null;
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext ctx) {
    broken();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
    if (!(cause instanceof IOException)) {
      Log.caused("upstream " + pool.address() + ": " + cause);
    }
    broken();
  }

  /** The connection is of no use any more: what was on it ran perhaps, if its last byte went out or an answer came. */
  private void broken() {
    UpstreamAttempt ended = attempt;
    close();
    if (ended != null) {
      ended.end(written.isSuccess() || heard > 0 ? Status.RESET : Status.CONNECT_FAILED, null);
    }
  }
}
