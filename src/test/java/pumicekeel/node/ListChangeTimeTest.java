package pumicekeel.node;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import pumicekeel.runtime.Reactor;

/**
 * A change counts as told 6 s after discovery had it and could be reached, and 4 s after a SIGHUP to another discovery, whatever a failed
 * call would allow: a node that has not heard of it by then is wrong. Each order of faults runs beside the others on a node of its own; the
 * limit is a timer of that node's loop, so that a machine which is late is late for both.
 */
class ToldInTimeTest {

  private static final long TOLD_SECONDS = 6;
  private static final long TOLD_AFTER_SIGHUP_SECONDS = 4;
  private static final String HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  private static final String REFUSAL = "HTTP/1.1 503 U\r\nContent-Length: 0\r\n\r\n";
  /** Far less than any limit on silence. */
  private static final long TRICKLE_MILLIS = 200;

  /** What a discovery does with one call. */
  private enum Call {
    /** Takes it and says nothing, ever. */
    SILENT,
    /** Begins its head and never ends it. */
    ENDLESS_HEAD,
    /** Begins a list and never ends it. */
    ENDLESS_LIST,
    /** Ends the connection. */
    BREAK,
    REFUSE,
    /** Tells of the change, which is known by now. */
    TELL
  }

  /** One order: the calls in turn, the last of them again and again; the change is there when the call of this index comes. */
  private final class Order implements FakeServer.Behaviour {
    private final String name;
    private final List<Call> calls;
    private final int changeAt;
    private final long limitSeconds;
    private final AtomicInteger came = new AtomicInteger();
    private final Reactor on = Reactor.start();
    private final CountDownLatch decided = new CountDownLatch(1);
    private volatile boolean told;
    private volatile boolean late;

    private Order(String name, int changeAt, long limitSeconds, Call... calls) {
      this.name = name;
      this.calls = List.of(calls);
      this.changeAt = changeAt;
      this.limitSeconds = limitSeconds;
    }

    /** The change is known from now on. */
    private void changes() {
      on.loop().schedule(this::due, limitSeconds, TimeUnit.SECONDS);
    }

    private void due() {
      late = !told;
      decided.countDown();
    }

    @Override
    public void answer(String request, java.net.Socket connection, OutputStream out)
        throws Exception {
      int number = came.getAndIncrement();
      if (number == changeAt) {
        changes();
      }
      switch (calls.get(Math.min(number, calls.size() - 1))) {
        case SILENT -> {}
        case ENDLESS_HEAD -> trickle(out, "HTTP/1.1 200 OK\r\nX: ", "x");
        case ENDLESS_LIST -> trickle(out, HEAD + "c\r\n{\"index\":9,\n\r\n", "1\r\n\n\r\n");
        case BREAK -> connection.close();
        case REFUSE -> FakeServer.write(out, REFUSAL);
        case TELL -> {
          String list = "{\"index\":9,\"snapshot\":true,\"endpoints\":[]}\n";
          FakeServer.write(out, HEAD + Integer.toHexString(list.length()) + "\r\n" + list + "\r\n");
          told = true;
          decided.countDown();
        }
      }
    }

    private static void trickle(OutputStream out, String first, String more) throws Exception {
      FakeServer.write(out, first);
      while (true) {
        Thread.sleep(TRICKLE_MILLIS);
        FakeServer.write(out, more);
      }
    }
  }

  /** So many that the back-off has reached its longest. */
  private static final int REFUSALS = 7;

  private static Call[] refusals() {
    Call[] calls = new Call[REFUSALS + 1];
    Arrays.fill(calls, Call.REFUSE);
    calls[REFUSALS] = Call.TELL;
    return calls;
  }

  private final List<Order> orders = new ArrayList<>();
  private final List<FakeServer> servers = new CopyOnWriteArrayList<>();

  private FakeServer serve(FakeServer.Behaviour behaviour) throws IOException {
    FakeServer server = new FakeServer(behaviour);
    servers.add(server);
    return server;
  }

  private Node start(Order order, InetSocketAddress discovery, boolean pushed) throws Exception {
    orders.add(order);
    String json = pushed ? TestNode.pushed(discovery, 3) : TestNode.json(discovery, 3);
    Node node = new Node(order.on, TestNode.read(json, orders.size()), null, () -> {}, false);
    node.start();
    return node;
  }

  private void all(boolean pushed) throws Exception {
    String kind = pushed ? "pushed, " : "asked, ";
    for (Order order : List.of(
        new Order(kind + "silent from its first byte", 0, TOLD_SECONDS, Call.SILENT, Call.TELL),
        new Order(kind + "endless head", 0, TOLD_SECONDS, Call.ENDLESS_HEAD, Call.TELL),
        new Order(kind + "endless list", 0, TOLD_SECONDS, Call.ENDLESS_LIST, Call.TELL),
        new Order(
            kind + "broken, then silent", 0, TOLD_SECONDS, Call.BREAK, Call.SILENT, Call.TELL),
        new Order(kind + "refusing, then back", REFUSALS - 1, TOLD_SECONDS, refusals()),
        new Order(
            kind + "refusing, then silent",
            1,
            TOLD_SECONDS,
            Call.REFUSE,
            Call.SILENT,
            Call.TELL))) {
      start(order, serve(order).address(), pushed);
    }
  }

  /** SIGHUP to another one while the first has refused for long; the first call there fails as well. */
  private void moved(boolean pushed, Call first) throws Exception {
    int refusals = 5;
    CountDownLatch refused = new CountDownLatch(refusals);
    FakeServer before = serve((request, connection, out) -> {
      FakeServer.write(out, REFUSAL);
      refused.countDown();
    });
    Order order = new Order(
        (pushed ? "pushed" : "asked") + ", SIGHUP, then " + first,
        -1,
        TOLD_AFTER_SIGHUP_SECONDS,
        first,
        Call.TELL);
    Node node = start(order, before.address(), pushed);
    Thread hangup = new Thread(() -> {
      try {
        refused.await();
        InetSocketAddress next = serve(order).address();
        order.changes();
        node.reload(TestNode.read(pushed ? TestNode.pushed(next, 3) : TestNode.json(next, 3), 1));
      } catch (IOException | InterruptedException e) {
        throw new IllegalStateException(e);
      }
    });
    hangup.setDaemon(true);
    hangup.start();
  }

  @Test
  void whateverACallDoes() throws Exception {
    for (boolean pushed : new boolean[] {false, true}) {
      all(pushed);
      moved(pushed, Call.REFUSE);
      for (int i = 0; i < 4; i++) {
        moved(pushed, Call.SILENT);
      }
    }
    List<String> late = new ArrayList<>();
    for (Order order : orders) {
      if (!order.decided.await(60, TimeUnit.SECONDS) || order.late) {
        late.add(order.name + " with seed " + (orders.indexOf(order) + 1));
      }
      order.on.loop().parent().shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }
    for (FakeServer server : servers) {
      server.close();
    }
    assertEquals(List.of(), late);
  }
}
