package pumicekeel.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The guarantees of a planned stop when the event loop is delayed at the worst moment. */
class StopTest {

  private static final Pattern LEFT = Pattern.compile("(?i)x-time-left-ms: (\\d+)");

  /** Connections in the listener's backlog would be reset when it is closed, unless the process accepts them first. */
  @Test
  void connectionsInTheBacklogAreAcceptedAndAnsweredAtTheClose() throws Exception {
    int backlog = 40;
    try (FakeServer upstream = FakeServer.serving("fine")) {
      TestNode node = new TestNode(TestNode.unusedAddress(), 3, upstream);
      CountDownLatch resume = node.stallLoop();
      List<TestClient> clients = new ArrayList<>();
      for (int i = 0; i < backlog; i++) {
        clients.add(new TestClient(node.address).send(TestClient.look("line" + i, 15_000, "")));
      }
      node.node.loop().execute(() -> node.node.listeners().stopListening());
      resume.countDown();
      for (TestClient client : clients) {
        // Refused or served, but answered.
        assertTrue(List.of(200, 429).contains(client.read().status()));
        client.close();
      }
    }
  }

  /**
   * SIGKILL is not delayed for a process that handles SIGTERM late: its end is counted from the earliest time at which SIGTERM may have
   * arrived, whichever of its threads was delayed.
   */
  @ParameterizedTest(name = "signal handled {0}")
  @ValueSource(
      strings = {
        "at once, while the loop is stalled",
        "when the process resumes",
        "shortly after the process resumes"
      })
  void endIsCountedFromTheEarliestTimeOfTheSignal(String handled) throws Exception {
    long delayNanos = 1_000_000_000L;
    long endMillis = 3_000;
    try (FakeServer upstream = FakeServer.serving("fine")) {
      TestNode node = new TestNode(TestNode.unusedAddress(), 3, upstream);
      try (TestClient client = new TestClient(node.address)) {
        assertEquals(200, client.call(TestClient.look("before", 15_000, "")).status());
        CountDownLatch resume = node.stallLoop();
        long startedAt = System.nanoTime();
        if (handled.startsWith("at once")) {
          node.node.drain();
        }
        TestNode.until(() -> System.nanoTime() - startedAt > delayNanos);
        if (handled.startsWith("when")) {
          node.node.drain();
        } else if (handled.startsWith("shortly")) {
          // Queued behind the loop's own time check, since the signal's thread may run only after
          // that.
          node.node.loop().execute(() -> node.node.loop().execute(node.node::drain));
        }
        resume.countDown();
        node.node.loop().submit(() -> {}).sync();
        node.node.loop().submit(() -> {}).sync();
        assertEquals(200, client.call(TestClient.look("after", 15_000, "")).status());
      }
      Matcher left = LEFT.matcher(upstream.requests.get(1));
      assertTrue(left.find());
      assertTrue(Long.parseLong(left.group(1)) <= endMillis - delayNanos / 1_000_000, left.group());
    }
  }

  /** Nothing more is accepted while a request is partly received: its client, which sends the rest, must get an answer. */
  @ParameterizedTest(name = "half {0}")
  @ValueSource(strings = {"a head", "a body"})
  void partlyReceivedRequestIsRefusedAtTheEnd(String half) throws Exception {
    String request = TestClient.order("1", 15_000);
    int split = half.equals("a head") ? 60 : request.length() - 2;
    try (FakeServer upstream = FakeServer.serving("fine")) {
      TestNode node = new TestNode(TestNode.unusedAddress(), 3, upstream);
      try (TestClient client = new TestClient(node.address)) {
        client.send(request.substring(0, split));
        node.awaitLoopPass();
        node.node.loop().submit(() -> node.node.listeners().closeIncomplete()).sync();
        client.send(request.substring(split));
        assertEquals(503, client.read().status());
        assertTrue(client.closedWithoutReset(), "and not by a reset");
      }
      assertEquals(List.of(), upstream.requests);
    }
  }

  /** Closing a socket with unread bytes resets the connection, and the last answer may be lost. */
  @Test
  void lastAnswerReachesAClientThatStillSends() throws Exception {
    CountDownLatch received = new CountDownLatch(1);
    CountDownLatch release = new CountDownLatch(1);
    CountDownLatch answered = new CountDownLatch(1);
    try (FakeServer upstream = new FakeServer((request, connection, out) -> {
      received.countDown();
      release.await();
      FakeServer.write(out, FakeServer.ok("fine"));
      answered.countDown();
    })) {
      TestNode node = new TestNode(TestNode.unusedAddress(), 3, upstream);
      try (TestClient client = new TestClient(node.address)) {
        client.send(TestClient.look("1", 15_000, "Connection: close\r\n"));
        received.await();
        CountDownLatch resume = node.stallLoop();
        AtomicBoolean reset = new AtomicBoolean();
        // More than is dropped at a time, and some of it before the answer.
        client.send("x".repeat(10_000));
        Thread sends = new Thread(() -> {
          try {
            client.send("x".repeat(250_000));
          } catch (java.io.IOException e) {
            reset.set(true);
          }
        });
        sends.start();
        release.countDown();
        answered.await();
        resume.countDown();
        assertEquals(200, client.read().status());
        sends.join();
        assertTrue(client.closedWithoutReset() && !reset.get(), "and not by a reset");
      }
    }
  }
}
