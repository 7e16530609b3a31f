package pumicekeel.standin;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
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
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

/** A discovery on loopback: whole lists at the start of a watch, changes after that, a heartbeat every 2 s. */
public final class StandInDiscovery implements Closeable {

  private static final long HEARTBEAT_MILLIS = 2_000;

  /** An upstream as the list names it. */
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
  private final Map<String, Long> toldAt = new ConcurrentHashMap<>();
  private final Set<Channel> watches = ConcurrentHashMap.newKeySet();
  private final Channel listener;
  private long index = 1;

  public StandInDiscovery(EventLoopGroup group) throws InterruptedException {
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

  /** Tells of an upstream that is new or has another status: in_service, terminating or terminated. */
  public synchronized void tell(
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
    watches.forEach(w -> w.writeAndFlush(chunk(line)));
    toldAt.put(name + " " + status, System.nanoTime());
  }

  /** When a status was written to the watches, by System.nanoTime; null where it never was. */
  public Long toldAt(String name, String status) {
    return toldAt.get(name + " " + status);
  }

  public int watches() {
    return watches.size();
  }

  private static DefaultHttpContent chunk(String text) {
    return new DefaultHttpContent(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
  }

  private synchronized void begin(Channel channel) {
    StringBuilder list =
        new StringBuilder("{\"index\":" + index + ",\"snapshot\":true,\"endpoints\":[");
    String comma = "";
    for (Entry entry : entries.values()) {
      list.append(comma).append(entry.json());
      comma = ",";
    }
    watches.add(channel);
    channel.writeAndFlush(chunk(list + "]}\n"));
  }

  @Override
  public void close() {
    listener.close().syncUninterruptibly();
    watches.forEach(Channel::close);
  }

  private final class Handler extends SimpleChannelInboundHandler<Object> {
    @Override
    protected void channelRead0(ChannelHandlerContext ctx, Object message) {
      if (!(message instanceof HttpRequest)) {
        return;
      }
      var head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
      head.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
      ctx.writeAndFlush(head);
      begin(ctx.channel());
      ctx.executor()
          .scheduleAtFixedRate(
              () -> ctx.writeAndFlush(chunk("\n")),
              HEARTBEAT_MILLIS,
              HEARTBEAT_MILLIS,
              TimeUnit.MILLISECONDS);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
      watches.remove(ctx.channel());
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
      ctx.close();
    }
  }
}
