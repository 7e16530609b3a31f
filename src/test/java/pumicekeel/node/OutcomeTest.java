package pumicekeel.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * An upstream's behaviour and the resulting answer to the client. With one attempt and a keyed class, 429 means that the
 * request provably did not run, 502 that it may have run, and 200 a complete answer.
 */
class OutcomeTest {

  private static final int REFUSED = 429;
  private static final int FAILED = 502;

  private static Arguments outcome(String name, int status, FakeServer.Behaviour behaviour) {
    return Arguments.of(name, status, behaviour);
  }

  private static FakeServer.Behaviour answers(String answer) {
    return (request, connection, out) -> FakeServer.write(out, answer);
  }

  private static FakeServer.Behaviour answersAndCloses(String answer) {
    return (request, connection, out) -> {
      FakeServer.write(out, answer);
      connection.close();
    };
  }

  static Stream<Arguments> behaviours() {
    return Stream.of(
        outcome("whole answer", 200, answers(FakeServer.ok("fine"))),
        outcome(
            "chunked answer",
            200,
            answers("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n0\r\n\r\n")),
        outcome(
            "after an interim answer",
            200,
            answers("HTTP/1.1 100 Continue\r\n\r\n" + FakeServer.ok("fine"))),
        outcome(
            "no reason given",
            200,
            answers("HTTP/1.1 103 \r\n\r\n" + FakeServer.ok("fine").replace(" OK", " "))),
        outcome("error", FAILED, answers("HTTP/1.1 500 E\r\nContent-Length: 0\r\n\r\n")),
        outcome(
            "turned away",
            REFUSED,
            answers("HTTP/1.1 503 U\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n")),
        outcome(
            "over already",
            REFUSED,
            answers("HTTP/1.1 504 U\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n")),
        outcome("bare 503", FAILED, answers("HTTP/1.1 503 U\r\nContent-Length: 0\r\n\r\n")),
        outcome(
            "mark on an error",
            FAILED,
            answers("HTTP/1.1 500 E\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n")),
        outcome("ended with no answer", FAILED, answersAndCloses("")),
        outcome("reset", FAILED, (request, connection, out) -> {
          connection.setSoLinger(true, 0);
          connection.close();
        }),
        outcome(
            "cut short",
            FAILED,
            answersAndCloses("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nfine")),
        outcome(
            "cut short in chunks",
            FAILED,
            answersAndCloses("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n")),
        outcome("no length", FAILED, answersAndCloses("HTTP/1.1 200 OK\r\n\r\nfine")),
        outcome("malformed", FAILED, answers("nonsense\r\n\r\n")),
        outcome(
            "too large",
            FAILED,
            answers("HTTP/1.1 200 OK\r\nContent-Length: 33554433\r\n\r\nfine")));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("behaviours")
  void clientGetsTheMatchingStatus(String name, int status, FakeServer.Behaviour behaviour)
      throws Exception {
    try (FakeServer upstream = new FakeServer(behaviour)) {
      TestNode node = new TestNode(TestNode.unusedAddress(), 1, upstream);
      try (TestClient client = new TestClient(node.address)) {
        TestClient.Reply reply = client.call(TestClient.order("1", 15_000));
        assertEquals(status, reply.status());
        assertEquals(status == 200 ? "fine" : "", reply.body());
        assertEquals(status == REFUSED, reply.head().contains("retry-after: "));
        assertEquals(1, upstream.requests.size(), "sent once");
      }
    }
  }

  @Test
  void refusedConnectIsARefusal() throws Exception {
    FakeServer upstream = FakeServer.serving("fine");
    upstream.close();
    TestNode node = new TestNode(TestNode.unusedAddress(), 1, upstream);
    try (TestClient client = new TestClient(node.address)) {
      assertEquals(REFUSED, client.call(TestClient.order("1", 15_000)).status());
    }
  }

  @Test
  void silentUpstreamIsAFailureAndItsConnectionIsNotReused() throws Exception {
    try (FakeServer upstream = FakeServer.serving("fine")) {
      TestNode node = new TestNode(TestNode.unusedAddress(), 1, upstream);
      try (TestClient client = new TestClient(node.address)) {
        assertEquals(200, client.call(TestClient.order("1", 15_000)).status());
        upstream.behaviour = (request, connection, out) -> {};
        assertEquals(FAILED, client.call(TestClient.order("2", 1_000)).status());
        TestNode.until(() -> upstream.closedByPeer.get() == 1);
        upstream.behaviour = answers(FakeServer.ok("fine"));
        assertEquals(200, client.call(TestClient.order("3", 15_000)).status());
        assertEquals(2, upstream.connections.size());
      }
    }
  }

  @Test
  void requestIsForwardedUnchangedAndTheConnectionIsReused() throws Exception {
    try (FakeServer upstream = FakeServer.serving("fine")) {
      TestNode node = new TestNode(TestNode.unusedAddress(), 1, upstream);
      try (TestClient client = new TestClient(node.address)) {
        client.call(TestClient.order("1", 15_000));
        client.call(TestClient.look("2", 15_000, ""));
      }
      String first = upstream.requests.get(0).toLowerCase();
      assertTrue(first.startsWith("post /order http/1.1\n"), first);
      assertTrue(
          first.contains("x-correlation-id: 1\n") && first.contains("idempotency-key: once-1\n"),
          first);
      assertTrue(first.contains("x-time-left-ms: ") && first.endsWith("\n\nbody"), first);
      assertTrue(
          upstream.requests.get(1).startsWith("GET /look/a?b=c HTTP/1.1\n"),
          upstream.requests.get(1));
      assertEquals(1, upstream.connections.size());
    }
  }

  @Test
  void connectionClosedByThePeerIsNotWrittenTo() throws Exception {
    try (FakeServer upstream = new FakeServer((request, connection, out) -> {
      FakeServer.write(out, FakeServer.ok("fine"));
      connection.shutdownOutput();
    })) {
      TestNode node = new TestNode(TestNode.unusedAddress(), 1, upstream);
      try (TestClient client = new TestClient(node.address)) {
        for (int i = 1; i <= 3; i++) {
          int calls = i;
          assertEquals(200, client.call(TestClient.order("o" + i, 15_000)).status());
          TestNode.until(() -> upstream.closedByPeer.get() == calls);
          assertEquals(calls, upstream.connections.size());
        }
      }
    }
  }

  @Test
  void disconnectCancelsTheAttempt() throws Exception {
    try (FakeServer upstream = new FakeServer((request, connection, out) -> {})) {
      TestNode node = new TestNode(TestNode.unusedAddress(), 1, upstream);
      try (TestClient client = new TestClient(node.address)) {
        client.send(TestClient.order("1", 15_000));
        TestNode.until(() -> upstream.requests.size() == 1);
      }
      TestNode.until(() -> upstream.closedByPeer.get() == 1);
    }
  }
}
