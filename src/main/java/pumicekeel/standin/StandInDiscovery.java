package pumicekeel.standin;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import java.io.Closeable;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/**
 * A discovery service on loopback: sends the full list at the start of a watch, then changes, and a heartbeat every 2 s. With
 * {@link DiscoveryFaults} it serves calls one at a time, and calls and watches fail as specified.
 */
public final class StandInDiscovery implements Closeable {

  private static final long HEARTBEAT_MILLIS = 2_000;

  /** An upstream in the list. */
  private record Entry(
      String name, InetSocketAddress address, int group, String status, long sinceMillis) {
    private String json() {
      return "{\"name\":\"" + name + "\",\"address\":\"" + address.getAddress().getHostAddress()
          + ":"
          + address.getPort() + "\",\"zone\":\"a\",\"type\":\"t\",\"group\":" + group
          + ",\"status\":\"" + status
          + "\",\"weight\":1.0,\"since_ms\":" + sinceMillis + "}";
    }
  }

  private final Map<String, Entry> entries = new LinkedHashMap<>();
  private final Map<String, Long> announcedAt = new ConcurrentHashMap<>();
  /** Open watches and their callers. */
  private final Map<Channel, String> watches = new ConcurrentHashMap<>();

  private final Channel listener;
  private final DiscoveryFaults faults;
  private final CallQueue queue;
  private long index = 1;

  public StandInDiscovery(EventLoopGroup group) throws InterruptedException {
    this(group, DiscoveryFaults.none());
  }

  /** Creates a service whose calls and watches fail as specified by {@code faults}. */
  public StandInDiscovery(EventLoopGroup group, DiscoveryFaults faults)
      throws InterruptedException {
    this.faults = faults;
    queue = new CallQueue(group.next(), faults, this::serve);
    listener = new ServerBootstrap()
        .group(group)
        .channel(NioServerSocketChannel.class)
        .childHandler(new ChannelInitializer<Channel>() {
          @Override
          protected void initChannel(Channel channel) {
            channel.pipeline().addLast(new HttpServerCodec(), new Handler());
          }
        })
        .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
        .sync()
        .channel();
  }

  public InetSocketAddress address() {
    return (InetSocketAddress) listener.localAddress();
  }

  /** Announces a new upstream or a change of status: in_service, terminating or terminated; {@code sinceMillis} is its wall-clock start. */
  public synchronized void announce(
      String name, InetSocketAddress address, int group, String status, long sinceMillis) {
    Entry entry = new Entry(name, address, group, status, sinceMillis);
    index++;
    if (status.equals("terminated")) {
      entries.remove(name);
    } else {
      entries.put(name, entry);
    }
    String line =
        "{\"index\":" + index + ",\"snapshot\":false,\"endpoints\":[" + entry.json() + "]}\n";
    watches.forEach((watch, caller) -> {
      watch.writeAndFlush(chunk(line));
      faults.written(caller, index);
    });
    announcedAt.put(name + " " + status, System.nanoTime());
  }

  /** Returns the current version of the list. */
  public synchronized long index() {
    return index;
  }

  /** Takes the service down, with all calls and watches, or brings it back. */
  public void down(boolean on) {
    faults.down(on);
    if (on) {
      queue.clear();
      watches.keySet().forEach(StandInDiscovery::reset);
    }
  }

  /** Returns when a status was sent to the watches, by System.nanoTime; null if it never was. */
  public Long announcedAt(String name, String status) {
    return announcedAt.get(name + " " + status);
  }

  /** Returns the number of open watches. */
  public int watches() {
    return watches.size();
  }

  private static DefaultHttpContent chunk(String text) {
    return new DefaultHttpContent(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
  }

  private synchronized String fullList() {
    StringBuilder list =
        new StringBuilder("{\"index\":" + index + ",\"snapshot\":true,\"endpoints\":[");
    String comma = "";
    for (Entry entry : entries.values()) {
      list.append(comma).append(entry.json());
      comma = ",";
    }
    return list + "]}\n";
  }

  /** Serves a call that has reached the head of the queue. */
  private void serve(DiscoveryCall call) {
    switch (call.handling()) {
      case RESPOND -> sendList(call);
      case CUT -> sendHalf(call);
      case REFUSE -> refuse(call.channel());
      case RESET -> reset(call.channel());
      case IGNORE -> {}
    }
  }

  private synchronized void sendList(DiscoveryCall call) {
    Channel channel = call.channel();
    if (!channel.isActive()) {
      return;
    }
    channel.write(head());
    channel.writeAndFlush(chunk(fullList()));
    faults.written(call.caller(), index);
    if (faults.quietAfterList()) {
      return;
    }
    watches.put(channel, call.caller());
    channel.closeFuture().addListener(closed -> watches.remove(channel));
    channel
        .eventLoop()
        .scheduleAtFixedRate(
            () -> channel.writeAndFlush(chunk("\n")),
            HEARTBEAT_MILLIS,
            HEARTBEAT_MILLIS,
            TimeUnit.MILLISECONDS);
  }

  /** Sends half of the list and leaves the connection open. */
  private void sendHalf(DiscoveryCall call) {
    String list = fullList();
    call.channel().write(head());
    call.channel().writeAndFlush(chunk(list.substring(0, list.length() / 2)));
  }

  private static DefaultHttpResponse head() {
    var head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
    head.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
    return head;
  }

  static void refuse(Channel channel) {
    var answer =
        new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.SERVICE_UNAVAILABLE);
    answer.headers().set(HttpHeaderNames.CONTENT_LENGTH, 0);
    channel.writeAndFlush(answer).addListener(written -> channel.close());
  }

  private static void reset(Channel channel) {
    if (channel.isActive()) {
      channel.config().setOption(ChannelOption.SO_LINGER, 0);
    }
    channel.close();
  }

  @Override
  public void close() {
    listener.close().syncUninterruptibly();
    watches.keySet().forEach(Channel::close);
  }

  private final class Handler extends SimpleChannelInboundHandler<Object> {
    @Override
    protected void channelRead0(ChannelHandlerContext ctx, Object message) {
      if (message instanceof HttpRequest request) {
        String host = request.headers().get(HttpHeaderNames.HOST, "");
        queue.add(new DiscoveryCall(ctx.channel(), host, faults.handlingOf(host)));
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      ctx.close();
    }
  }
}
