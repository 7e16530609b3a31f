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
final class VirtualSocket extends AbstractChannel
    implements DuplexChannel, VirtualConnection.Listener {

  private static final ChannelMetadata METADATA = new ChannelMetadata(false, 16);

  private static final int METHOD_BYTES = 5;
  private static final int MIN_HEAD_BYTES = 20;

  private final VirtualNetwork network;
  private final VirtualChannelConfig config;
  private VirtualConnection.Endpoint endpoint;
  private boolean open = true;
  private boolean readRequested;
  private boolean readScheduled;
  private boolean writeBlocked;
  private boolean inputShutdown;
  private boolean outputShutdown;
  private ChannelPromise connectPromise;
  private ScheduledFuture<?> connectTimeoutTask;

  /** Creates a channel for an accepted connection, or, with a null endpoint, for an outgoing one that is not connected yet. */
  VirtualSocket(VirtualNetwork network, Channel parent, VirtualConnection.Endpoint endpoint) {
    super(parent, new VirtualChannelId(network.nextChannelNumber()));
    this.network = network;
    this.endpoint = endpoint;
    config = new VirtualChannelConfig(this, network.allocator(), () -> readRequested = false);
    network.socketOpened(this);
  }

  /** Returns whether the connection is established and nothing waits to be read. */
  boolean isQuiet() {
    return isActive() && endpoint.isQuiet();
  }

  /** Discards up to this many unread bytes, as {@link Sockets#discardUnread} defines it. */
  int discardUnread(int maxBytes) {
    if (!isActive()) {
      return Sockets.CLOSED_BY_PEER;
    }
    int discarded = Math.min(maxBytes, endpoint.unreadBytes());
    endpoint.read(new byte[discarded], 0, discarded);
    return endpoint.isReset() || endpoint.isInputOver() ? Sockets.CLOSED_BY_PEER : discarded;
  }

  // Reading

  @Override
  protected void doRegister(ChannelPromise promise) {
    if (endpoint != null) {
      endpoint.listener(this);
    }
    promise.setSuccess();
  }

  @Override
  protected void doBeginRead() {
    readRequested = true;
    if (endpoint != null
        && !endpoint.isQuiet()
        && !(inputShutdown && endpoint.unreadBytes() == 0 && !endpoint.isReset())) {
      readLater();
    }
  }

  private void readLater() {
    if (!readScheduled) {
      readScheduled = true;
      eventLoop().execute(() -> {
        readScheduled = false;
        readNow();
      });
    }
  }

  /** Reads after a random delay: what arrives until then is read together, and events of other sockets may be handled first. */
  @Override
  public void readable() {
    if (readScheduled || !readRequested || !open) {
      return;
    }
    long delayNanos = network.drawReadDelayNanos();
    if (delayNanos == 0) {
      readNow();
    } else {
      readScheduled = true;
      network.loop().runAt(network.loop().now() + delayNanos, () -> {
        readScheduled = false;
        readNow();
      });
    }
  }

  private void readNow() {
    if (!readRequested || !open || endpoint == null) {
      return;
    }
    var handle = unsafe().recvBufAllocHandle();
    handle.reset(config);
    boolean anyRead = false;
    while (open && endpoint.unreadBytes() > 0 && (!anyRead || handle.continueReading())) {
      ByteBuf buffer = network.allocator().heapBuffer(handle.guess());
      handle.attemptedBytesRead(buffer.writableBytes());
      byte[] bytes = new byte[Math.min(buffer.writableBytes(), endpoint.unreadBytes())];
      int n = endpoint.read(bytes, 0, bytes.length);
      buffer.writeBytes(bytes);
      handle.lastBytesRead(n);
      handle.incMessagesRead(1);
      readRequested = false;
      anyRead = true;
      pipeline().fireChannelRead(buffer);
    }
    if (anyRead) {
      handle.readComplete();
      pipeline().fireChannelReadComplete();
    }
    handleEndOfInput();
  }

  private void handleEndOfInput() {
    if (!open || endpoint.unreadBytes() > 0) {
      return;
    }
    if (endpoint.isReset()) {
      pipeline().fireExceptionCaught(new IOException("Connection reset"));
      unsafe().close(voidPromise());
    } else if (endpoint.isInputOver() && !config.allowsHalfClosure()) {
      unsafe().close(voidPromise());
    } else if (endpoint.isInputOver() && !inputShutdown) {
      inputShutdown = true;
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
      if (endpoint.isReset()) {
        throw new IOException("Broken pipe");
      }
      if (parent() == null && !endpoint.isQuiet() && startsRequest(bytes)) {
        network.reportViolation("a request was written on a connection with unread input");
      }
      byte[] copy = new byte[bytes.readableBytes()];
      bytes.getBytes(bytes.readerIndex(), copy);
      int sent = endpoint.send(copy, 0, copy.length);
      if (sent > 0) {
        out.removeBytes(sent);
      }
      if (sent < copy.length) {
        writeBlocked = true;
        return;
      }
    }
    network.bufferBytes();
  }

  private static boolean startsRequest(ByteBuf bytes) {
    return bytes.readableBytes() > MIN_HEAD_BYTES
        && bytes
            .toString(bytes.readerIndex(), METHOD_BYTES, StandardCharsets.US_ASCII)
            .matches("GET /|POST ");
  }

  @Override
  public void writable() {
    if (writeBlocked && open) {
      writeBlocked = false;
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
      connectPromise = promise;
      int timeoutMillis = config.getConnectTimeoutMillis();
      connectTimeoutTask = eventLoop()
          .schedule(
              () -> connectFailed(new ConnectTimeoutException("connection timed out")),
              timeoutMillis,
              TimeUnit.MILLISECONDS);
      network.connect(
          (InetSocketAddress) remote, this::connected, (refused, why) -> connectFailed(why));
    }

    private void connected(VirtualConnection.Endpoint established) {
      if (!open) {
        established.close();
        return;
      }
      endpoint = established;
      ChannelPromise promise = connectPromise;
      connectEnded();
      boolean notified = promise.trySuccess();
      pipeline().fireChannelActive();
      endpoint.listener(VirtualSocket.this);
      if (!notified) {
        close(voidPromise());
      }
    }

    private void connectFailed(IOException why) {
      if (connectPromise != null) {
        ChannelPromise promise = connectPromise;
        connectEnded();
        promise.tryFailure(why);
        close(voidPromise());
      }
    }
  }

  private void connectEnded() {
    connectPromise = null;
    connectTimeoutTask.cancel(false);
  }

  @Override
  protected AbstractUnsafe newUnsafe() {
    return new SocketUnsafe();
  }

  @Override
  protected void doClose() {
    open = false;
    network.socketClosed(this);
    if (connectPromise != null) {
      ChannelPromise promise = connectPromise;
      connectEnded();
      promise.tryFailure(new ClosedChannelException());
    }
    if (endpoint != null) {
      endpoint.close();
    }
  }

  @Override
  protected void doShutdownOutput() {
    outputShutdown = true;
    endpoint.shutdownOutput();
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
    return inputShutdown || !open;
  }

  @Override
  public boolean isOutputShutdown() {
    return outputShutdown || !open;
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
    return VirtualChannelId.ZERO;
  }

  @Override
  protected SocketAddress localAddress0() {
    return endpoint == null ? null : endpoint.address;
  }

  @Override
  protected SocketAddress remoteAddress0() {
    return endpoint == null ? null : endpoint.peerAddress();
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
    return open && endpoint != null;
  }

  @Override
  public ChannelMetadata metadata() {
    return METADATA;
  }
}
