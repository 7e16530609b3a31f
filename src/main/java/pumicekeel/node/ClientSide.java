package pumicekeel.node;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpServerCodec;
import java.net.InetSocketAddress;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import pumicekeel.Balancer.Settings;

/** The listening side: client connections, readiness, and the end of both at a planned stop. */
final class ClientSide {

  private static final int BACKLOG = 1024;

  private final EventLoop loop;
  private final Settings settings;
  private final BalancerCore core;
  private final int most;
  /** The connection that got its last answer longest ago comes first. */
  private final Set<ClientHandler> connections = new LinkedHashSet<>();
  private Channel listener;
  private boolean ready;
  private boolean draining;

  ClientSide(EventLoop loop, Settings settings, BalancerCore core, int most) {
    this.loop = loop;
    this.settings = settings;
    this.core = core;
    this.most = most;
  }

  /** Listens; waits for the bind, so it is not to be called on the loop. */
  InetSocketAddress listen(InetSocketAddress address) throws InterruptedException {
    listener = new ServerBootstrap().group(loop, loop).channel(NioServerSocketChannel.class)
        .option(ChannelOption.SO_BACKLOG, BACKLOG)
        .option(ChannelOption.SO_REUSEADDR, true)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childHandler(new ChannelInitializer<Channel>() {
          @Override
          protected void initChannel(Channel channel) {
            ClientHandler handler = new ClientHandler(ClientSide.this);
            channel.pipeline().addLast(new HttpServerCodec(), handler);
            opened(handler);
          }
        }).bind(address).sync().channel();
    return (InetSocketAddress) listener.localAddress();
  }

  void setReady() {
    ready = true;
  }

  boolean ready() {
    return ready && !draining;
  }

  boolean draining() {
    return draining;
  }

  Settings settings() {
    return settings;
  }

  /** Whether the path is that of a class of requests. */
  boolean serves(String path) {
    return settings.classes().stream().anyMatch(c -> path.equals("/" + c.name()));
  }

  int open() {
    return connections.size();
  }

  boolean take(ClientRequest request, Client client) {
    return core.take(request, client);
  }

  void clientGone(String id) {
    core.clientGone(id);
  }

  /** Keeps the sockets few: at the limit the longest idle connection goes, and with none idle nothing is accepted. */
  private void opened(ClientHandler handler) {
    connections.add(handler);
    if (connections.size() > most) {
      connections.stream().filter(c -> c != handler && c.idle()).findFirst().ifPresentOrElse(ClientHandler::close,
          () -> listener.config().setAutoRead(false));
    }
  }

  void closed(ClientHandler handler) {
    connections.remove(handler);
    if (connections.size() <= most && listener != null && listener.isOpen()) {
      listener.config().setAutoRead(true);
    }
  }

  void becameIdle(ClientHandler handler) {
    if (connections.remove(handler)) {
      connections.add(handler);
    }
  }

  /** Begins a planned stop: clients are sent elsewhere with the answers they still get. */
  void drain() {
    draining = true;
    List.copyOf(connections).stream().filter(ClientHandler::idle).forEach(ClientHandler::close);
  }

  /** Accepts no more. */
  void stopListening() {
    listener.close();
  }

  /** Takes no more, also of what has come in part: a slow sender must not keep the process from its end. */
  void closeUntaken() {
    List.copyOf(connections).stream().filter(ClientHandler::untaken).forEach(ClientHandler::close);
  }
}
