package pumicekeel.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import pumicekeel.adapter.Decoder;
import pumicekeel.adapter.Fields;
import pumicekeel.config.Configuration;
import pumicekeel.discovery.HostList;
import pumicekeel.peers.State;
import pumicekeel.runtime.Addresses;

/** Members of a fleet on datagram sockets. */
class PeersTest {

  private final List<Node> nodes = new ArrayList<>();
  private String extraKeys = "";
  private String tenants = "";
  private final List<Integer> ports = new ArrayList<>();

  @AfterEach
  void stop() {
    nodes.forEach(Node::close);
  }

  private void freePorts(int count) throws Exception {
    List<DatagramSocket> reserved = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      reserved.add(new DatagramSocket(0, InetAddress.getLoopbackAddress()));
      ports.add(reserved.get(i).getLocalPort());
    }
    reserved.forEach(DatagramSocket::close);
  }

  private String file() {
    return "[peers]\n" + extraKeys + "addresses = ["
        + String.join(", ", ports.stream().map(p -> "\"127.0.0.1:" + p + "\"").toList())
        + "]\n[pools.p]\n" + tenants + "[[routes]]\npool = \"p\"\n";
  }

  private Node start(int me, int size) throws Exception {
    String settings = TestServices.SETTINGS
        .strip()
        .replaceFirst("\\{", "{\"me\":" + me + ",\"group-size\":" + size + ",");
    Node node = new Node(
        new Configuration(
            "n" + me,
            Addresses.parse("listen", "127.0.0.1:0"),
            TestNode.unusedAddress(),
            1,
            256,
            new HostList(0, true, List.of()),
            Decoder.settings(Fields.parse("settings", settings))),
        TestServices.operator(file()),
        () -> {});
    nodes.add(node);
    node.start();
    return node;
  }

  private static int live(Node node) {
    return node.loop()
        .submit(() -> node.peers().membership().live())
        .syncUninterruptibly()
        .getNow();
  }

  @Test
  void membersDetectEachOtherADepartureAndAReturn() throws Exception {
    freePorts(3);
    Node first = start(0, 3);
    assertEquals(1, live(first), "no other member was heard of yet");
    Node second = start(1, 3);
    Node third = start(2, 3);
    TestNode.until(() -> nodes.stream().allMatch(n -> live(n) == 3));
    third.close();
    TestNode.until(() -> live(first) == 2 && live(second) == 2);
    assertEquals(
        State.DEAD,
        first.loop().submit(() -> first.peers().membership().stateOf(2)).get());
    nodes.remove(third);
    third.loop().parent().terminationFuture().sync();
    start(2, 3);
    TestNode.until(() -> nodes.stream().allMatch(n -> live(n) == 3));
  }

  /** With real datagrams a member borrows quota that another does not use, and its module gets the new rate. */
  @Test
  void busyMemberBorrowsQuotaFromAnIdleOne() throws Exception {
    freePorts(2);
    extraKeys = "lend-quotas = true\n";
    tenants = "[[pools.p.tenants]]\nname = \"t\"\nshare = 1.0\nquota-per-s = 100.0\n";
    Node first = start(0, 2);
    Node second = start(1, 2);
    TestNode.until(() -> nodes.stream().allMatch(n -> live(n) == 2 && rate(n) == 50));
    TestNode.until(() -> {
      first
          .loop()
          .submit(() -> first.servicePools().pool("p").core().refreshQuotas("t", 0))
          .syncUninterruptibly();
      return rate(first) > 60;
    });
    assertTrue(rate(first) + rate(second) <= 100.001);
    assertTrue(assertThrows(IllegalArgumentException.class, () -> start(0, 3))
        .getMessage()
        .contains(
            "peers.lend-quotas: expected an address for each balancer of the group, 3, got 2"));
  }

  private static double rate(Node node) {
    return node.loop()
        .submit(() -> node.servicePools().quotas().rate("p", "t"))
        .syncUninterruptibly()
        .getNow();
  }

  @Test
  void datagramsOfStrangersAndMalformedOnesAreDiscarded() throws Exception {
    freePorts(2);
    Node node = start(0, 2);
    try (DatagramSocket stranger = new DatagramSocket(0, InetAddress.getLoopbackAddress());
        DatagramSocket peer = new DatagramSocket(
            new InetSocketAddress(InetAddress.getLoopbackAddress(), ports.get(1)))) {
      InetSocketAddress at = new InetSocketAddress(InetAddress.getLoopbackAddress(), ports.get(0));
      stranger.send(new DatagramPacket(new byte[100], 100, at));
      peer.send(new DatagramPacket(new byte[0], 0, at));
      peer.send(new DatagramPacket(new byte[60_000], 60_000, at));
      peer.send(new DatagramPacket(new byte[256], 256, at));
      TestNode.until(() -> node.loop()
          .submit(
              () -> node.peers().strangers() == 1 && node.peers().membership().discarded() == 3)
          .syncUninterruptibly()
          .getNow());
    }
    assertEquals(1, live(node));
  }

  @Test
  void peersAreOptionalAndTooFewAreAFault() throws Exception {
    freePorts(2);
    assertTrue(assertThrows(IllegalArgumentException.class, () -> start(2, 3))
        .getMessage()
        .contains("peers.addresses: expected one for this instance, number 2, got 2"));
    try (TestServices t = new TestServices()) {
      t.upstream("u", 0);
      t.start("[sources.s]\nstatic = " + t.list("u")
          + "\n[pools.p]\nsource = \"s\"\n[[routes]]\npool = \"p\"\n");
      assertNull(t.node.peers());
    }
  }
}
