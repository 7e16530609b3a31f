package pumicekeel.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Clients that violate the protocol get a 4xx answer or an orderly close, and other clients are not affected. */
class BadInputTest {

  static Stream<Arguments> requests() {
    String good = TestClient.look("1", 15_000, "");
    return Stream.of(
        Arguments.of(400, good.replace("X-Service-Class: look", "X-Service-Class: none")),
        Arguments.of(400, good.replace("/look/a", "/order")),
        Arguments.of(400, good.replace("acme", "nobody")),
        Arguments.of(400, good.replace("X-Correlation-Id: 1\r\n", "")),
        Arguments.of(400, good.replace("X-Time-Left-Ms: 15000\r\n", "")),
        Arguments.of(400, good.replace("15000", "soon")),
        Arguments.of(400, good.replace("15000", "-1")),
        Arguments.of(400, good.replace("15000", "99999999999999999999")),
        Arguments.of(405, good.replace("GET ", "DELETE ")),
        Arguments.of(400, TestClient.order("1", 15_000).replace("Idempotency-Key: once-1\r\n", "")),
        Arguments.of(413, TestClient.order("1", 15_000).replace("Length: 4", "Length: 33554433")),
        Arguments.of(400, good.replace("Host: h\r\n", "")),
        Arguments.of(400, good.replace("Id: 1\r\n", "Id: " + "i".repeat(257) + "\r\n")),
        Arguments.of(400, good.replace("Key: k\r\n", "Key: " + "k".repeat(5_000) + "\r\n")),
        Arguments.of(400, TestClient.order("1", 15_000).replace("once-1", "o".repeat(257))),
        Arguments.of(400, "nonsense\r\n\r\n"),
        Arguments.of(400, TestClient.look("1", 15_000, "X-Long: " + "x".repeat(20_000) + "\r\n")),
        Arguments.of(400, TestClient.order("1", 15_000).replace("Length: 4", "Length: four")));
  }

  @ParameterizedTest
  @MethodSource("requests")
  void badRequestIsAnsweredAndTheNextClientIsServed(int status, String request) throws Exception {
    try (FakeServer upstream = FakeServer.serving("fine")) {
      TestNode node = new TestNode(TestNode.unusedAddress(), 1, upstream);
      try (TestClient client = new TestClient(node.address);
          TestClient next = new TestClient(node.address)) {
        assertEquals(status, client.call(request).status());
        assertEquals(200, next.call(TestClient.look("1", 15_000, "")).status());
        assertEquals(1, upstream.requests.size(), "nothing of the bad request was forwarded");
      }
    }
  }

  @Test
  void pipelinedRequestsGetTheFirstAnswerAndAClose() throws Exception {
    try (FakeServer upstream = FakeServer.serving("fine")) {
      TestNode node = new TestNode(TestNode.unusedAddress(), 1, upstream);
      try (TestClient client = new TestClient(node.address)) {
        client.send(TestClient.look("1", 15_000, "") + TestClient.look("2", 15_000, ""));
        assertEquals("fine", client.read().body());
        assertTrue(client.ended());
        assertEquals(1, upstream.requests.size());
      }
    }
  }

  @Test
  void duplicateOpenIdIsAConflictAndTheFirstRequestIsAnswered() throws Exception {
    var release = new java.util.concurrent.CountDownLatch(1);
    try (FakeServer upstream = new FakeServer((request, connection, out) -> {
      release.await();
      FakeServer.write(out, FakeServer.ok("fine"));
    })) {
      TestNode node = new TestNode(TestNode.unusedAddress(), 1, upstream);
      try (TestClient first = new TestClient(node.address);
          TestClient second = new TestClient(node.address)) {
        first.send(TestClient.look("1", 15_000, ""));
        TestNode.until(() -> upstream.requests.size() == 1);
        assertEquals(409, second.call(TestClient.look("1", 15_000, "")).status());
        release.countDown();
        assertEquals("fine", first.read().body());
      }
    }
  }
}
