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

/** The members of a fleet in this process: each has its own loop, datagram socket, list of addresses and view of the others. */
final class HollowFleet implements Closeable {

  /** Free ports can be taken by others between the look and the bind. */
  private static final int TRIES = 3;

  private final EventLoops loops;
  private final List<PeerLink> members;
  /** When each member last took another number of members for alive, by System.nanoTime. */
  private final AtomicLongArray changedAt;

  private HollowFleet(EventLoops loops, List<PeerLink> members, AtomicLongArray changedAt) {
    this.loops = loops;
    this.members = members;
    this.changedAt = changedAt;
  }

  /** Starts a member on each loop; all know all addresses and nothing of each other. */
  static HollowFleet start(EventLoops loops, long seed) throws IOException, InterruptedException {
    for (int tries = 1; ; tries++) {
      List<PeerLink> members = new ArrayList<>();
      AtomicLongArray changedAt = new AtomicLongArray(loops.size());
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
              line -> changedAt.set(number, System.nanoTime()));
          members.add(member);
          member.open(addresses.get(number));
        }
        return new HollowFleet(loops, members, changedAt);
      } catch (Exception e) {
        // Netty throws the bind's exception as it is, checked or not.
        new HollowFleet(loops, members, changedAt).close();
        if (!(e instanceof IOException) || tries == TRIES) {
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

  /** A list of a member's own: in processes of their own members share none. */
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

  /** Whether every member takes every other one for alive. */
  boolean allKnown() {
    return loops.callAll(i -> members.get(i).membership().live() == members.size()).stream()
        .allMatch(known -> known);
  }

  /** The last time that any member took another number of members for alive, by System.nanoTime. */
  long lastChangeAt() {
    long last = changedAt.get(0);
    for (int i = 1; i < changedAt.length(); i++) {
      last = changedAt.get(i) - last > 0 ? changedAt.get(i) : last;
    }
    return last;
  }

  /** Whether every member but that one takes it for dead. */
  boolean allHoldDead(int dead) {
    return loops
        .callAll(i -> i == dead || members.get(i).membership().stateOf(dead) == State.DEAD)
        .stream()
        .allMatch(known -> known);
  }

  /** A member falls silent without a word. */
  void kill(int number) {
    loops.call(number, () -> {
      members.get(number).close();
      return null;
    });
  }

  /** Has another protocol spoken on each member's socket. */
  void carry(EventLoops.IndexedCall<PeerService> service) {
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

  /** Ends all members and drops their state. */
  @Override
  public void close() {
    for (int i = 0; i < members.size(); i++) {
      kill(i);
    }
    members.clear();
  }
}
