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
 * The admin endpoint: a separate listener that handles one call per connection. It opens before any other listener of the process, and
 * its connections do not count against any share of sockets, since they are few and short.
 */
public final class AdminEndpoint {

  /** Maximum number of open connections: a silent caller stays for some seconds, and beyond the limit the oldest is closed. */
  static final int MAX_CONNECTIONS = 32;

  private static final int BACKLOG = 128;
  /** Delay after a failed accept: long enough for descriptors to be released, short for an operator. */
  private static final long ACCEPT_RETRY_DELAY_NANOS = 50_000_000L;

  private final Reactor reactor;
  private final EventLoop loop;
  private final UnaryOperator<String> calls;
  private final Set<Channel> openChannels = new LinkedHashSet<>();
  private Channel listener;

  /** Creates an endpoint; {@code calls} answers a line with a line, on the event loop. */
  public AdminEndpoint(Reactor reactor, UnaryOperator<String> calls) {
    this.reactor = reactor;
    loop = reactor.loop();
    this.calls = calls;
  }

  /** Listens at an address, or at a path of the file system. Waits for the bind, so it must not be called on the event loop. */
  public SocketAddress listen(SocketAddress address) throws IOException, InterruptedException {
    ServerBootstrap bootstrap = new ServerBootstrap()
        .group(loop, loop)
        .handler(new AcceptErrorHandler(
            "admin", scope -> ACCEPT_RETRY_DELAY_NANOS, () -> listener.config().setAutoRead(true)))
        .option(ChannelOption.SO_BACKLOG, BACKLOG);
    if (address instanceof UnixDomainSocketAddress path) {
      // Left over from a process that was killed.
      Files.deleteIfExists(path.getPath());
      bootstrap.channel(NioServerDomainSocketChannel.class);
    } else {
      bootstrap
          .channelFactory(reactor.sockets()::newListeningChannel)
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
            track(channel);
          }
        })
        .bind(address)
        .sync()
        .channel();
    return listener.localAddress();
  }

  private void track(Channel channel) {
    openChannels.add(channel);
    channel.closeFuture().addListener(closed -> openChannels.remove(channel));
    if (openChannels.size() > MAX_CONNECTIONS) {
      openChannels.iterator().next().close();
    }
  }

  /** Closes the endpoint; may be called by any thread. */
  public void close() {
    listener.close();
  }
}
