package pumicekeel.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;

/** The event loop stalls while a request is unread in its socket; the upstream's log shows the time left that was forwarded. */
class StalledLoopTest {

  private static final int LEFT_MILLIS = 15_000;
  private static final long STALL_MILLIS = 3_000;

  /** Time during which a throttled connection was not read counts against the next request: its client counts from the send. */
  @Test
  void throttlingOfAConnectionCountsAgainstTheNextRequest() throws Exception {
    long sentWithinNanos = 200_000_000L;
    try (FakeServer upstream = FakeServer.serving("fine")) {
      TestNode node = new TestNode(TestNode.unusedAddress(), 1, upstream);
      boolean sentInTime = false;
      for (int i = 0; !sentInTime; i++) {
        try (TestClient client = new TestClient(node.address)) {
          long sentAt = System.nanoTime();
          assertEquals(
              400,
              client
                  .call(TestClient.look("bad" + i, 15_000, "").replace("acme", "nobody"))
                  .status());
          client.send(TestClient.look("good" + i, 15_000, ""));
          sentInTime = System.nanoTime() - sentAt < sentWithinNanos;
          assertEquals(200, client.read().status());
        }
      }
      String last = upstream.requests.get(upstream.requests.size() - 1);
      Matcher left = Pattern.compile("(?i)x-time-left-ms: (\\d+)").matcher(last);
      assertTrue(left.find());
      assertTrue(Long.parseLong(left.group(1)) <= 15_000 - 500, left.group());
    }
  }

  @Test
  void loopStallCountsAgainstTheRequest() throws Exception {
    try (FakeServer upstream = FakeServer.serving("fine")) {
      TestNode t = new TestNode(TestNode.unusedAddress(), 1, upstream);
      try (Socket client = new Socket(t.address.getAddress(), t.address.getPort())) {
        send(client, "a");
        TestNode.until(() -> upstream.requests.size() == 1);
        assertTrue(
            left(upstream, 0) > LEFT_MILLIS - 2_000, "left without a stall: " + left(upstream, 0));
        client.getInputStream().read();
        CountDownLatch stalled = new CountDownLatch(1);
        t.node.loop().execute(() -> {
          stalled.countDown();
          sleep();
        });
        stalled.await();
        send(client, "b");
        TestNode.until(() -> upstream.requests.size() == 2);
        assertTrue(
            left(upstream, 1) < LEFT_MILLIS - 2_500,
            "left after it waited for 3 s: " + left(upstream, 1));
      } finally {
        t.node.close();
      }
    }
  }

  /** The upstream never answers and the process stalls just as the request expires: it is still answered within the tolerated 0.5 s. */
  @Test
  void stallAtTheDeadlineDoesNotLoseTheRequest() throws Exception {
    long leftMillis = 4_000;
    long toleratedMillis = 500;
    long stallMillis = 950;
    try (FakeServer upstream = new FakeServer((request, connection, out) -> {})) {
      TestNode t = new TestNode(TestNode.unusedAddress(), 1, upstream);
      try (TestClient client = new TestClient(t.address)) {
        long sentAt = System.nanoTime();
        client.send(TestClient.look("a", leftMillis, ""));
        TestNode.until(() -> upstream.requests.size() == 1);
        long stallAt = sentAt + (left(upstream, 0) - 50) * 1_000_000L;
        TestNode.until(() -> System.nanoTime() > stallAt);
        CountDownLatch resume = t.stallLoop();
        TestNode.until(() -> System.nanoTime() > stallAt + stallMillis * 1_000_000);
        resume.countDown();
        client.read();
        long took = (System.nanoTime() - sentAt) / 1_000_000;
        assertTrue(took < leftMillis + toleratedMillis, "answered after " + took + " ms");
      } finally {
        t.node.close();
      }
    }
  }

  private static void sleep() {
    try {
      Thread.sleep(STALL_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static void send(Socket client, String id) throws Exception {
    client
        .getOutputStream()
        .write(("GET /look HTTP/1.1\r\nHost: h\r\nX-Correlation-Id: " + id
                + "\r\nX-Service-Class: look\r\n" + "X-Account: acme\r\nX-Time-Left-Ms: "
                + LEFT_MILLIS + "\r\n\r\n")
            .getBytes(StandardCharsets.US_ASCII));
  }

  private static int left(FakeServer upstream, int request) {
    Matcher m =
        Pattern.compile("(?i)x-time-left-ms: (\\d+)").matcher(upstream.requests.get(request));
    assertEquals(true, m.find(), upstream.requests.get(request));
    return Integer.parseInt(m.group(1));
  }
}
