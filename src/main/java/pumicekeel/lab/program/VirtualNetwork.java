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
 * TCP in virtual time: who listens where, connects that come up, are refused or never heard of again, and the descriptors and bytes
 * that the program holds. Only the program's own channels count; the stand-ins speak on bare {@link Line.End ends}.
 */
final class VirtualNetwork implements Sockets {

  /** One that listens at an address. */
  interface Acceptor {
    void accepted(Line.End end);
  }

  /** What an address does with connects. */
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

  /** One connect in so many takes long, as where its first packet is lost or the machine is busy. */
  private static final int SLOW_IN = 15;

  private static final long SLOW_MOST = 245_000_000L;

  /** One look in so many at a socket comes late, where the loop has other things to do. */
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

  /** {@code broken} is told of what the program may not do on its sockets. */
  VirtualNetwork(VirtualLoop loop, RandomStream random, Consumer<String> broken) {
    this.broken = broken;
    this.loop = loop;
    this.random = random;
  }

  // What the program opens

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

  /** How long the loop takes until it looks at a socket on which something has come: mostly no time at all. */
  long untilRead() {
    return random.below(LATE_IN) == 0 ? random.below(MOST_LATE) : 0;
  }

  void broken(String what) {
    broken.accept(what);
  }

  VirtualLoop loop() {
    return loop;
  }

  ByteBufAllocator allocator() {
    return allocator;
  }

  long newId() {
    return ++nextId;
  }

  void opened(VirtualSocket socket) {
    open.add(socket);
    mostOpen = Math.max(mostOpen, open.size());
  }

  void closed(VirtualSocket socket) {
    open.remove(socket);
  }

  /** The program's connections that are open or coming up. */
  Set<VirtualSocket> open() {
    return open;
  }

  int mostOpen() {
    return mostOpen;
  }

  /** Bytes of buffers that the program holds. */
  long bytes() {
    long now = allocator.metric().usedHeapMemory() + allocator.metric().usedDirectMemory();
    mostBytes = Math.max(mostBytes, now);
    return now;
  }

  long mostBytes() {
    bytes();
    return mostBytes;
  }

  // Addresses

  InetSocketAddress listen(int port, Acceptor acceptor) throws IOException {
    int at = port == 0 ? nextPort++ : port;
    if (listening.putIfAbsent(at, acceptor) != null) {
      throw new IOException("port " + at + " is taken");
    }
    return new InetSocketAddress(host, at);
  }

  void unlisten(InetSocketAddress at, Acceptor acceptor) {
    listening.remove(at.getPort(), acceptor);
  }

  void reach(InetSocketAddress at, Reach how) {
    reach.put(at.getPort(), how);
  }

  /** Connects: one of the two is told some time later, or, where nothing answers, neither. */
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
