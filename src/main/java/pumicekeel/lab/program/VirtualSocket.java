package pumicekeel.lab.program;

import io.netty.buffer.ByteBuf;
import io.netty.channel.AbstractChannel;
import io.netty.channel.Channel;
import io.netty.channel.ChannelConfig;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelId;
import io.netty.channel.ChannelMetadata;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.ChannelPromise;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.channel.socket.DuplexChannel;
import io.netty.util.concurrent.ScheduledFuture;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.channels.ClosedChannelException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.TimeUnit;
import pumicekeel.runtime.Sockets;

/** A connection of the program as a Netty channel: reads on request and writes as much as the peer has buffer space for. */
final class VirtualSocket extends AbstractChannel implements DuplexChannel, Line.Listener {

  private static final ChannelMetadata METADATA = new ChannelMetadata(false, 16);

  private static final int METHOD = 5;
  private static final int LEAST_HEAD = 20;

  private final VirtualNetwork network;
  private final VirtualConfig config;
  private Line.End end;
  private boolean open = true;
  private boolean reads;
  private boolean readDue;
  private boolean blocked;
  private boolean inputOver;
  private boolean outputOver;
  private ChannelPromise connecting;
  private ScheduledFuture<?> connectTimeout;

  /** Creates a channel for an accepted connection, or, with a null endpoint, for an outgoing one that is not connected yet. */
  VirtualSocket(VirtualNetwork network, Channel parent, Line.End end) {
    super(parent, new VirtualId(network.newId()));
    this.network = network;
    this.end = end;
    config = new VirtualConfig(this, network.allocator(), () -> reads = false);
    network.opened(this);
  }

  /** Returns whether the connection is established and nothing waits to be read. */
  boolean quiet() {
    return isActive() && end.quiet();
  }

  /** Discards up to this many unread bytes, as {@link Sockets#discardUnread} defines it. */
  int drop(int most) {
    if (!isActive()) {
      return Sockets.CLOSED_BY_PEER;
    }
    int dropped = Math.min(most, end.unread());
    end.read(new byte[dropped], 0, dropped);
    return end.reset() || end.over() ? Sockets.CLOSED_BY_PEER : dropped;
  }

  // Reading

  @Override
  protected void doRegister(ChannelPromise promise) {
    if (end != null) {
      end.listener(this);
    }
    promise.setSuccess();
  }

  @Override
  protected void doBeginRead() {
    reads = true;
    if (end != null && !end.quiet() && !(inputOver && end.unread() == 0 && !end.reset())) {
      readLater();
    }
  }

  private void readLater() {
    if (!readDue) {
      readDue = true;
      eventLoop().execute(() -> {
        readDue = false;
        look();
      });
    }
  }

  /** Reads after a random delay: what arrives until then is read together, and events of other sockets may be handled first. */
  @Override
  public void readable() {
    if (readDue || !reads || !open) {
      return;
    }
    long until = network.untilRead();
    if (until == 0) {
      look();
    } else {
      readDue = true;
      network.loop().at(network.loop().now() + until, () -> {
        readDue = false;
        look();
      });
    }
  }

  private void look() {
    if (!reads || !open || end == null) {
      return;
    }
    var handle = unsafe().recvBufAllocHandle();
    handle.reset(config);
    boolean any = false;
    while (open && end.unread() > 0 && (!any || handle.continueReading())) {
      ByteBuf buffer = network.allocator().heapBuffer(handle.guess());
      handle.attemptedBytesRead(buffer.writableBytes());
      byte[] bytes = new byte[Math.min(buffer.writableBytes(), end.unread())];
      int n = end.read(bytes, 0, bytes.length);
      buffer.writeBytes(bytes);
      handle.lastBytesRead(n);
      handle.incMessagesRead(1);
      reads = false;
      any = true;
      pipeline().fireChannelRead(buffer);
    }
    if (any) {
      handle.readComplete();
      pipeline().fireChannelReadComplete();
    }
    end();
  }

  private void end() {
    if (!open || end.unread() > 0) {
      return;
    }
    if (end.reset()) {
      pipeline().fireExceptionCaught(new IOException("Connection reset"));
      unsafe().close(voidPromise());
    } else if (end.over() && !config.allowsHalfClosure()) {
      unsafe().close(voidPromise());
    } else if (end.over() && !inputOver) {
      inputOver = true;
      pipeline().fireUserEventTriggered(ChannelInputShutdownEvent.INSTANCE);
    }
  }

  // Writing

  @Override
  protected void doWrite(ChannelOutboundBuffer out) throws IOException {
    for (Object next = out.current(); next != null; next = out.current()) {
      ByteBuf bytes = (ByteBuf) next;
      if (!bytes.isReadable()) {
        out.remove();
        continue;
      }
      if (end.reset()) {
        throw new IOException("Broken pipe");
      }
      if (parent() == null && !end.quiet() && startsRequest(bytes)) {
        network.broken("a request was written on a connection with unread input");
      }
      byte[] copy = new byte[bytes.readableBytes()];
      bytes.getBytes(bytes.readerIndex(), copy);
      int sent = end.send(copy, 0, copy.length);
      if (sent > 0) {
        out.removeBytes(sent);
      }
      if (sent < copy.length) {
        blocked = true;
        return;
      }
    }
    network.bytes();
  }

  private static boolean startsRequest(ByteBuf bytes) {
    return bytes.readableBytes() > LEAST_HEAD
        && bytes
            .toString(bytes.readerIndex(), METHOD, StandardCharsets.US_ASCII)
            .matches("GET /|POST ");
  }

  @Override
  public void writable() {
    if (blocked && open) {
      blocked = false;
      ((SocketUnsafe) unsafe()).flushNow();
    }
  }

  // Connecting and closing

  private final class SocketUnsafe extends AbstractUnsafe {

    private void flushNow() {
      flush0();
    }

    @Override
    public void connect(SocketAddress remote, SocketAddress local, ChannelPromise promise) {
      if (!promise.setUncancellable() || !ensureOpen(promise)) {
        return;
      }
      connecting = promise;
      int most = config.getConnectTimeoutMillis();
      connectTimeout = eventLoop()
          .schedule(
              () -> failed(new ConnectTimeoutException("connection timed out")),
              most,
              TimeUnit.MILLISECONDS);
      network.connect((InetSocketAddress) remote, this::up, (refused, why) -> failed(why));
    }

    private void up(Line.End now) {
      if (!open) {
        now.close();
        return;
      }
      end = now;
      ChannelPromise promise = connecting;
      settled();
      boolean told = promise.trySuccess();
      pipeline().fireChannelActive();
      end.listener(VirtualSocket.this);
      if (!told) {
        close(voidPromise());
      }
    }

    private void failed(IOException why) {
      if (connecting != null) {
        ChannelPromise promise = connecting;
        settled();
        promise.tryFailure(why);
        close(voidPromise());
      }
    }
  }

  private void settled() {
    connecting = null;
    connectTimeout.cancel(false);
  }

  @Override
  protected AbstractUnsafe newUnsafe() {
    return new SocketUnsafe();
  }

  @Override
  protected void doClose() {
    open = false;
    network.closed(this);
    if (connecting != null) {
      ChannelPromise promise = connecting;
      settled();
      promise.tryFailure(new ClosedChannelException());
    }
    if (end != null) {
      end.close();
    }
  }

  @Override
  protected void doShutdownOutput() {
    outputOver = true;
    end.finish();
  }

  @Override
  public ChannelFuture shutdownOutput() {
    return shutdownOutput(newPromise());
  }

  @Override
  public ChannelFuture shutdownOutput(ChannelPromise promise) {
    ((AbstractUnsafe) unsafe()).shutdownOutput(promise);
    return promise;
  }

  @Override
  public ChannelFuture shutdownInput() {
    return shutdownInput(newPromise());
  }

  @Override
  public ChannelFuture shutdownInput(ChannelPromise promise) {
    return promise.setFailure(
        new UnsupportedOperationException("shutting down the input alone is not supported"));
  }

  @Override
  public ChannelFuture shutdown() {
    return close();
  }

  @Override
  public ChannelFuture shutdown(ChannelPromise promise) {
    return close(promise);
  }

  @Override
  public boolean isInputShutdown() {
    return inputOver || !open;
  }

  @Override
  public boolean isOutputShutdown() {
    return outputOver || !open;
  }

  @Override
  public boolean isShutdown() {
    return isInputShutdown() && isOutputShutdown();
  }

  @Override
  protected void doDisconnect() {
    doClose();
  }

  @Override
  protected void doBind(SocketAddress local) {
    // The network assigns a port.
  }

  @Override
  protected boolean isCompatible(EventLoop loop) {
    return loop instanceof VirtualLoop;
  }

  @Override
  protected ChannelId newId() {
    return VirtualId.ZERO;
  }

  @Override
  protected SocketAddress localAddress0() {
    return end == null ? null : end.address;
  }

  @Override
  protected SocketAddress remoteAddress0() {
    return end == null ? null : end.peerAddress();
  }

  @Override
  public ChannelConfig config() {
    return config;
  }

  @Override
  public boolean isOpen() {
    return open;
  }

  @Override
  public boolean isActive() {
    return open && end != null;
  }

  @Override
  public ChannelMetadata metadata() {
    return METADATA;
  }
}
