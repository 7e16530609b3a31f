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
import java.net.BindException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Date;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import pumicekeel.adapter.Fields;
import pumicekeel.discovery.WatchCall.End;
import pumicekeel.runtime.FailureScope;
import pumicekeel.runtime.Log;
import pumicekeel.runtime.Reactor;

/**
 * The watch on discovery: opens calls once {@link #watch} is turned on, and again after each failure while it stays on. {@link CallBackoff}
 * decides when to call again, {@link WatchCall} when a call has stalled or is over, and {@link ListCurrency} tracks how current the list
 * is. While the only call has stalled a second one is made in parallel; the first that receives something complete is kept, the other is
 * closed.
 */
public final class Discovery {

  /** No version of the list is known, so the full list is requested. */
  public static final long NO_INDEX = -1;
  /** Far above the size of any list; a list without an end must not fill the memory. */
  private static final int MAX_LIST_BYTES = 4 << 20;

  private static final int MAX_CALLS = 2;
  private static final long CURRENCY_CHECK_MILLIS = 500;

  private final Reactor reactor;
  private WatchTerms terms;
  private final Consumer<HostList> onList;
  private final Runnable onFailure;
  private final ListCurrency currency;
  private final CallBackoff backoff;
  private final StartTimes startTimes = new StartTimes();
  /** Open calls, the oldest first. */
  private final List<WatchHandler> calls = new ArrayList<>();

  private InetSocketAddress address;
  private long index;
  /** Whether the watch is turned on. */
  private boolean watching;

  private ScheduledFuture<?> nextCall;
  private ScheduledFuture<?> currencyCheck;
  private long callCount;

  /** Creates a watch that is not started yet; {@code seed} spreads its calls, and {@code onFailure} runs after each call that failed. */
  public Discovery(
      Reactor reactor,
      InetSocketAddress address,
      long index,
      WatchTerms terms,
      ListCurrency currency,
      long seed,
      Consumer<HostList> onList,
      Runnable onFailure) {
    this.reactor = reactor;
    this.address = address;
    this.index = index;
    this.terms = terms;
    this.currency = currency;
    this.onList = onList;
    this.onFailure = onFailure;
    backoff = new CallBackoff(seed);
  }

  /** Starts watching the list if it is pushed; if it is polled, the module decides when. */
  public void start() {
    if (terms.pushed()) {
      watch(true);
    }
  }

  /** Changes the terms for calls made from now on. */
  public void reconfigure(WatchTerms next, boolean hasObservers) {
    terms = next;
    if (hasObservers) {
      start();
    }
  }

  /** Starts the watch unless it is on already, or ends it. */
  public void watch(boolean on) {
    watching = on;
    if (!on) {
      closeCalls();
    } else if (calls.isEmpty()) {
      openCall();
      checkCurrency();
    }
  }

  /**
   * Watches the list at another address from now on. The call there starts at once, whatever pause was left after a failure at the old
   * one; versions of the list there are unrelated to those here. Returns whether the address is a different one.
   */
  public boolean moveTo(InetSocketAddress to) {
    if (to.equals(address)) {
      return false;
    }
    address = to;
    index = NO_INDEX;
    backoff.reset();
    currency.discoveryMoved(reactor.clock().now());
    closeCalls();
    if (watching) {
      openCall();
      checkCurrency();
    }
    return true;
  }

  /** Closes any open calls; this does not count as a failure. */
  private void closeCalls() {
    cancelNextCall();
    if (currencyCheck != null) {
      currencyCheck.cancel(false);
      currencyCheck = null;
    }
    List<WatchHandler> before = List.copyOf(calls);
    calls.clear();
    before.forEach(WatchHandler::close);
  }

  private void cancelNextCall() {
    if (nextCall != null) {
      nextCall.cancel(false);
      nextCall = null;
    }
  }

  /** Logs the list's state if it has changed, now and periodically while the list is watched. */
  private void checkCurrency() {
    if (currencyCheck != null) {
      currencyCheck.cancel(false);
    }
    logCurrency();
    currencyCheck =
        reactor.loop().schedule(this::checkCurrency, CURRENCY_CHECK_MILLIS, TimeUnit.MILLISECONDS);
  }

  private void logCurrency() {
    String line = currency.stateChangeLine(reactor.clock().now());
    if (line != null) {
      Log.line("discovery: list " + index + " " + line);
    }
  }

  private void openCall() {
    cancelNextCall();
    Channel channel = reactor.newConnectingChannel();
    if (channel == null) {
      callFailed("no file descriptor available", CallFailure.NOT_MADE, 0);
      return;
    }
    WatchHandler handler = new WatchHandler(channel);
    calls.add(handler);
    handler.scheduleCheck();
    new Bootstrap()
        .group(reactor.loop())
        .channelFactory(() -> channel)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, terms.connectMillis())
        .handler(new ChannelInitializer<Channel>() {
          @Override
          protected void initChannel(Channel made) {
            made.pipeline()
                .addLast(new HttpClientCodec(), handler, handler.frames, handler.new ListHandler());
          }
        })
        .connect(address)
        .addListener(connected -> {
          if (!connected.isSuccess()) {
            handler.finish("cannot connect", endOfConnect(connected.cause()));
          }
        });
  }

  /** A connect that failed for a lack of this process's own says nothing of discovery. */
  private static End endOfConnect(Throwable cause) {
    FailureScope scope = FailureScope.known(cause);
    boolean ownLack = cause instanceof BindException || scope != null && scope.isRetryable();
    return ownLack ? End.NOT_MADE : End.BROKEN;
  }

  /** Returns whether another call is to be made: none is open, or the only one has stalled. */
  private boolean callDue(long now) {
    return calls.isEmpty()
        || calls.size() < MAX_CALLS && calls.stream().allMatch(c -> c.call.stalledAt() <= now);
  }

  private void callIfDue() {
    nextCall = null;
    if (watching && callDue(reactor.clock().now())) {
      openCall();
    }
  }

  /** Handles the failure of a call and schedules the next one. */
  private void callFailed(String reason, CallFailure failure, long elapsedNanos) {
    long now = reactor.clock().now();
    currency.callFailed(failure, now - elapsedNanos, now);
    long pause = terms.pushed()
        ? terms.reopenNanos()
        : backoff.pause(
            failure, elapsedNanos, currency.sendableNanosLeft(now), currency.isConfirmedByPeer());
    Log.rateLimited("discovery: watch failed: " + reason + ", " + failure + " after "
        + TimeUnit.NANOSECONDS.toMillis(elapsedNanos) + " ms; list " + index + " is "
        + TimeUnit.NANOSECONDS.toMillis(currency.age(now)) + " ms old, next call in "
        + TimeUnit.NANOSECONDS.toMillis(pause) + " ms");
    logCurrency();
    if (watching && nextCall == null) {
      nextCall = reactor.loop().schedule(this::callIfDue, pause, TimeUnit.NANOSECONDS);
    }
    onFailure.run();
  }

  /** Keeps only this call, on which something complete arrived, and closes the others. */
  private void keepOnly(WatchHandler call, long now) {
    startTimes.discoveryResponded(now);
    currency.markCurrent(now);
    cancelNextCall();
    for (WatchHandler other : List.copyOf(calls)) {
      if (other != call) {
        calls.remove(other);
        other.close();
      }
    }
  }

  /** Splits the stream into lists. */
  private static final class ListFrames extends JsonObjectDecoder {
    private ListFrames() {
      super(MAX_LIST_BYTES);
    }

    /** Returns whether a list has begun and has not ended. */
    private boolean hasPartialList() {
      return actualReadableBytes() > 0;
    }
  }

  /** One call on its connection. Lists may be split anywhere across chunks, and across lines. */
  private final class WatchHandler extends SimpleChannelInboundHandler<HttpObject> {
    private final Channel channel;
    private final ListFrames frames = new ListFrames();
    private final WatchCall call =
        new WatchCall(terms, backoff.crowded(), reactor.clock().now());
    private final long callNumber = ++callCount;
    /** Whether a list has been received. */
    private boolean listReceived;

    private ScheduledFuture<?> checkTask;

    private WatchHandler(Channel channel) {
      this.channel = channel;
    }

    private boolean isOpen() {
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
      call.connected(reactor.clock().now());
      scheduleCheck();
    }

    /** Schedules the next check, for when the call may have stalled or may be over. */
    private void scheduleCheck() {
      if (checkTask != null) {
        checkTask.cancel(false);
      }
      long now = reactor.clock().now();
      long at = Math.min(
          call.givenUpAt(),
          Math.min(ifLater(call.stalledAt(), now), ifLater(call.queuedAt(), now)));
      checkTask =
          reactor.loop().schedule(this::checkProgress, Math.max(0, at - now), TimeUnit.NANOSECONDS);
    }

    private static long ifLater(long at, long now) {
      return at > now ? at : Long.MAX_VALUE;
    }

    private void checkProgress() {
      long now = reactor.clock().now();
      if (!isOpen()) {
        return;
      }
      call.stillOpen(now);
      if (now >= call.givenUpAt()) {
        finish("timed out", End.LIMIT);
        return;
      }
      if (nextCall == null && callDue(now)) {
        Log.rateLimited("discovery: call " + callNumber + " has stalled, " + call.phase()
            + " after " + TimeUnit.NANOSECONDS.toMillis(call.elapsedNanos(now)) + " ms");
        openCall();
      }
      scheduleCheck();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
      if (message instanceof HttpResponse head) {
        recordServerDate(head);
      }
      if (message.decoderResult().isFailure()) {
        finish("malformed response", End.ANSWERED);
      } else if (message instanceof HttpResponse response && response.status().code() != 200) {
        finish("answer " + response.status().code(), End.ANSWERED);
      } else if (message instanceof HttpContent part && isOpen()) {
        ctx.fireChannelRead(part.content().retain());
        if (isOpen()) {
          contentReceived(part);
        }
      }
    }

    /**
     * Handles a piece of the response. Nothing counts as complete before the first list: a heartbeat alone does not show that earlier
     * data arrived.
     */
    private void contentReceived(HttpContent piece) {
      long now = reactor.clock().now();
      boolean complete = listReceived && !frames.hasPartialList();
      if (piece.content().writerIndex() > 0) {
        if (complete && !call.hasReceivedList()) {
          backoff.answerReceived(call.elapsedNanos(now));
        }
        call.progress(complete, now);
        if (complete) {
          keepOnly(this, now);
          logCurrency();
        }
      }
      if (piece instanceof LastHttpContent) {
        finish("response ended", End.ANSWERED);
      } else {
        scheduleCheck();
      }
    }

    /** Records discovery's own wall clock, if its response states it. */
    private void recordServerDate(HttpResponse head) {
      Date date = DateFormatter.parseHttpDate(head.headers().get(HttpHeaderNames.DATE, ""));
      if (date != null) {
        startTimes.recordClockOffset(
            TimeUnit.MILLISECONDS.toNanos(date.getTime()), reactor.clock().now());
      }
    }

    /** Handles the content of the response's body, one list at a time. */
    private final class ListHandler extends SimpleChannelInboundHandler<ByteBuf> {
      @Override
      protected void channelRead0(ChannelHandlerContext ctx, ByteBuf json) throws IOException {
        if (!isOpen()) {
          return;
        }
        HostList list = HostList.of(Fields.parse("list", json.toString(StandardCharsets.UTF_8)));
        listReceived = true;
        boolean isSecondCall = calls.get(0) != WatchHandler.this;
        if (isSecondCall && list.index() <= index) {
          // The older call has delivered it already.
          return;
        }
        long now = reactor.clock().now();
        startTimes.recordClockOffset(reactor.clock().wallNanos(), now);
        onList.accept(startTimes.toLocalClock(list, now));
        // Only now: one that cannot be applied has to be requested again.
        index = list.index();
      }

      @Override
      public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        reactor.errors().check(cause);
        finish(cause.toString(), End.ANSWERED);
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      finish("connection closed", End.BROKEN);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      reactor.errors().check(cause);
      finish(cause.toString(), End.BROKEN);
    }

    /** Closes the connection; this does not count as a failure. */
    private void close() {
      if (checkTask != null) {
        checkTask.cancel(false);
      }
      channel.close();
    }

    /** Ends this call once; a call that was replaced or closed does not count as failed. */
    private void finish(String reason, End end) {
      boolean wasOpen = calls.remove(this);
      close();
      if (wasOpen) {
        long now = reactor.clock().now();
        callFailed(reason, call.failure(end, now), call.elapsedNanos(now));
      }
    }
  }
}
