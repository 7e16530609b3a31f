package pumicekeel.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * What an upstream does and what the client is told. With one attempt and a keyed class, 429 shows an outcome that
 * proves that nothing ran, 502 one that may have run, 200 a whole answer.
 */
class OutcomeTest {

  private static final int REFUSED = 429;
  private static final int FAILED = 502;

  private static Arguments row(String name, int status, FakeServer.Behaviour behaviour) {
    return Arguments.of(name, status, behaviour);
  }

  private static FakeServer.Behaviour says(String answer) {
    return (request, connection, out) -> FakeServer.write(out, answer);
  }

  private static FakeServer.Behaviour saysAndEnds(String answer) {
    return (request, connection, out) -> {
      FakeServer.write(out, answer);
      connection.close();
    };
  }

  static Stream<Arguments> behaviours() {
    return Stream.of(
        row("whole answer", 200, says(FakeServer.ok("fine"))),
        row(
            "chunked answer",
            200,
            says("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n0\r\n\r\n")),
        row(
            "after an interim answer",
            200,
            says("HTTP/1.1 100 Continue\r\n\r\n" + FakeServer.ok("fine"))),
        row(
            "no reason given",
            200,
            says("HTTP/1.1 103 \r\n\r\n" + FakeServer.ok("fine").replace(" OK", " "))),
        row("error", FAILED, says("HTTP/1.1 500 E\r\nContent-Length: 0\r\n\r\n")),
        row(
            "turned away",
            REFUSED,
            says("HTTP/1.1 503 U\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n")),
        row(
            "over already",
            REFUSED,
            says("HTTP/1.1 504 U\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n")),
        row("bare 503", FAILED, says("HTTP/1.1 503 U\r\nContent-Length: 0\r\n\r\n")),
        row(
            "mark on an error",
            FAILED,
            says("HTTP/1.1 500 E\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n")),
        row("ended with no answer", FAILED, saysAndEnds("")),
        row("reset", FAILED, (request, connection, out) -> {
          connection.setSoLinger(true, 0);
          connection.close();
        }),
        row("cut short", FAILED, saysAndEnds("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nfine")),
        row(
            "cut short in chunks",
            FAILED,
            saysAndEnds("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n")),
        row("no length", FAILED, saysAndEnds("HTTP/1.1 200 OK\r\n\r\nfine")),
        row("malformed", FAILED, says("nonsense\r\n\r\n")),
        row("too large", FAILED, says("HTTP/1.1 200 OK\r\nContent-Length: 33554433\r\n\r\nfine")));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("behaviours")
  void clientIsToldTheTruth(String name, int status, FakeServer.Behaviour behaviour)
      throws Exception {
    try (FakeServer upstream = new FakeServer(behaviour)) {
      TestNode node = new TestNode(TestNode.nowhere(), 1, upstream);
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
  void upstreamThatIsNotThereIsARefusal() throws Exception {
    FakeServer upstream = FakeServer.serving("fine");
    upstream.close();
    TestNode node = new TestNode(TestNode.nowhere(), 1, upstream);
    try (TestClient client = new TestClient(node.address)) {
      assertEquals(REFUSED, client.call(TestClient.order("1", 15_000)).status());
    }
  }

  @Test
  void silentUpstreamIsAFailureAndItsConnectionsAreNotUsedAgain() throws Exception {
    try (FakeServer upstream = FakeServer.serving("fine")) {
      TestNode node = new TestNode(TestNode.nowhere(), 1, upstream);
      try (TestClient client = new TestClient(node.address)) {
        assertEquals(200, client.call(TestClient.order("1", 15_000)).status());
        upstream.behaviour = (request, connection, out) -> {};
        assertEquals(FAILED, client.call(TestClient.order("2", 1_000)).status());
        TestNode.until(() -> upstream.closedByPeer.get() == 1);
        upstream.behaviour = says(FakeServer.ok("fine"));
        assertEquals(200, client.call(TestClient.order("3", 15_000)).status());
        assertEquals(2, upstream.connections.size());
      }
    }
  }

  @Test
  void requestGoesOnUnchangedAndItsConnectionIsUsedAgain() throws Exception {
    try (FakeServer upstream = FakeServer.serving("fine")) {
      TestNode node = new TestNode(TestNode.nowhere(), 1, upstream);
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
  void connectionThatThePeerClosedIsNotWrittenTo() throws Exception {
    try (FakeServer upstream = new FakeServer((request, connection, out) -> {
      FakeServer.write(out, FakeServer.ok("fine"));
      connection.shutdownOutput();
    })) {
      TestNode node = new TestNode(TestNode.nowhere(), 1, upstream);
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
  void clientThatLeavesEndsItsAttempt() throws Exception {
    try (FakeServer upstream = new FakeServer((request, connection, out) -> {})) {
      TestNode node = new TestNode(TestNode.nowhere(), 1, upstream);
      try (TestClient client = new TestClient(node.address)) {
        client.send(TestClient.order("1", 15_000));
        TestNode.until(() -> upstream.requests.size() == 1);
      }
      TestNode.until(() -> upstream.closedByPeer.get() == 1);
    }
  }
}
