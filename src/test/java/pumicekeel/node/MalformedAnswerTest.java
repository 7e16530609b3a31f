package pumicekeel.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Upstreams that send malformed answers or surplus data. */
class MalformedAnswerTest {

  private static final int FAILED = 502;
  private static final long SHORT_TIME_MILLIS = 1_000;

  private static FakeServer.Behaviour answers(String answer) {
    return (request, connection, out) -> FakeServer.write(out, answer);
  }

  private static Arguments answerOf(String name, String answer) {
    return Arguments.of(name, answer);
  }

  /** All leave the connection open and silent, so only a close by the balancer shows that the fault was detected. */
  static Stream<Arguments> malformed() {
    return Stream.of(
        answerOf("noise without a line's end", "\u0001\u0002noise"),
        answerOf("3 GB announced", "HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\nfine"),
        answerOf(
            "two lengths", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 4\r\n\r\nfine"),
        answerOf(
            "two lengths in 1.0",
            "HTTP/1.0 200 OK\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nfine"),
        answerOf(
            "length and chunks",
            "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n0\r\n\r\n"),
        answerOf(
            "a line without a colon",
            "HTTP/1.1 200 OK\r\nno colon here\r\nContent-Length: 4\r\n\r\nfine"),
        answerOf("a blank ahead of a colon", "HTTP/1.1 200 OK\r\nContent-Length : 4\r\n\r\nfine"),
        answerOf(
            "another coding",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n4\r\nfine\r\n0\r\n\r\n"),
        answerOf("lines ended by LF alone", "HTTP/1.1 200 OK\nContent-Length: 4\n\nfine"),
        answerOf("neither length nor chunks", "HTTP/1.1 200 OK\r\n\r\nfine"),
        answerOf("another protocol", "HTTP/1.1 101 S\r\nUpgrade: x\r\n\r\nfine"),
        answerOf("interim answers without end", "HTTP/1.1 102 P\r\n\r\n".repeat(50)),
        answerOf("a head without end", "HTTP/1.1 200 OK\r\n" + "X: y\r\n".repeat(3_000)));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("malformed")
  void malformedAnswerIsAFailureAndItsConnectionIsClosed(String name, String answer)
      throws Exception {
    try (FakeServer upstream = new FakeServer(answers(answer))) {
      TestNode node = new TestNode(TestNode.unusedAddress(), 1, upstream);
      try (TestClient client = new TestClient(node.address)) {
        long start = System.nanoTime();
        assertEquals(FAILED, client.call(TestClient.order("1", 20_000)).status());
        assertTrue(
            System.nanoTime() - start < 15_000_000_000L, "long before the request's time is up");
        TestNode.until(() -> upstream.closedByPeer.get() == 1);
      }
    }
  }

  static Stream<Arguments> surplus() {
    return Stream.of(
        answerOf("a second copy", FakeServer.ok("mine")),
        answerOf("half a line", "HTT"),
        answerOf("noise", "\u0000\u0001\u0002"));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("surplus")
  void surplusDataIsNeverTheNextAnswer(String name, String extra) throws Exception {
    try (FakeServer upstream = new FakeServer((request, connection, out) -> {
      String body = request.contains("X-Correlation-Id: 1\n") ? "mine" : "next";
      FakeServer.write(out, FakeServer.ok(body) + (body.equals("mine") ? extra : ""));
    })) {
      TestNode node = new TestNode(TestNode.unusedAddress(), 1, upstream);
      try (TestClient first = new TestClient(node.address);
          TestClient second = new TestClient(node.address)) {
        assertEquals("mine", first.call(TestClient.order("1", 15_000)).body());
        assertEquals("next", second.call(TestClient.order("2", 15_000)).body());
        assertEquals(2, upstream.connections.size(), "the first connection is not reused");
        TestNode.until(() -> upstream.closedByPeer.get() == 1);
      }
    }
  }

  @Test
  void dataOnAnIdleConnectionClosesIt() throws Exception {
    CountDownLatch answered = new CountDownLatch(1);
    try (FakeServer upstream = new FakeServer((request, connection, out) -> {
      FakeServer.write(out, FakeServer.ok("fine"));
      answered.await();
      FakeServer.write(out, "H");
    })) {
      TestNode node = new TestNode(TestNode.unusedAddress(), 1, upstream);
      try (TestClient client = new TestClient(node.address)) {
        assertEquals("fine", client.call(TestClient.order("1", 15_000)).body());
        answered.countDown();
        TestNode.until(() -> upstream.closedByPeer.get() == 1);
        assertEquals("fine", client.call(TestClient.order("2", 15_000)).body());
      }
    }
  }

  @Test
  void answerThatStallsInItsHeadIsAFailureOnceItsClientsTimeIsUp() throws Exception {
    try (FakeServer upstream = new FakeServer(answers("HTTP/1.1 200 OK\r\nContent-Le"))) {
      TestNode node = new TestNode(TestNode.unusedAddress(), 1, upstream);
      try (TestClient client = new TestClient(node.address)) {
        long start = System.nanoTime();
        assertEquals(
            FAILED, client.call(TestClient.order("1", SHORT_TIME_MILLIS)).status());
        long took = (System.nanoTime() - start) / 1_000_000;
        assertTrue(took < SHORT_TIME_MILLIS + 500, "answered after " + took + " ms");
        TestNode.until(() -> upstream.closedByPeer.get() == 1);
      }
    }
  }

  /** The part that came is passed on in time; its end is its client's leaving, which ends the upstream's connection. */
  @ParameterizedTest(name = "{0}")
  @ValueSource(strings = {"head", "body", "trickle"})
  void answerThatStallsIsPassedOnInTimeAndNotCutBeforeItsClientLeaves(String last)
      throws Exception {
    String part = last.equals("head") ? "" : "part";
    CountDownLatch left = new CountDownLatch(1);
    try (FakeServer upstream = new FakeServer((request, connection, out) -> {
      FakeServer.write(out, "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n" + part);
      while (last.equals("trickle") && left.getCount() > 0) {
        FakeServer.write(out, "x");
        Thread.sleep(50);
      }
    })) {
      TestNode node = new TestNode(TestNode.unusedAddress(), 1, upstream);
      try (TestClient client = new TestClient(node.address)) {
        long start = System.nanoTime();
        client.send(TestClient.order("1", SHORT_TIME_MILLIS));
        assertTrue(client.readHead().startsWith("http/1.1 200"));
        assertTrue((System.nanoTime() - start) / 1_000_000 < SHORT_TIME_MILLIS, "begun in time");
        for (char expected : part.toCharArray()) {
          assertEquals(expected, client.readByte());
        }
        while ((System.nanoTime() - start) / 1_000_000 < SHORT_TIME_MILLIS + 1_000) {
          assertTrue(client.isOpen(), "not cut behind its client's time");
        }
        assertEquals(0, upstream.closedByPeer.get());
      }
      left.countDown();
      TestNode.until(() -> upstream.closedByPeer.get() == 1);
    }
  }

  /** The sockets allow 15 clients and 14 connections to upstreams. */
  @Test
  void answersThatStallGiveWayToNewRequestsWhereSocketsAreShort() throws Exception {
    int stalled = 14;
    try (FakeServer upstream = new FakeServer((request, connection, out) -> FakeServer.write(
        out,
        request.contains("X-Correlation-Id: stalled")
            ? "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n"
            : FakeServer.ok("fine")))) {
      TestNode node = new TestNode(TestNode.json(TestNode.unusedAddress(), 1, upstream)
          .replace("\"sockets\":1024", "\"sockets\":60"));
      List<TestClient> clients = new ArrayList<>();
      try {
        for (int i = 0; i < stalled; i++) {
          TestClient client = new TestClient(node.address);
          clients.add(client);
          client.send(TestClient.order("stalled" + i, SHORT_TIME_MILLIS));
        }
        for (TestClient client : clients) {
          assertTrue(client.readHead().startsWith("http/1.1 200"));
        }
        for (int served = 0, i = 0; served < 2; i++) {
          try (TestClient client = new TestClient(node.address)) {
            served +=
                client.call(TestClient.order("new" + i, SHORT_TIME_MILLIS)).status() == 200 ? 1 : 0;
          }
        }
        assertEquals(
            stalled - 1, clients.stream().filter(MalformedAnswerTest::isOpen).count());
      } finally {
        for (TestClient client : clients) {
          client.close();
        }
      }
    }
  }

  private static boolean isOpen(TestClient client) {
    try {
      return client.isOpen();
    } catch (IOException e) {
      return false;
    }
  }

  @Test
  void answerWhoseBodyComesBehindItsClientsTimeArrivesWhole() throws Exception {
    try (FakeServer upstream = new FakeServer((request, connection, out) -> {
      FakeServer.write(out, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n");
      Thread.sleep(2 * SHORT_TIME_MILLIS);
      FakeServer.write(out, "late");
    })) {
      TestNode node = new TestNode(TestNode.unusedAddress(), 1, upstream);
      try (TestClient client = new TestClient(node.address)) {
        TestClient.Reply reply = client.call(TestClient.order("1", SHORT_TIME_MILLIS));
        assertEquals(200, reply.status());
        assertEquals("late", reply.body());
        assertEquals("late", client.call(TestClient.order("2", 15_000)).body(), "kept open");
      }
    }
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void answerThatBreaksAfterASilenceIsAFailureAndNotACutStream(boolean reset) throws Exception {
    // Longer than an arriving answer is kept whole.
    long silenceMillis = 900;
    try (FakeServer upstream = new FakeServer((request, connection, out) -> {
      FakeServer.write(out, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nfine");
      Thread.sleep(silenceMillis);
      connection.setSoLinger(reset, 0);
      connection.close();
    })) {
      TestNode node = new TestNode(TestNode.unusedAddress(), 1, upstream);
      try (TestClient client = new TestClient(node.address)) {
        assertEquals(FAILED, client.call(TestClient.order("1", 15_000)).status());
      }
    }
  }

  @Test
  void interimAnswersAndAnUnreadableLoadReportAreIgnored() throws Exception {
    try (FakeServer upstream = new FakeServer((request, connection, out) -> {
      FakeServer.write(out, "HTTP/1.1 103 E\r\nLink: x\r\n\r\n");
      // Longer than the limit from an answer's first byte to its last: an interim answer must not
      // start it.
      Thread.sleep(600);
      FakeServer.write(
          out,
          "HTTP/1.1 200 OK\r\nX-Backend-Load: inflight==;7,,\r\nContent-Length: 4\r\n\r\nfine");
    })) {
      TestNode node = new TestNode(TestNode.unusedAddress(), 1, upstream);
      try (TestClient client = new TestClient(node.address)) {
        assertEquals("fine", client.call(TestClient.order("1", 15_000)).body());
      }
    }
  }
}
