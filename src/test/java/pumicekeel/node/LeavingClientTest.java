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

/** Clients that leave while their requests wait, at every wait: nothing of theirs is sent on. The upstream's own log says so. */
class LeavingClientTest {

  private static final long LEFT_MILLIS = 50_000;
  /** Far more than it takes to see a client leave, and far less than a request is held. */
  private static final long SEEN_NANOS = 4_000_000_000L;

  private static final String BAD =
      TestClient.look("bad", LEFT_MILLIS, "").replace("acme", "nobody");

  private final CountDownLatch tell = new CountDownLatch(1);

  /** A discovery that knows of no upstream until it is to tell of this one. */
  private FakeServer discovery(FakeServer upstream) throws IOException {
    String list = "{\"index\":8,\"snapshot\":true,\"endpoints\":["
        + TestNode.endpoint("s-0", upstream.address(), "in_service") + "]}\n";
    return new FakeServer((request, connection, out) -> {
      FakeServer.write(out, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
      tell.await();
      FakeServer.write(out, Integer.toHexString(list.length()) + "\r\n" + list + "\r\n");
    });
  }

  private static TestNode node(FakeServer discovery, FakeServer... known) throws Exception {
    // Held for a third of its aim: until the discovery tells.
    return new TestNode(
        TestNode.json(discovery == null ? TestNode.nowhere() : discovery.address(), 3, known)
            .replace(
                "\"aim-ns\":2000000000,\"deadline-ns\":20000000000",
                "\"aim-ns\":60000000000,\"deadline-ns\":60000000000"));
  }

  /** One that stays is served, and nobody else was; what is held would have gone out by the time of its later requests. */
  private static void onlyOneThatStays(TestNode node, FakeServer upstream) throws IOException {
    int calls = 5;
    try (TestClient stays = new TestClient(node.address)) {
      for (int i = 0; i < calls; i++) {
        assertEquals(
            200, stays.call(TestClient.look("stays" + i, LEFT_MILLIS, "")).status());
      }
    }
    assertTrue(
        upstream.requests.stream().allMatch(r -> r.contains("stays")),
        () -> "sent on: " + upstream.requests);
    assertEquals(calls, upstream.requests.size());
  }

  @ParameterizedTest
  @ValueSource(ints = {0, 1, 30, 4_000})
  void leftWhileHeldWithSoManyRequestsBehind(int behind) throws Exception {
    try (FakeServer upstream = FakeServer.serving("fine");
        FakeServer discovery = discovery(upstream)) {
      TestNode node = node(discovery);
      try (TestClient leaves = new TestClient(node.address)) {
        leaves.send(TestClient.look("leaves", LEFT_MILLIS, ""));
        node.pass();
        leaves.send(TestClient.look("behind", LEFT_MILLIS, "").repeat(behind));
      }
      long left = System.nanoTime();
      node.pass();
      TestNode.until(() -> node.node.listeners().platform().openConnections() == 0
          || System.nanoTime() - left > SEEN_NANOS);
      tell.countDown();
      onlyOneThatStays(node, upstream);
    }
  }

  @Test
  void leftWhileHeldOnAConnectionThatRests() throws Exception {
    try (FakeServer upstream = FakeServer.serving("fine");
        FakeServer discovery = discovery(upstream)) {
      TestNode node = node(discovery);
      try (TestClient leaves = new TestClient(node.address)) {
        assertEquals(
            400, leaves.call(BAD + TestClient.look("leaves", LEFT_MILLIS, "")).status());
      }
      node.pass();
      tell.countDown();
      onlyOneThatStays(node, upstream);
    }
  }

  /** Its end stands right behind its request when that is read. */
  @Test
  void leftBeforeItsRequestWasRead() throws Exception {
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
            "rests as long, from later on");
      }
      TestNode.until(() -> node.node.listeners().platform().openConnections() == 0);
      assertEquals(1, upstream.requests.size(), () -> "sent on: " + upstream.requests);
    }
  }

  /** While the loop stands still clients leave and the list comes: whichever is read first. */
  @Test
  void leftWhileTheLoopStoodStill() throws Exception {
    try (FakeServer upstream = FakeServer.serving("fine");
        FakeServer discovery = discovery(upstream)) {
      TestNode node = node(discovery);
      List<TestClient> leave = new ArrayList<>();
      for (int i = 0; i < 20; i++) {
        leave.add(
            new TestClient(node.address).send(TestClient.look("leaves" + i, LEFT_MILLIS, "")));
      }
      node.pass();
      CountDownLatch goesOn = node.standStill();
      tell.countDown();
      for (TestClient client : leave) {
        client.close();
      }
      goesOn.countDown();
      TestNode.until(() -> node.node.listeners().platform().openConnections() == 0);
      onlyOneThatStays(node, upstream);
    }
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void leftDuringAConnect(boolean mayCancel) throws Exception {
    CountDownLatch gate = new CountDownLatch(1);
    List<Socket> inLine = new ArrayList<>();
    try (FakeServer upstream = new FakeServer(
        (request, connection, out) -> FakeServer.write(out, FakeServer.ok("fine")), 1, gate)) {
      fill(upstream, inLine);
      TestNode node = new TestNode(TestNode.json(TestNode.nowhere(), 3, upstream)
          .replace("\"cancel\":true", "\"cancel\":" + mayCancel));
      try (TestClient leaves = new TestClient(node.address)) {
        leaves.send(TestClient.look("leaves", LEFT_MILLIS, ""));
        node.pass();
      }
      node.pass();
      gate.countDown();
      for (Socket socket : inLine) {
        socket.close();
      }
      onlyOneThatStays(node, upstream);
    }
  }

  /** Connects until the next connect gets no answer. */
  private static void fill(FakeServer upstream, List<Socket> inLine) throws IOException {
    while (inLine.size() < 10) {
      Socket next = new Socket();
      try {
        next.connect(upstream.address(), 300);
        inLine.add(next);
      } catch (SocketTimeoutException e) {
        next.close();
        return;
      }
    }
    throw new IOException("its line does not fill");
  }

  /** What waits unread is the rest of the body, and the end behind it. */
  @Test
  void leftWithABodyOfWhichMostIsUnread() throws Exception {
    String body = "x".repeat(300_000);
    try (FakeServer upstream = FakeServer.serving("fine");
        FakeServer discovery = discovery(upstream)) {
      TestNode node = node(discovery);
      try (TestClient leaves = new TestClient(node.address)) {
        leaves.send(TestClient.order("leaves", LEFT_MILLIS)
            .replace("Length: 4", "Length: " + body.length())
            .replace("\r\n\r\nbody", "\r\n\r\n" + body));
      }
      node.pass();
      tell.countDown();
      TestNode.until(() -> node.node.listeners().platform().openConnections() == 0
          && upstream.closedByPeer.get() == 1);
      onlyOneThatStays(node, upstream);
    }
  }
}
