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
import java.util.Date;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import pumicekeel.adapter.Fields;
import pumicekeel.runtime.Log;
import pumicekeel.runtime.Reactor;

/**
 * The watch on discovery. Where discovery is asked, each call of {@link #watch} ends in news or in one failure; asking again
 * after a failure, and how soon, is the module's decision, since calls cost a service that all balancers share. Where lists
 * are pushed, the watch is the network's own: it is opened anew by itself for as long as it is wanted.
 */
public final class Discovery {

  /** No version of the list is known, so all of it is asked for. */
  public static final long NO_INDEX = -1;
  /** Far above any list; one without an end must not fill the memory. */
  private static final int MAX_LIST = 4 << 20;

  private final Reactor on;
  private WatchTerms terms;
  private ScheduledFuture<?> reopening;
  private final Consumer<HostList> news;
  private final Runnable failed;
  private InetSocketAddress address;
  private long index;
  private boolean wanted;
  private Channel current;
  private final StartTimes starts = new StartTimes();

  public Discovery(
      Reactor on,
      InetSocketAddress address,
      long index,
      WatchTerms terms,
      Consumer<HostList> news,
      Runnable failed) {
    this.on = on;
    this.address = address;
    this.index = index;
    this.terms = terms;
    this.news = news;
    this.failed = failed;
  }

  /** Begins to follow the list where that is pushed; where it is asked, the module says when. */
  public void start() {
    if (terms.pushed()) {
      watch(true);
    }
  }

  /** Other settings: how a watch is kept from now on. */
  public void retune(WatchTerms next, boolean followed) {
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
    } else if (current == null) {
      connect();
    }
  }

  /**
   * Follows the list at another address from now on. A watch starts there at once, however long the module would
   * still wait after a failure of the old one; versions of the list there have nothing to do with those here. Returns
   * whether the address is another: then failures of the old one say nothing any more.
   */
  public boolean moveTo(InetSocketAddress next) {
    if (next.equals(address)) {
      return false;
    }
    address = next;
    index = NO_INDEX;
    stop();
    if (wanted) {
      connect();
    }
    return true;
  }

  /** Ends the watch that may be on; it is nobody's failure. */
  private void stop() {
    if (reopening != null) {
      reopening.cancel(false);
      reopening = null;
    }
    Channel before = current;
    current = null;
    if (before != null) {
      before.close();
    }
  }

  private void connect() {
    if (reopening != null) {
      reopening.cancel(false);
      reopening = null;
    }
    Channel channel = on.connecting();
    if (channel == null) {
      failed("no descriptor");
      return;
    }
    WatchHandler handler = new WatchHandler();
    handler.channel = channel;
    current = channel;
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
            handler.end("cannot connect");
          }
        });
  }

  /** A watch has failed. */
  private void failed(String why) {
    Log.caused("discovery: watch failed: " + why);
    if (terms.pushed()) {
      reopening = on.loop().schedule(this::connect, terms.reopenMillis(), TimeUnit.MILLISECONDS);
    } else {
      failed.run();
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

  /** One watch: its life and its silence. Lists may be split anywhere over the chunks, and over lines. */
  private final class WatchHandler extends SimpleChannelInboundHandler<HttpObject> {
    private Channel channel;
    private final ListFrames frames = new ListFrames();
    private ScheduledFuture<?> silence;

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
      expect(terms.answerMillis());
    }

    /** Guards against a discovery that vanished: its connection stays open and says nothing for ever. */
    private void expect(long withinMillis) {
      if (silence != null) {
        silence.cancel(false);
      }
      silence = on.loop().schedule(() -> end("silent"), withinMillis, TimeUnit.MILLISECONDS);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, HttpObject message) {
      if (message instanceof HttpResponse head) {
        noteDate(head);
      }
      if (message.decoderResult().isFailure()) {
        end("malformed answer");
      } else if (message instanceof HttpResponse response && response.status().code() != 200) {
        end("answer " + response.status().code());
      } else if (message instanceof HttpContent part && current == channel) {
        ctx.fireChannelRead(part.content().retain());
        if (message instanceof LastHttpContent) {
          end("ended");
        } else if (current == channel && !frames.half()) {
          starts.heard(on.clock().now());
          expect(terms.silenceMillis());
        }
      }
    }

    /** Discovery's own wall clock, where it tells it. */
    private void noteDate(HttpResponse head) {
      Date date = DateFormatter.parseHttpDate(head.headers().get(HttpHeaderNames.DATE, ""));
      if (date != null) {
        starts.clocksRead(
            TimeUnit.MILLISECONDS.toNanos(date.getTime()), on.clock().now());
      }
    }

    /** What the answer's body holds, a list at a time. */
    private final class Lists extends SimpleChannelInboundHandler<ByteBuf> {
      @Override
      protected void channelRead0(ChannelHandlerContext ctx, ByteBuf whole) throws IOException {
        if (current == channel) {
          HostList list = HostList.of(Fields.parse("list", whole.toString(StandardCharsets.UTF_8)));
          index = list.index();
          long now = on.clock().now();
          starts.clocksRead(on.clock().wallNanos(), now);
          news.accept(starts.byOwnClock(list, now));
        }
      }

      @Override
      public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        end(cause.toString());
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      end("connection ended");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      end(cause.toString());
    }

    /** Ends this watch once; one that was replaced or stopped is nobody's failure. */
    private void end(String why) {
      if (silence != null) {
        silence.cancel(false);
      }
      channel.close();
      if (current == channel) {
        current = null;
        failed(why);
      }
    }
  }
}
