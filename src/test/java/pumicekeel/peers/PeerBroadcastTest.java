package pumicekeel.peers;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests of the broadcast socket on loopback. */
class PeerBroadcastTest {

  private static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();

  private final EventLoop loop =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
  private final BlockingQueue<byte[]> received = new LinkedBlockingQueue<>();

  @AfterEach
  void stop() {
    loop.shutdownGracefully(0, 0, TimeUnit.SECONDS);
  }

  private static InetSocketAddress address(DatagramSocket socket) {
    return (InetSocketAddress) socket.getLocalSocketAddress();
  }

  private PeerBroadcast broadcast(InetSocketAddress own, InetSocketAddress other) {
    return new PeerBroadcast(
        loop,
        new PeerAddresses(own, null, List.of(own, other)),
        0,
        (from, bytes) -> received.add(bytes));
  }

  private void awaitOpen(PeerBroadcast peers) throws Exception {
    while (!loop.submit(peers::isOpen).get()) {
      TimeUnit.MILLISECONDS.sleep(5);
    }
  }

  @Test
  void addressHeldByThePreviousProcessIsBoundOnceItIsFree() throws Exception {
    DatagramSocket before = new DatagramSocket(0, LOOPBACK);
    try (DatagramSocket other = new DatagramSocket(0, LOOPBACK)) {
      PeerBroadcast peers = broadcast(address(before), address(other));
      loop.submit(peers::open).get();
      loop.submit(() -> {}).get();
      assertFalse(loop.submit(peers::isOpen).get());
      before.close();
      awaitOpen(peers);
      loop.submit(() -> peers.send(List.of(new byte[] {1, 2}))).get();
      DatagramPacket packet = new DatagramPacket(new byte[300], 300);
      other.receive(packet);
      assertEquals(2, packet.getLength());
    }
  }

  @Test
  void datagramsFromUnlistedAddressesAreDropped() throws Exception {
    try (DatagramSocket other = new DatagramSocket(0, LOOPBACK);
        DatagramSocket stranger = new DatagramSocket(0, LOOPBACK);
        DatagramSocket free = new DatagramSocket(0, LOOPBACK)) {
      InetSocketAddress own = address(free);
      free.close();
      PeerBroadcast peers = broadcast(own, address(other));
      loop.submit(peers::open).get();
      awaitOpen(peers);
      stranger.send(new DatagramPacket(new byte[] {1}, 1, own));
      other.send(new DatagramPacket(new byte[] {2}, 1, own));
      assertArrayEquals(new byte[] {2}, received.poll(30, TimeUnit.SECONDS));
      assertEquals(1, loop.submit(peers::strangers).get());
    }
  }

  @Test
  void configurationWithoutPeersHasNoAddresses() {
    assertEquals(null, PeerAddresses.of(Map.of("peers", List.of("127.0.0.1:1"))));
    assertEquals(
        List.of(new InetSocketAddress(LOOPBACK, 1), new InetSocketAddress(LOOPBACK, 2)),
        PeerAddresses.of(Map.of(
                "peer_listen", "127.0.0.1:1", "peers", List.of("127.0.0.1:1", "127.0.0.1:2")))
            .members());
  }
}
