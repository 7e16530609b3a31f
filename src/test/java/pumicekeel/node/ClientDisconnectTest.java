package pumicekeel.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Clients that disconnect while their requests wait, in each kind of wait: nothing is forwarded, by the upstream's own log. */
class ClientDisconnectTest {

  private static final long LEFT_MILLIS = 50_000;
  /** Far longer than it takes to notice a disconnect, and far shorter than a request is held. */
  private static final long NOTICED_WITHIN_NANOS = 4_000_000_000L;

  private static final String BAD =
      TestClient.look("bad", LEFT_MILLIS, "").replace("acme", "nobody");

  private final CountDownLatch report = new CountDownLatch(1);

  /** Returns a discovery that has no upstream until it is released to report this one. */
  private FakeServer discovery(FakeServer upstream) throws IOException {
    String list = "{\"index\":8,\"snapshot\":true,\"endpoints\":["
        + TestNode.endpoint("s-0", upstream.address(), "in_service") + "]}\n";
    return new FakeServer((request, connection, out) -> {
      FakeServer.write(out, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
      report.await();
      FakeServer.write(out, Integer.toHexString(list.length()) + "\r\n" + list + "\r\n");
    });
  }

  private static TestNode node(FakeServer discovery, FakeServer... known) throws Exception {
    // A request is held for a third of its aim, here until the discovery reports.
    return new TestNode(
        TestNode.json(discovery == null ? TestNode.unusedAddress() : discovery.address(), 3, known)
            .replace(
                "\"aim-ns\":2000000000,\"deadline-ns\":20000000000",
                "\"aim-ns\":60000000000,\"deadline-ns\":60000000000"));
  }

  /** Checks that only a client that stays is served; held requests would have been forwarded before its later ones. */
  private static void assertOnlyAStayingClientIsServed(TestNode node, FakeServer upstream)
      throws IOException {
    int calls = 5;
    try (TestClient stays = new TestClient(node.address)) {
      for (int i = 0; i < calls; i++) {
        assertEquals(
            200, stays.call(TestClient.look("stays" + i, LEFT_MILLIS, "")).status());
      }
    }
    assertTrue(
        upstream.requests.stream().allMatch(r -> r.contains("stays")),
        () -> "forwarded: " + upstream.requests);
    assertEquals(calls, upstream.requests.size());
  }

  @ParameterizedTest
  @ValueSource(ints = {0, 1, 30, 4_000})
  void disconnectWhileHeldWithFurtherRequestsBehind(int behind) throws Exception {
    try (FakeServer upstream = FakeServer.serving("fine");
        FakeServer discovery = discovery(upstream)) {
      TestNode node = node(discovery);
      try (TestClient leaves = new TestClient(node.address)) {
        leaves.send(TestClient.look("leaves", LEFT_MILLIS, ""));
        node.awaitLoopPass();
        leaves.send(TestClient.look("behind", LEFT_MILLIS, "").repeat(behind));
      }
      long leftAt = System.nanoTime();
      node.awaitLoopPass();
      TestNode.until(() -> node.node.listeners().platform().openConnections() == 0
          || System.nanoTime() - leftAt > NOTICED_WITHIN_NANOS);
      report.countDown();
      assertOnlyAStayingClientIsServed(node, upstream);
    }
  }

  @Test
  void disconnectWhileHeldOnAThrottledConnection() throws Exception {
    try (FakeServer upstream = FakeServer.serving("fine");
        FakeServer discovery = discovery(upstream)) {
      TestNode node = node(discovery);
      try (TestClient leaves = new TestClient(node.address)) {
        assertEquals(
            400, leaves.call(BAD + TestClient.look("leaves", LEFT_MILLIS, "")).status());
      }
      node.awaitLoopPass();
      report.countDown();
      assertOnlyAStayingClientIsServed(node, upstream);
    }
  }

  /** The end of the connection is right behind the request when that is read. */
  @Test
  void disconnectBeforeTheRequestIsRead() throws Exception {
    try (FakeServer upstream = FakeServer.serving("fine")) {
      TestNode node = node(null, upstream);
      try (TestClient leaves = new TestClient(node.address);
          TestClient waits = new TestClient(node.address)) {
        assertEquals(400, leaves.call(BAD).status());
        leaves.send(TestClient.look("leaves", LEFT_MILLIS, "")).close();
        assertEquals(400, waits.call(BAD.replace(": bad", ": bad2")).status());
        assertEquals(
            200,
            waits.call(TestClient.look("waits", LEFT_MILLIS, "")).status(),
            "throttled for as long, starting later");
      }
      TestNode.until(() -> node.node.listeners().platform().openConnections() == 0);
      assertEquals(1, upstream.requests.size(), () -> "forwarded: " + upstream.requests);
    }
  }

  /** During a stall of the loop clients disconnect and the list arrives; either may be read first. */
  @Test
  void disconnectWhileTheLoopIsStalled() throws Exception {
    try (FakeServer upstream = FakeServer.serving("fine");
        FakeServer discovery = discovery(upstream)) {
      TestNode node = node(discovery);
      List<TestClient> leaving = new ArrayList<>();
      for (int i = 0; i < 20; i++) {
        leaving.add(
            new TestClient(node.address).send(TestClient.look("leaves" + i, LEFT_MILLIS, "")));
      }
      node.awaitLoopPass();
      CountDownLatch resume = node.stallLoop();
      report.countDown();
      for (TestClient client : leaving) {
        client.close();
      }
      resume.countDown();
      TestNode.until(() -> node.node.listeners().platform().openConnections() == 0);
      assertOnlyAStayingClientIsServed(node, upstream);
    }
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void disconnectDuringAConnect(boolean mayCancel) throws Exception {
    CountDownLatch gate = new CountDownLatch(1);
    List<Socket> backlog = new ArrayList<>();
    try (FakeServer upstream = new FakeServer(
        (request, connection, out) -> FakeServer.write(out, FakeServer.ok("fine")), 1, gate)) {
      fill(upstream, backlog);
      TestNode node = new TestNode(TestNode.json(TestNode.unusedAddress(), 3, upstream)
          .replace("\"cancel\":true", "\"cancel\":" + mayCancel));
      try (TestClient leaves = new TestClient(node.address)) {
        leaves.send(TestClient.look("leaves", LEFT_MILLIS, ""));
        node.awaitLoopPass();
      }
      node.awaitLoopPass();
      gate.countDown();
      for (Socket socket : backlog) {
        socket.close();
      }
      assertOnlyAStayingClientIsServed(node, upstream);
    }
  }

  /** Fills the backlog: connects until a connect times out. */
  private static void fill(FakeServer upstream, List<Socket> backlog) throws IOException {
    while (backlog.size() < 10) {
      Socket next = new Socket();
      try {
        next.connect(upstream.address(), 300);
        backlog.add(next);
      } catch (SocketTimeoutException e) {
        next.close();
        return;
      }
    }
    throw new IOException("the backlog does not fill");
  }

  /** The rest of the body and the end of the connection are unread. */
  @Test
  void disconnectWithAMostlyUnreadBody() throws Exception {
    String body = "x".repeat(300_000);
    try (FakeServer upstream = FakeServer.serving("fine");
        FakeServer discovery = discovery(upstream)) {
      TestNode node = node(discovery);
      try (TestClient leaves = new TestClient(node.address)) {
        leaves.send(TestClient.order("leaves", LEFT_MILLIS)
            .replace("Length: 4", "Length: " + body.length())
            .replace("\r\n\r\nbody", "\r\n\r\n" + body));
      }
      node.awaitLoopPass();
      report.countDown();
      TestNode.until(() -> node.node.listeners().platform().openConnections() == 0
          && upstream.closedByPeer.get() == 1);
      assertOnlyAStayingClientIsServed(node, upstream);
    }
  }
}
