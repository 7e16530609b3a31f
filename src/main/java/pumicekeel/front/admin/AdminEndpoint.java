package pumicekeel.front.admin;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.FixedRecvByteBufAllocator;
import io.netty.channel.socket.nio.NioServerDomainSocketChannel;
import java.io.IOException;
import java.net.SocketAddress;
import java.net.UnixDomainSocketAddress;
import java.nio.file.Files;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.function.UnaryOperator;
import pumicekeel.front.AcceptErrorHandler;
import pumicekeel.runtime.Reactor;

/**
 * The admin endpoint: a listener of its own that takes one call a connection. It opens before anything else of the process,
 * and its connections count for no share of sockets, since they are few and short.
 */
public final class AdminEndpoint {

  /** Callers that say nothing stay for some seconds; beyond so many the oldest gives way. */
  static final int MAX_CONNECTIONS = 32;

  private static final int BACKLOG = 128;
  /** After a failed accept: long enough for descriptors to come back, short for an operator. */
  private static final long ACCEPT_REST_NANOS = 50_000_000L;

  private final Reactor on;
  private final EventLoop loop;
  private final UnaryOperator<String> calls;
  private final Set<Channel> open = new LinkedHashSet<>();
  private Channel listener;

  /** {@code calls} answers a line with a line, on the loop. */
  public AdminEndpoint(Reactor on, UnaryOperator<String> calls) {
    this.on = on;
    loop = on.loop();
    this.calls = calls;
  }

  /** Listens at an address, or at a path of the file system; waits for the bind, so it is not for the loop. */
  public SocketAddress listen(SocketAddress at) throws IOException, InterruptedException {
    ServerBootstrap bootstrap = new ServerBootstrap()
        .group(loop, loop)
        .handler(new AcceptErrorHandler(
            "admin", scope -> ACCEPT_REST_NANOS, () -> listener.config().setAutoRead(true)))
        .option(ChannelOption.SO_BACKLOG, BACKLOG);
    if (at instanceof UnixDomainSocketAddress path) {
      // Left by a process that was killed.
      Files.deleteIfExists(path.getPath());
      bootstrap.channel(NioServerDomainSocketChannel.class);
    } else {
      bootstrap
          .channelFactory(on.sockets()::newListeningChannel)
          .option(ChannelOption.SO_REUSEADDR, true)
          .childOption(ChannelOption.ALLOW_HALF_CLOSURE, true);
    }
    listener = bootstrap
        .childOption(
            ChannelOption.RECVBUF_ALLOCATOR,
            new FixedRecvByteBufAllocator(AdminHandler.MAX_LINE_BYTES))
        .childHandler(new ChannelInitializer<Channel>() {
          @Override
          protected void initChannel(Channel channel) {
            channel.pipeline().addLast(new AdminHandler(calls));
            opened(channel);
          }
        })
        .bind(at)
        .sync()
        .channel();
    return listener.localAddress();
  }

  private void opened(Channel channel) {
    open.add(channel);
    channel.closeFuture().addListener(closed -> open.remove(channel));
    if (open.size() > MAX_CONNECTIONS) {
      open.iterator().next().close();
    }
  }

  /** Ends the admin endpoint; by any thread. */
  public void close() {
    listener.close();
  }
}
