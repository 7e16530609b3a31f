package pumicekeel.discovery;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.DateFormatter;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.json.JsonObjectDecoder;
import io.netty.util.concurrent.ScheduledFuture;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Date;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import pumicekeel.adapter.Fields;
import pumicekeel.discovery.WatchCall.End;
import pumicekeel.runtime.Log;
import pumicekeel.runtime.Reactor;

/**
 * The watch on discovery: calls {@link #watch} once wanted, and again after each failure for as long as it is. {@link CallPlan} says when
 * to call again, {@link WatchCall} when a call has stalled or is over, {@link ListCurrency} learns how current the list is. While the only
 * call has stalled another one is made beside it; the first that tells something whole stays, the other is closed.
 */
public final class Discovery {

  /** No version of the list is known, so all of it is asked for. */
  public static final long NO_INDEX = -1;
  /** Far above any list; one without an end must not fill the memory. */
  private static final int MAX_LIST = 4 << 20;

  private static final int MAX_CALLS = 2;
  private static final long CURRENCY_CHECK_MILLIS = 500;

  private final Reactor on;
  private WatchTerms terms;
  private final Consumer<HostList> news;
  private final Runnable failed;
  private final ListCurrency currency;
  private final CallPlan plan;
  private final StartTimes starts = new StartTimes();
  /** Open calls, the oldest first. */
  private final List<WatchHandler> calls = new ArrayList<>();

  private InetSocketAddress address;
  private long index;
  private boolean wanted;
  private ScheduledFuture<?> next;
  private ScheduledFuture<?> check;
  private long made;

  /** One that is not followed yet; {@code seed} spreads its calls, and {@code failed} is run after each that failed. */
  public Discovery(
      Reactor on,
      InetSocketAddress address,
      long index,
      WatchTerms terms,
      ListCurrency currency,
      long seed,
      Consumer<HostList> news,
      Runnable failed) {
    this.on = on;
    this.address = address;
    this.index = index;
    this.terms = terms;
    this.currency = currency;
    this.news = news;
    this.failed = failed;
    plan = new CallPlan(seed);
  }

  /** Begins to follow the list where that is pushed; where it is asked, the module says when. */
  public void start() {
    if (terms.pushed()) {
      watch(true);
    }
  }

  /** Other settings: how a watch is kept from now on. */
  public void reconfigure(WatchTerms next, boolean followed) {
    terms = next;
    if (followed) {
      start();
    }
  }

  /** Starts a watch, unless one is on already, or ends it. */
  public void watch(boolean on) {
    wanted = on;
    if (!on) {
      stop();
    } else if (calls.isEmpty()) {
      call();
      checkCurrency();
    }
  }

  /**
   * Follows the list at another address from now on. A watch starts there at once, however long the plan would still wait after a failure of
   * the old one; versions of the list there have nothing to do with those here. Returns whether the address is another.
   */
  public boolean moveTo(InetSocketAddress to) {
    if (to.equals(address)) {
      return false;
    }
    address = to;
    index = NO_INDEX;
    plan.moved();
    stop();
    if (wanted) {
      call();
      checkCurrency();
    }
    return true;
  }

  /** Ends the calls that may be open; it is nobody's failure. */
  private void stop() {
    cancelNext();
    if (check != null) {
      check.cancel(false);
      check = null;
    }
    List<WatchHandler> before = List.copyOf(calls);
    calls.clear();
    before.forEach(WatchHandler::close);
  }

  private void cancelNext() {
    if (next != null) {
      next.cancel(false);
      next = null;
    }
  }

  /** Logs the list's state where it is another, now and for as long as the list is followed. */
  private void checkCurrency() {
    if (check != null) {
      check.cancel(false);
    }
    logCurrency();
    check = on.loop().schedule(this::checkCurrency, CURRENCY_CHECK_MILLIS, TimeUnit.MILLISECONDS);
  }

  private void logCurrency() {
    String line = currency.stateChangeLine(on.clock().now());
    if (line != null) {
      Log.line("discovery: list " + index + " " + line);
    }
  }

  private void call() {
    cancelNext();
    Channel channel = on.newConnectingChannel();
    if (channel == null) {
      failed("no descriptor", CallFailure.UNREACHABLE, 0);
      return;
    }
    WatchHandler handler = new WatchHandler(channel);
    calls.add(handler);
    handler.expect();
    new Bootstrap()
        .group(on.loop())
        .channelFactory(() -> channel)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, terms.connectMillis())
        .handler(new ChannelInitializer<Channel>() {
          @Override
          protected void initChannel(Channel made) {
            made.pipeline()
                .addLast(new HttpClientCodec(), handler, handler.frames, handler.new Lists());
          }
        })
        .connect(address)
        .addListener(connected -> {
          if (!connected.isSuccess()) {
            handler.end("cannot connect", End.BROKEN);
          }
        });
  }

  /** Whether another call is to be made: none is open, or the only one has stalled. */
  private boolean callDue(long now) {
    return calls.isEmpty()
        || calls.size() < MAX_CALLS && calls.stream().allMatch(c -> c.call.stalledAt() <= now);
  }

  private void callIfDue() {
    next = null;
    if (wanted && callDue(on.clock().now())) {
      call();
    }
  }

  /** A call has failed. */
  private void failed(String why, CallFailure how, long waited) {
    long now = on.clock().now();
    currency.callFailed(how, now);
    long pause = terms.pushed()
        ? terms.reopenNanos()
        : plan.pause(how, waited, currency.sendableNanosLeft(now), currency.isConfirmedByPeer());
    Log.caused("discovery: watch failed: " + why + ", " + how + " after "
        + TimeUnit.NANOSECONDS.toMillis(waited) + " ms; list " + index + " is "
        + TimeUnit.NANOSECONDS.toMillis(currency.age(now)) + " ms old, next call in "
        + TimeUnit.NANOSECONDS.toMillis(pause) + " ms");
    logCurrency();
    if (wanted && next == null) {
      next = on.loop().schedule(this::callIfDue, pause, TimeUnit.NANOSECONDS);
    }
    failed.run();
  }

  /** Something whole came on this call: it stays, others are not needed. */
  private void alive(WatchHandler call, long now) {
    starts.discoveryResponded(now);
    currency.markCurrent(now);
    cancelNext();
    for (WatchHandler other : List.copyOf(calls)) {
      if (other != call) {
        calls.remove(other);
        other.close();
      }
    }
  }

  /** Lists as they begin and end in the stream. */
  private static final class ListFrames extends JsonObjectDecoder {
    private ListFrames() {
      super(MAX_LIST);
    }

    /** One has begun and has not come to its end. */
    private boolean half() {
      return actualReadableBytes() > 0;
    }
  }

  /** One call on its connection. Lists may be split anywhere over the chunks, and over lines. */
  private final class WatchHandler extends SimpleChannelInboundHandler<HttpObject> {
    private final Channel channel;
    private final ListFrames frames = new ListFrames();
    private final WatchCall call =
        new WatchCall(terms, plan.crowded(), on.clock().now());
    private final long number = ++made;
    /** Whether it has told a list. */
    private boolean listed;

    private ScheduledFuture<?> due;

    private WatchHandler(Channel channel) {
      this.channel = channel;
    }

    private boolean open() {
      return calls.contains(this);
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
      DefaultFullHttpRequest request = new DefaultFullHttpRequest(
          HttpVersion.HTTP_1_1,
          HttpMethod.GET,
          "/discovery/hosts?watch=1" + (index == NO_INDEX ? "" : "&after=" + index));
      request
          .headers()
          .set(HttpHeaderNames.HOST, address.getHostString() + ":" + address.getPort());
      ctx.writeAndFlush(request);
      call.connected(on.clock().now());
      expect();
    }

    /** Looks again when the call may have stalled or may be over. */
    private void expect() {
      if (due != null) {
        due.cancel(false);
      }
      long now = on.clock().now();
      long stalls = call.stalledAt() > now ? call.stalledAt() : Long.MAX_VALUE;
      long at = Math.min(stalls, call.endsAt());
      due = on.loop().schedule(this::look, Math.max(0, at - now), TimeUnit.NANOSECONDS);
    }

    private void look() {
      long now = on.clock().now();
      if (!open()) {
        return;
      }
      if (now >= call.endsAt()) {
        end("silent", End.LIMIT);
        return;
      }
      if (next == null && callDue(now)) {
        Log.caused("discovery: call " + number + " has stalled, " + call.phase() + " after "
            + TimeUnit.NANOSECONDS.toMillis(call.waited(now)) + " ms");
        call();
      }
      expect();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
      if (message instanceof HttpResponse head) {
        noteDate(head);
      }
      if (message.decoderResult().isFailure()) {
        end("malformed answer", End.ANSWERED);
      } else if (message instanceof HttpResponse response && response.status().code() != 200) {
        end("answer " + response.status().code(), End.ANSWERED);
      } else if (message instanceof HttpContent part && open()) {
        ctx.fireChannelRead(part.content().retain());
        if (open()) {
          cameOn(part);
        }
      }
    }

    /** A piece of the answer has come. Nothing is whole before the first list is: a heartbeat alone says nothing of what came before. */
    private void cameOn(HttpContent piece) {
      long now = on.clock().now();
      boolean whole = listed && !frames.half();
      if (piece.content().writerIndex() > 0) {
        if (whole && !call.told()) {
          plan.answered(call.waited(now));
        }
        call.progress(whole, now);
        if (whole) {
          alive(this, now);
          logCurrency();
        }
      }
      if (piece instanceof LastHttpContent) {
        end("ended", End.ANSWERED);
      } else {
        expect();
      }
    }

    /** Discovery's own wall clock, where it tells it. */
    private void noteDate(HttpResponse head) {
      Date date = DateFormatter.parseHttpDate(head.headers().get(HttpHeaderNames.DATE, ""));
      if (date != null) {
        starts.recordClockOffset(
            TimeUnit.MILLISECONDS.toNanos(date.getTime()), on.clock().now());
      }
    }

    /** What the answer's body holds, a list at a time. */
    private final class Lists extends SimpleChannelInboundHandler<ByteBuf> {
      @Override
      protected void channelRead0(ChannelHandlerContext ctx, ByteBuf whole) throws IOException {
        if (!open()) {
          return;
        }
        HostList list = HostList.of(Fields.parse("list", whole.toString(StandardCharsets.UTF_8)));
        listed = true;
        boolean beside = calls.get(0) != WatchHandler.this;
        if (beside && list.index() <= index) {
          // The older call has told it already.
          return;
        }
        index = list.index();
        long now = on.clock().now();
        starts.recordClockOffset(on.clock().wallNanos(), now);
        news.accept(starts.toLocalClock(list, now));
      }

      @Override
      public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        end(cause.toString(), End.ANSWERED);
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      end("connection ended", End.BROKEN);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      end(cause.toString(), End.BROKEN);
    }

    /** Closes the connection; that is nobody's failure. */
    private void close() {
      if (due != null) {
        due.cancel(false);
      }
      channel.close();
    }

    /** Ends this call once; one that was replaced or stopped is nobody's failure. */
    private void end(String why, End end) {
      boolean mine = calls.remove(this);
      close();
      if (mine) {
        long now = on.clock().now();
        failed(why, call.failure(end, now), call.waited(now));
      }
    }
  }
}
