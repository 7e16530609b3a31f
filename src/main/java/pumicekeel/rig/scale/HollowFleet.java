package pumicekeel.rig.scale;

import java.io.Closeable;
import java.io.IOException;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLongArray;
import pumicekeel.peers.PeerLink;
import pumicekeel.peers.PeerService;
import pumicekeel.peers.State;

/** A fleet of members in this process; each has its own loop, datagram socket, address list and membership view. */
final class HollowFleet implements Closeable {

  /** A free port may be taken by another process between its selection and the bind. */
  private static final int MAX_BIND_ATTEMPTS = 3;

  private final EventLoops loops;
  private final List<PeerLink> members;
  /** When the number of live members last changed in each member's view, by System.nanoTime. */
  private final AtomicLongArray liveCountChangedAt;

  private HollowFleet(
      EventLoops loops, List<PeerLink> members, AtomicLongArray liveCountChangedAt) {
    this.loops = loops;
    this.members = members;
    this.liveCountChangedAt = liveCountChangedAt;
  }

  /** Starts a member on each loop; each member knows all addresses, but not the state of any other member. */
  static HollowFleet start(EventLoops loops, long seed) throws IOException, InterruptedException {
    for (int attempt = 1; ; attempt++) {
      List<PeerLink> members = new ArrayList<>();
      AtomicLongArray liveCountChangedAt = new AtomicLongArray(loops.size());
      List<Integer> ports = freePorts(loops.size());
      try {
        for (int i = 0; i < loops.size(); i++) {
          int number = i;
          List<InetSocketAddress> addresses = addresses(ports);
          PeerLink member = new PeerLink(
              loops.get(number),
              addresses,
              number,
              System.currentTimeMillis(),
              seed + number,
              line -> liveCountChangedAt.set(number, System.nanoTime()));
          members.add(member);
          member.open(addresses.get(number));
        }
        return new HollowFleet(loops, members, liveCountChangedAt);
      } catch (Exception e) {
        // Netty rethrows the exception of the bind unwrapped, whether checked or not.
        new HollowFleet(loops, members, liveCountChangedAt).close();
        if (!(e instanceof IOException) || attempt == MAX_BIND_ATTEMPTS) {
          throw e;
        }
      }
    }
  }

  private static List<Integer> freePorts(int count) throws IOException {
    List<DatagramSocket> sockets = new ArrayList<>();
    try {
      for (int i = 0; i < count; i++) {
        sockets.add(new DatagramSocket(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0)));
      }
      return sockets.stream().map(DatagramSocket::getLocalPort).toList();
    } finally {
      sockets.forEach(DatagramSocket::close);
    }
  }

  /** Returns a separate list for one member: members in separate processes would not share one either. */
  private static List<InetSocketAddress> addresses(List<Integer> ports) {
    byte[] loopback = InetAddress.getLoopbackAddress().getAddress();
    List<InetSocketAddress> addresses = new ArrayList<>();
    for (int port : ports) {
      try {
        addresses.add(new InetSocketAddress(InetAddress.getByAddress(loopback.clone()), port));
      } catch (java.net.UnknownHostException e) {
        throw new IllegalStateException(e);
      }
    }
    return addresses;
  }

  int size() {
    return members.size();
  }

  /** Returns whether every member considers every other one alive. */
  boolean allConsideredLive() {
    return loops.callAll(i -> members.get(i).membership().live() == members.size()).stream()
        .allMatch(allLive -> allLive);
  }

  /** Returns when the number of live members last changed in any member's view, by System.nanoTime. */
  long lastChangeAt() {
    long last = liveCountChangedAt.get(0);
    for (int i = 1; i < liveCountChangedAt.length(); i++) {
      last = liveCountChangedAt.get(i) - last > 0 ? liveCountChangedAt.get(i) : last;
    }
    return last;
  }

  /** Returns whether every other member considers the given member dead. */
  boolean isConsideredDead(int number) {
    return loops
        .callAll(i -> i == number || members.get(i).membership().stateOf(number) == State.DEAD)
        .stream()
        .allMatch(consideredDead -> consideredDead);
  }

  /** Stops a member without notice to the others. */
  void kill(int number) {
    loops.call(number, () -> {
      members.get(number).close();
      return null;
    });
  }

  /** Attaches another protocol to each member's socket. */
  void attach(EventLoops.IndexedCall<PeerService> service) {
    loops.callAll(i -> {
      members.get(i).attach(service.call(i));
      return null;
    });
  }

  long sentDatagrams() {
    return loops.callAll(i -> members.get(i).sentDatagrams()).stream()
        .mapToLong(n -> n)
        .sum();
  }

  long sentBytes() {
    return loops.callAll(i -> members.get(i).sentBytes()).stream()
        .mapToLong(n -> n)
        .sum();
  }

  /** Stops all members and releases their state. */
  @Override
  public void close() {
    for (int i = 0; i < members.size(); i++) {
      kill(i);
    }
    members.clear();
  }
}
