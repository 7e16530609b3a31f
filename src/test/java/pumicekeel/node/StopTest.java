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

/** What is owed at a stop, with a loop that is late at the worst moment. */
class StopTest {

  private static final Pattern LEFT = Pattern.compile("(?i)x-time-left-ms: (\\d+)");

  /** A connection that the machine has accepted and the process has not would be reset with the listener. */
  @Test
  void thoseInLineAtTheCloseAreLetInAndServed() throws Exception {
    int inLine = 40;
    try (FakeServer upstream = FakeServer.serving("fine")) {
      TestNode node = new TestNode(TestNode.nowhere(), 3, upstream);
      CountDownLatch goesOn = node.standStill();
      List<TestClient> clients = new ArrayList<>();
      for (int i = 0; i < inLine; i++) {
        clients.add(new TestClient(node.address).send(TestClient.look("line" + i, 15_000, "")));
      }
      node.node.loop().execute(() -> node.node.listeners().stopListening());
      goesOn.countDown();
      for (TestClient client : clients) {
        // Refused or served, but answered.
        assertTrue(List.of(200, 429).contains(client.read().status()));
        client.close();
      }
    }
  }

  /**
   * SIGKILL does not wait for a process that comes to SIGTERM late: its end is counted from when SIGTERM may have come, whichever of
   * its threads was late.
   */
  @ParameterizedTest(name = "signal heard {0}")
  @ValueSource(
      strings = {
        "at once, by a loop that stands still",
        "as the process goes on",
        "a moment after it goes on"
      })
  void endIsCountedFromWhenTheStopMayHaveCome(String heard) throws Exception {
    long late = 1_000_000_000L;
    long end = 3_000;
    try (FakeServer upstream = FakeServer.serving("fine")) {
      TestNode node = new TestNode(TestNode.nowhere(), 3, upstream);
      try (TestClient client = new TestClient(node.address)) {
        assertEquals(200, client.call(TestClient.look("before", 15_000, "")).status());
        CountDownLatch goesOn = node.standStill();
        long asked = System.nanoTime();
        if (heard.startsWith("at once")) {
          node.node.drain();
        }
        TestNode.until(() -> System.nanoTime() - asked > late);
        if (heard.startsWith("as")) {
          node.node.drain();
        } else if (heard.startsWith("a moment")) {
          // Queued behind the loop's own look at the time, as the signal's thread may come to run
          // only then.
          node.node.loop().execute(() -> node.node.loop().execute(node.node::drain));
        }
        goesOn.countDown();
        node.node.loop().submit(() -> {}).sync();
        node.node.loop().submit(() -> {}).sync();
        assertEquals(200, client.call(TestClient.look("after", 15_000, "")).status());
      }
      Matcher left = LEFT.matcher(upstream.requests.get(1));
      assertTrue(left.find());
      assertTrue(Long.parseLong(left.group(1)) <= end - late / 1_000_000, left.group());
    }
  }

  /** Nothing more is taken, and half a request has come: its client has sent the rest, and must not find a closed door. */
  @ParameterizedTest(name = "half {0}")
  @ValueSource(strings = {"a head", "a body"})
  void requestThatHasComeInPartAtTheEndIsRefused(String half) throws Exception {
    String whole = TestClient.order("1", 15_000);
    int at = half.equals("a head") ? 60 : whole.length() - 2;
    try (FakeServer upstream = FakeServer.serving("fine")) {
      TestNode node = new TestNode(TestNode.nowhere(), 3, upstream);
      try (TestClient client = new TestClient(node.address)) {
        client.send(whole.substring(0, at));
        node.pass();
        node.node.loop().submit(() -> node.node.listeners().closeUntaken()).sync();
        client.send(whole.substring(at));
        assertEquals(503, client.read().status());
        assertTrue(client.endedInOrder(), "and not by a reset");
      }
      assertEquals(List.of(), upstream.requests);
    }
  }

  /** A close with bytes unread resets: the last answer may be lost with it. */
  @Test
  void lastAnswerReachesAClientThatStillSends() throws Exception {
    CountDownLatch asked = new CountDownLatch(1);
    CountDownLatch answers = new CountDownLatch(1);
    CountDownLatch answered = new CountDownLatch(1);
    try (FakeServer upstream = new FakeServer((request, connection, out) -> {
      asked.countDown();
      answers.await();
      FakeServer.write(out, FakeServer.ok("fine"));
      answered.countDown();
    })) {
      TestNode node = new TestNode(TestNode.nowhere(), 3, upstream);
      try (TestClient client = new TestClient(node.address)) {
        client.send(TestClient.look("1", 15_000, "Connection: close\r\n"));
        asked.await();
        CountDownLatch goesOn = node.standStill();
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
        answers.countDown();
        answered.await();
        goesOn.countDown();
        assertEquals(200, client.read().status());
        sends.join();
        assertTrue(client.endedInOrder() && !reset.get(), "and not by a reset");
      }
    }
  }
}
