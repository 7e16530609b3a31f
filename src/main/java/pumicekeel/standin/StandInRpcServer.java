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
import java.io.Closeable;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import pumicekeel.jsonrpc.Frame;
import pumicekeel.jsonrpc.FrameDecoder;
import pumicekeel.jsonrpc.Framing;
import pumicekeel.jsonrpc.Id;
import pumicekeel.jsonrpc.Limits;
import pumicekeel.jsonrpc.Message;
import pumicekeel.jsonrpc.MessageReader;
import pumicekeel.jsonrpc.MessageWriter;

/** A JSON-RPC server on loopback that follows a script and logs which calls reached it and when; tests check against this log. */
public final class StandInRpcServer implements Closeable {

  /** A completely received call; {@code params} is raw JSON, or null. */
  public record ReceivedCall(int connection, long id, String method, String params, long atNanos) {}

  /** Handles calls, on the connection's event loop. */
  public interface Script {
    void on(ReceivedCall call, Connection connection);
  }

  /** Responds with the params. */
  public static final Script ECHO =
      (call, c) -> c.result(call.id(), call.params() == null ? "null" : call.params());

  private static final Limits LIMITS = new Limits(1 << 20, Limits.MAX_DEPTH, 1);
  private static final int MAX_RECEIVED = 2_000_000;

  private final Framing framing;
  private final List<ReceivedCall> received = new ArrayList<>();
  private final Set<Channel> connections = ConcurrentHashMap.newKeySet();
  private final AtomicInteger opened = new AtomicInteger();
  private final ServerBootstrap bootstrap;
  private final InetSocketAddress address;
  private volatile Channel listener;
  private volatile Script script = ECHO;
  private volatile boolean reads = true;

  /** Listens on a free port. */
  public StandInRpcServer(EventLoopGroup group, Framing framing) throws InterruptedException {
    this.framing = framing;
    bootstrap = new ServerBootstrap()
        .group(group)
        .channel(NioServerSocketChannel.class)
        .option(ChannelOption.SO_REUSEADDR, true)
        .option(ChannelOption.SO_BACKLOG, 1024)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childHandler(new ChannelInitializer<Channel>() {
          @Override
          protected void initChannel(Channel channel) {
            connections.add(channel);
            channel.closeFuture().addListener(closed -> connections.remove(channel));
            channel.config().setAutoRead(reads);
            channel
                .pipeline()
                .addLast(
                    new FrameDecoder(framing, LIMITS, () -> true),
                    new Connection(opened.incrementAndGet()));
          }
        });
    listener = bootstrap
        .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
        .sync()
        .channel();
    address = (InetSocketAddress) listener.localAddress();
  }

  public InetSocketAddress address() {
    return address;
  }

  /** Sets the script for calls that are received from now on. */
  public StandInRpcServer script(Script next) {
    script = next;
    return this;
  }

  /** Sets whether connections accepted from now on are read. */
  public void reads(boolean next) {
    reads = next;
  }

  /** Returns the calls received so far, in order. */
  public List<ReceivedCall> received() {
    synchronized (received) {
      return List.copyOf(received);
    }
  }

  /** Returns the number of connections accepted so far. */
  public int opened() {
    return opened.get();
  }

  /** Returns the number of connections that are open now. */
  public int open() {
    return connections.size();
  }

  /** Stops the server: open connections are reset and new ones refused. */
  public void kill() {
    listener.close().syncUninterruptibly();
    connections.forEach(StandInRpcServer::reset);
  }

  /** Restarts the server at the same address. */
  public void revive() throws InterruptedException {
    listener = bootstrap.bind(address).sync().channel();
  }

  private static void reset(Channel channel) {
    channel.eventLoop().execute(() -> {
      if (channel.isActive()) {
        channel.config().setOption(ChannelOption.SO_LINGER, 0);
      }
      channel.close();
    });
  }

  @Override
  public void close() {
    kill();
  }

  /** One connection, for scripts. */
  public final class Connection extends SimpleChannelInboundHandler<Frame> {
    private final int number;
    private final MessageReader reader = new MessageReader(LIMITS);
    private ChannelHandlerContext ctx;

    private Connection(int number) {
      this.number = number;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
      ctx = context;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, Frame frame) {
      Message message = frame instanceof Frame.Complete whole ? reader.read(whole.bytes()) : null;
      if (!(message instanceof Message.Single one)
          || !(one.entry() instanceof Message.Call call)
          || call.id() == null) {
        ctx.close();
        return;
      }
      ReceivedCall next = new ReceivedCall(
          number,
          call.id().asNumber(),
          call.method(),
          call.params() == null ? null : new String(call.params(), StandardCharsets.UTF_8),
          System.nanoTime());
      synchronized (received) {
        if (received.size() < MAX_RECEIVED) {
          received.add(next);
        }
      }
      script.on(next, this);
    }

    /** Returns the number of this connection, counted from 1 in the order of accepting. */
    public int number() {
      return number;
    }

    /** Responds to a call; {@code result} is raw JSON. */
    public void result(long id, String result) {
      message(MessageWriter.result(Id.of(id), result.getBytes(StandardCharsets.UTF_8)));
    }

    /** Responds to a call with an error. */
    public void error(long id, int code, String text) {
      message(MessageWriter.error(Id.of(id), MessageWriter.errorObject(code, text, null)));
    }

    /** Sends a message in the connection's framing. */
    public void message(byte[] message) {
      ctx.writeAndFlush(MessageWriter.frame(framing, message));
    }

    /** Sends raw text. */
    public void raw(String text) {
      ctx.writeAndFlush(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
    }

    /** Sends at least this many bytes that never complete a message. */
    public void flood(long bytes) {
      byte[] chunk = new byte[64 << 10];
      java.util.Arrays.fill(chunk, (byte) 'a');
      if (bytes > 0 && ctx.channel().isActive()) {
        ctx.writeAndFlush(Unpooled.wrappedBuffer(chunk)).addListener(done -> {
          if (done.isSuccess()) {
            flood(bytes - chunk.length);
          }
        });
      }
    }

    /** Runs a task on the connection's event loop after a delay. */
    public void later(long millis, Runnable what) {
      ctx.executor().schedule(what, millis, TimeUnit.MILLISECONDS);
    }

    /** Closes the connection after pending data is written. */
    public void close() {
      ctx.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(done -> ctx.close());
    }

    /** Resets the connection. */
    public void reset() {
      StandInRpcServer.reset(ctx.channel());
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      context.close();
    }
  }
}
