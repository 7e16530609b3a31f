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
 * {@link Line.End ends}.
 */
final class VirtualNetwork implements Sockets {

  /** Receives the connections to a listening address. */
  interface Acceptor {
    /** Called with the accepting endpoint of a new connection. */
    void accepted(Line.End end);
  }

  /** How an address reacts to connects. */
  enum Reach {
    OPEN,
    REFUSES,
    SILENT
  }

  private static final int FIRST_PORT = 2_000;
  private static final int WINDOW_LEAST = 4 << 10;
  private static final int WINDOW_MOST = 64 << 10;
  private static final long DELAY_LEAST = 20_000L;
  private static final long DELAY_MOST = 400_000L;

  /** One in this many connects takes long, as if its first packet were lost or the machine were busy. */
  private static final int SLOW_IN = 15;

  private static final long SLOW_MOST = 245_000_000L;

  /** One in this many reads of a socket is late, as if the event loop were busy. */
  private static final int LATE_IN = 4;

  private static final int MOST_LATE = 1_000_000;

  private final VirtualLoop loop;
  private final RandomStream random;
  private final InetAddress host = InetAddress.getLoopbackAddress();
  private final Map<Integer, Acceptor> listening = new HashMap<>();
  private final Map<Integer, Reach> reach = new HashMap<>();
  private final Set<VirtualSocket> open = new LinkedHashSet<>();
  private final UnpooledByteBufAllocator allocator = new UnpooledByteBufAllocator(false, true);
  private final Consumer<String> broken;
  private int nextPort = FIRST_PORT;
  private long nextId;
  private int mostOpen;
  private long mostBytes;

  /** Creates a network; {@code broken} receives what the program must not do with its sockets. */
  VirtualNetwork(VirtualLoop loop, RandomStream random, Consumer<String> broken) {
    this.broken = broken;
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
  public void drainBacklogAndClose(Channel listener, int most) {
    ((VirtualListener) listener).closeBehindLine(most);
  }

  @Override
  public int discardUnread(Channel channel, int most) {
    return channel instanceof VirtualSocket socket ? socket.drop(most) : 0;
  }

  @Override
  public boolean isQuiet(Channel channel) {
    return ((VirtualSocket) channel).quiet();
  }

  /** Draws the time from an event at a socket until the event loop handles it, in nanoseconds; 0 in most cases. */
  long untilRead() {
    return random.below(LATE_IN) == 0 ? random.below(MOST_LATE) : 0;
  }

  /** Records that the program does what it must not do with its sockets. */
  void broken(String what) {
    broken.accept(what);
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
  long newId() {
    return ++nextId;
  }

  /** Counts a socket of the program as open. */
  void opened(VirtualSocket socket) {
    open.add(socket);
    mostOpen = Math.max(mostOpen, open.size());
  }

  /** Counts a socket of the program as closed. */
  void closed(VirtualSocket socket) {
    open.remove(socket);
  }

  /** Returns the program's connections that are open or being established. */
  Set<VirtualSocket> open() {
    return open;
  }

  /** Returns the most connections that the program had at one time. */
  int mostOpen() {
    return mostOpen;
  }

  /** Returns the bytes of buffers that the program holds now. */
  long bytes() {
    long now = allocator.metric().usedHeapMemory() + allocator.metric().usedDirectMemory();
    mostBytes = Math.max(mostBytes, now);
    return now;
  }

  /** Returns the most bytes of buffers that were seen at one time. */
  long mostBytes() {
    bytes();
    return mostBytes;
  }

  // Addresses

  /** Listens at this port, or at the next free one for 0; returns the address. */
  InetSocketAddress listen(int port, Acceptor acceptor) throws IOException {
    int at = port == 0 ? nextPort++ : port;
    if (listening.putIfAbsent(at, acceptor) != null) {
      throw new IOException("port " + at + " is already in use");
    }
    return new InetSocketAddress(host, at);
  }

  /** Stops listening at an address. */
  void unlisten(InetSocketAddress at, Acceptor acceptor) {
    listening.remove(at.getPort(), acceptor);
  }

  /** Sets how an address reacts to connects. */
  void reach(InetSocketAddress at, Reach how) {
    reach.put(at.getPort(), how);
  }

  /** Connects to an address; later one of the two callbacks is called, or neither if the address does not reply. */
  void connect(
      InetSocketAddress to, Consumer<Line.End> up, BiConsumer<Boolean, IOException> failed) {
    long delay = (long) random.between(DELAY_LEAST, DELAY_MOST);
    long comesUp =
        random.below(SLOW_IN) == 0 ? (long) random.between(DELAY_MOST, SLOW_MOST) : delay;
    loop.at(loop.now() + comesUp, () -> {
      Reach how = reach.getOrDefault(to.getPort(), Reach.OPEN);
      if (how == Reach.SILENT) {
        return;
      }
      Acceptor there = listening.get(to.getPort());
      if (there == null || how == Reach.REFUSES) {
        loop.at(
            loop.now() + delay,
            () -> failed.accept(true, new ConnectException("Connection refused")));
        return;
      }
      int window = (int) random.between(WINDOW_LEAST, WINDOW_MOST);
      Line line =
          new Line(loop, random, delay, window, new InetSocketAddress(host, nextPort++), to);
      there.accepted(line.called);
      loop.at(loop.now() + delay, () -> up.accept(line.caller));
    });
  }
}
