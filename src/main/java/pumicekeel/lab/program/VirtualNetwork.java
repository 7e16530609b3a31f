package pumicekeel.lab.program;

import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ServerChannel;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import pumicekeel.lab.world.RandomStream;
import pumicekeel.runtime.Sockets;

/**
 * TCP network in virtual time: listeners by address, connects that succeed, are refused or get no reply, and the descriptors and bytes
 * that the program holds. Only the program's own channels count; simulated clients and servers use bare
 * {@link VirtualConnection.Endpoint endpoints}.
 */
final class VirtualNetwork implements Sockets {

  /** Receives the connections to a listening address. */
  interface Acceptor {
    /** Called with the accepting endpoint of a new connection. */
    void accepted(VirtualConnection.Endpoint endpoint);
  }

  /** How an address reacts to connects. */
  enum Reachability {
    OPEN,
    REFUSING,
    UNREACHABLE
  }

  private static final int FIRST_PORT = 2_000;
  private static final int MIN_WINDOW_BYTES = 4 << 10;
  private static final int MAX_WINDOW_BYTES = 64 << 10;
  private static final long MIN_DELAY_NANOS = 20_000L;
  private static final long MAX_DELAY_NANOS = 400_000L;

  /** One in this many connects takes long, as if its first packet were lost or the machine were busy. */
  private static final int CONNECTS_PER_SLOW_CONNECT = 15;

  private static final long MAX_SLOW_CONNECT_NANOS = 245_000_000L;

  /** One in this many reads of a socket is late, as if the event loop were busy. */
  private static final int READS_PER_LATE_READ = 4;

  private static final int MAX_READ_DELAY_NANOS = 1_000_000;

  private final VirtualLoop loop;
  private final RandomStream random;
  private final InetAddress host = InetAddress.getLoopbackAddress();
  private final Map<Integer, Acceptor> acceptors = new HashMap<>();
  private final Map<Integer, Reachability> reachability = new HashMap<>();
  private final Set<VirtualSocket> openSockets = new LinkedHashSet<>();
  private final UnpooledByteBufAllocator allocator = new UnpooledByteBufAllocator(false, true);
  private final Consumer<String> violations;
  private int nextPort = FIRST_PORT;
  private long lastChannelNumber;
  private int maxOpenSockets;
  private long maxBufferBytes;

  /** Creates a network; {@code violations} receives what the program must not do with its sockets. */
  VirtualNetwork(VirtualLoop loop, RandomStream random, Consumer<String> violations) {
    this.violations = violations;
    this.loop = loop;
    this.random = random;
  }

  // The program's sockets

  @Override
  public ServerChannel newListeningChannel() {
    return new VirtualListener(this);
  }

  @Override
  public Channel newConnectingChannel() {
    return new VirtualSocket(this, null, null);
  }

  @Override
  public void drainBacklogAndClose(Channel listener, int maxConnections) {
    ((VirtualListener) listener).drainBacklogAndClose(maxConnections);
  }

  @Override
  public int discardUnread(Channel channel, int maxBytes) {
    return channel instanceof VirtualSocket socket ? socket.discardUnread(maxBytes) : 0;
  }

  @Override
  public boolean isQuiet(Channel channel) {
    return ((VirtualSocket) channel).isQuiet();
  }

  /** Draws the time from an event at a socket until the event loop handles it, in nanoseconds; 0 in most cases. */
  long drawReadDelayNanos() {
    return random.below(READS_PER_LATE_READ) == 0 ? random.below(MAX_READ_DELAY_NANOS) : 0;
  }

  /** Records that the program does what it must not do with its sockets. */
  void reportViolation(String description) {
    violations.accept(description);
  }

  /** Returns the event loop that the network runs on. */
  VirtualLoop loop() {
    return loop;
  }

  /** Returns the allocator whose buffers are counted. */
  ByteBufAllocator allocator() {
    return allocator;
  }

  /** Returns the number of the next channel. */
  long nextChannelNumber() {
    return ++lastChannelNumber;
  }

  /** Counts a socket of the program as open. */
  void socketOpened(VirtualSocket socket) {
    openSockets.add(socket);
    maxOpenSockets = Math.max(maxOpenSockets, openSockets.size());
  }

  /** Counts a socket of the program as closed. */
  void socketClosed(VirtualSocket socket) {
    openSockets.remove(socket);
  }

  /** Returns the program's connections that are open or being established. */
  Set<VirtualSocket> openSockets() {
    return openSockets;
  }

  /** Returns the most connections that the program had at one time. */
  int maxOpenSockets() {
    return maxOpenSockets;
  }

  /** Returns the bytes of buffers that the program holds now. */
  long bufferBytes() {
    long bytes = allocator.metric().usedHeapMemory() + allocator.metric().usedDirectMemory();
    maxBufferBytes = Math.max(maxBufferBytes, bytes);
    return bytes;
  }

  /** Returns the most bytes of buffers that were seen at one time. */
  long maxBufferBytes() {
    bufferBytes();
    return maxBufferBytes;
  }

  // Addresses

  /** Listens at this port, or at the next free one for 0; returns the address. */
  InetSocketAddress listen(int port, Acceptor acceptor) throws IOException {
    int actualPort = port == 0 ? nextPort++ : port;
    if (acceptors.putIfAbsent(actualPort, acceptor) != null) {
      throw new IOException("port " + actualPort + " is already in use");
    }
    return new InetSocketAddress(host, actualPort);
  }

  /** Stops listening at an address. */
  void stopListening(InetSocketAddress address, Acceptor acceptor) {
    acceptors.remove(address.getPort(), acceptor);
  }

  /** Sets how an address reacts to connects. */
  void setReachability(InetSocketAddress address, Reachability newReachability) {
    reachability.put(address.getPort(), newReachability);
  }

  /** Connects to an address; later one of the two callbacks is called, or neither if the address does not reply. */
  void connect(
      InetSocketAddress to,
      Consumer<VirtualConnection.Endpoint> connected,
      BiConsumer<Boolean, IOException> failed) {
    long delayNanos = (long) random.between(MIN_DELAY_NANOS, MAX_DELAY_NANOS);
    long connectNanos = random.below(CONNECTS_PER_SLOW_CONNECT) == 0
        ? (long) random.between(MAX_DELAY_NANOS, MAX_SLOW_CONNECT_NANOS)
        : delayNanos;
    loop.runAt(loop.now() + connectNanos, () -> {
      Reachability current = reachability.getOrDefault(to.getPort(), Reachability.OPEN);
      if (current == Reachability.UNREACHABLE) {
        return;
      }
      Acceptor acceptor = acceptors.get(to.getPort());
      if (acceptor == null || current == Reachability.REFUSING) {
        loop.runAt(
            loop.now() + delayNanos,
            () -> failed.accept(true, new ConnectException("Connection refused")));
        return;
      }
      int windowBytes = (int) random.between(MIN_WINDOW_BYTES, MAX_WINDOW_BYTES);
      VirtualConnection connection = new VirtualConnection(
          loop, random, delayNanos, windowBytes, new InetSocketAddress(host, nextPort++), to);
      acceptor.accepted(connection.server);
      loop.runAt(loop.now() + delayNanos, () -> connected.accept(connection.client));
    });
  }
}
