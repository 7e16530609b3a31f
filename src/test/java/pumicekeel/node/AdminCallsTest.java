package pumicekeel.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;

/** The admin endpoint on sockets, and the evacuation of clients by it. */
class AdminCallsTest {

  private static final String UP = "GET /up HTTP/1.1\r\nHost: h\r\n\r\n";

  private static String call(InetSocketAddress admin, String text) throws IOException {
    try (Socket socket = new Socket(admin.getAddress(), admin.getPort())) {
      socket.setSoTimeout(30_000);
      socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
      socket.shutdownOutput();
      BufferedReader in = new BufferedReader(
          new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
      String answer = in.readLine();
      assertEquals(null, in.readLine(), "one line, then the connection is closed");
      return answer;
    }
  }

  private static TestNode node(FakeServer... upstreams) throws Exception {
    return new TestNode(TestNode.json(TestNode.unusedAddress(), 1, upstreams)
        .replace("\"seed\"", "\"admin\":\"127.0.0.1:0\",\"seed\""));
  }

  @Test
  void callsAreAnsweredDespiteOtherCallers() throws Exception {
    try (FakeServer upstream = FakeServer.serving("fine")) {
      TestNode node = node(upstream);
      InetSocketAddress admin = node.node.adminAddress();
      List<Socket> silent = new ArrayList<>();
      for (int i = 0; i < 100; i++) {
        Socket socket = new Socket(admin.getAddress(), admin.getPort());
        if (i % 2 == 0) {
          socket.getOutputStream().write("evacu".getBytes(StandardCharsets.US_ASCII));
        }
        silent.add(socket);
        if (i % 20 == 0) {
          assertTrue(
              call(admin, "readyz\n").startsWith("YES"), "beside " + i + " silent connections");
        }
      }
      assertTrue(call(admin, "evacuate").startsWith("NO"), "an incomplete call does nothing");
      assertTrue(call(admin, "x".repeat(10_000) + "\n").startsWith("NO"));
      assertTrue(call(admin, "readyz\r\n").startsWith("YES"));
      for (Socket socket : silent) {
        socket.close();
      }
    }
  }

  @Test
  void evacuationClosesClientsAfterTheirAnswersAndActivateAcceptsThemAgain() throws Exception {
    CountDownLatch release = new CountDownLatch(1);
    try (FakeServer upstream = new FakeServer((request, connection, out) -> {
      if (request.contains("long")) {
        release.await();
      }
      FakeServer.write(out, FakeServer.ok("fine"));
    })) {
      TestNode node = node(upstream);
      InetSocketAddress admin = node.node.adminAddress();
      try (TestClient busy = new TestClient(node.address);
          TestClient idle = new TestClient(node.address);
          TestClient open = new TestClient(node.address)) {
        idle.call(TestClient.look("first", 15_000, ""));
        open.send(TestClient.look("long", 15_000, ""));
        TestNode.until(() -> upstream.requests.stream().anyMatch(r -> r.contains("long")));
        long calledAt = System.nanoTime();
        assertTrue(call(admin, "evacuate\n").startsWith("YES"));
        assertTrue(call(admin, "readyz\n").startsWith("NO"));
        assertEquals(503, busy.call(UP).status(), "the front is told at once");
        int served = 0;
        boolean last = false;
        while (!last) {
          TestClient.Reply reply = busy.call(TestClient.look("b" + served++, 15_000, ""));
          assertEquals("fine", reply.body(), "served as usual until the connection's last answer");
          last = reply.head().contains("connection: close");
        }
        assertTrue(busy.ended());
        assertTrue(idle.ended(), "a connection without a request is closed");
        assertTrue(
            System.nanoTime() - calledAt < 9_000_000_000L,
            "because of the evacuation, not of the idle time-out of 10 s");
        try (TestClient late = new TestClient(node.address)) {
          assertEquals(
              503, late.call(UP).status(), "it still listens, for the front's health check");
          assertTrue(late.ended());
        }
        release.countDown();
        TestClient.Reply reply = open.read();
        assertEquals("fine", reply.body(), "a request accepted before is answered");
        assertTrue(reply.head().contains("connection: close"));
        TestNode.until(() -> node.node.listeners().openConnections() == 0);
        assertTrue(call(admin, "activate\n").startsWith("YES"));
        assertTrue(call(admin, "readyz\n").startsWith("YES"));
        try (TestClient again = new TestClient(node.address)) {
          assertEquals(200, again.call(UP).status());
          TestClient.Reply reactivated = again.call(TestClient.look("again", 15_000, ""));
          assertEquals("fine", reactivated.body());
          assertFalse(reactivated.head().contains("connection: close"));
        }
      }
    }
  }

  @Test
  void evacuatedInstanceThatStopsCannotBeActivated() throws Exception {
    try (FakeServer upstream = FakeServer.serving("fine")) {
      TestNode node = node(upstream);
      InetSocketAddress admin = node.node.adminAddress();
      call(admin, "evacuate\n");
      node.node.drain();
      assertTrue(call(admin, "activate\n").startsWith("NO"));
      node.node.awaitDrained();
    }
  }
}
