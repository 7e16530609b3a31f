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
 * A node must have received a change 6 s after discovery had it and could be reached, and 4 s after a SIGHUP to another discovery, whatever
 * calls fail in between. Each sequence of faults runs concurrently with the others on its own node; the limit is a timer of that node's
 * event loop, so that a slow machine delays both.
 */
class ListChangeTimeTest {

  private static final long LIMIT_SECONDS = 6;
  private static final long LIMIT_AFTER_SIGHUP_SECONDS = 4;
  private static final String HEAD = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  private static final String REFUSAL = "HTTP/1.1 503 U\r\nContent-Length: 0\r\n\r\n";
  /** Far shorter than any limit on silence. */
  private static final long TRICKLE_MILLIS = 200;

  /** How a discovery handles one call. */
  private enum Call {
    /** Accepts it and never answers. */
    SILENT,
    /** Begins the head and never ends it. */
    ENDLESS_HEAD,
    /** Begins a list and never ends it. */
    ENDLESS_LIST,
    /** Closes the connection. */
    BREAK,
    REFUSE,
    /** Reports the change, which discovery has by now. */
    REPORT
  }

  /** A sequence of calls of which the last one repeats; discovery has the change from the call with index changeAt on. */
  private final class Sequence implements FakeServer.Behaviour {
    private final String name;
    private final List<Call> calls;
    private final int changeAt;
    private final long limitSeconds;
    private final AtomicInteger received = new AtomicInteger();
    private final Reactor reactor = Reactor.start();
    private final CountDownLatch decided = new CountDownLatch(1);
    private volatile boolean reported;
    private volatile boolean late;

    private Sequence(String name, int changeAt, long limitSeconds, Call... calls) {
      this.name = name;
      this.calls = List.of(calls);
      this.changeAt = changeAt;
      this.limitSeconds = limitSeconds;
    }

    /** Discovery has the change from now on. */
    private void startTimer() {
      reactor.loop().schedule(this::onLimit, limitSeconds, TimeUnit.SECONDS);
    }

    private void onLimit() {
      late = !reported;
      decided.countDown();
    }

    @Override
    public void answer(String request, java.net.Socket connection, OutputStream out)
        throws Exception {
      int number = received.getAndIncrement();
      if (number == changeAt) {
        startTimer();
      }
      switch (calls.get(Math.min(number, calls.size() - 1))) {
        case SILENT -> {}
        case ENDLESS_HEAD -> trickle(out, "HTTP/1.1 200 OK\r\nX: ", "x");
        case ENDLESS_LIST -> trickle(out, HEAD + "c\r\n{\"index\":9,\n\r\n", "1\r\n\n\r\n");
        case BREAK -> connection.close();
        case REFUSE -> FakeServer.write(out, REFUSAL);
        case REPORT -> {
          String list = "{\"index\":9,\"snapshot\":true,\"endpoints\":[]}\n";
          FakeServer.write(out, HEAD + Integer.toHexString(list.length()) + "\r\n" + list + "\r\n");
          reported = true;
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

  /** Enough refusals for the back-off to reach its maximum. */
  private static final int REFUSALS = 7;

  private static Call[] refusals() {
    Call[] calls = new Call[REFUSALS + 1];
    Arrays.fill(calls, Call.REFUSE);
    calls[REFUSALS] = Call.REPORT;
    return calls;
  }

  private final List<Sequence> sequences = new ArrayList<>();
  private final List<FakeServer> servers = new CopyOnWriteArrayList<>();

  private FakeServer serve(FakeServer.Behaviour behaviour) throws IOException {
    FakeServer server = new FakeServer(behaviour);
    servers.add(server);
    return server;
  }

  private Node start(Sequence sequence, InetSocketAddress discovery, boolean pushed)
      throws Exception {
    sequences.add(sequence);
    String json = pushed ? TestNode.pushed(discovery, 3) : TestNode.json(discovery, 3);
    Node node =
        new Node(sequence.reactor, TestNode.read(json, sequences.size()), null, () -> {}, false);
    node.start();
    return node;
  }

  private void startAll(boolean pushed) throws Exception {
    String kind = pushed ? "pushed, " : "asked, ";
    for (Sequence sequence : List.of(
        new Sequence(
            kind + "silent from its first byte", 0, LIMIT_SECONDS, Call.SILENT, Call.REPORT),
        new Sequence(kind + "endless head", 0, LIMIT_SECONDS, Call.ENDLESS_HEAD, Call.REPORT),
        new Sequence(kind + "endless list", 0, LIMIT_SECONDS, Call.ENDLESS_LIST, Call.REPORT),
        new Sequence(
            kind + "broken, then silent", 0, LIMIT_SECONDS, Call.BREAK, Call.SILENT, Call.REPORT),
        new Sequence(kind + "refusing, then back", REFUSALS - 1, LIMIT_SECONDS, refusals()),
        new Sequence(
            kind + "refusing, then silent",
            1,
            LIMIT_SECONDS,
            Call.REFUSE,
            Call.SILENT,
            Call.REPORT))) {
      start(sequence, serve(sequence).address(), pushed);
    }
  }

  /** SIGHUP to another discovery after the first has refused several calls; the first call there fails as well. */
  private void startWithSighup(boolean pushed, Call first) throws Exception {
    int refusals = 5;
    CountDownLatch refused = new CountDownLatch(refusals);
    FakeServer before = serve((request, connection, out) -> {
      FakeServer.write(out, REFUSAL);
      refused.countDown();
    });
    Sequence sequence = new Sequence(
        (pushed ? "pushed" : "asked") + ", SIGHUP, then " + first,
        -1,
        LIMIT_AFTER_SIGHUP_SECONDS,
        first,
        Call.REPORT);
    Node node = start(sequence, before.address(), pushed);
    Thread hangup = new Thread(() -> {
      try {
        refused.await();
        InetSocketAddress next = serve(sequence).address();
        sequence.startTimer();
        node.reload(TestNode.read(pushed ? TestNode.pushed(next, 3) : TestNode.json(next, 3), 1));
      } catch (IOException | InterruptedException e) {
        throw new IllegalStateException(e);
      }
    });
    hangup.setDaemon(true);
    hangup.start();
  }

  @Test
  void changeIsReceivedInTimeWhateverCallsFail() throws Exception {
    for (boolean pushed : new boolean[] {false, true}) {
      startAll(pushed);
      startWithSighup(pushed, Call.REFUSE);
      for (int i = 0; i < 4; i++) {
        startWithSighup(pushed, Call.SILENT);
      }
    }
    List<String> late = new ArrayList<>();
    for (Sequence sequence : sequences) {
      if (!sequence.decided.await(60, TimeUnit.SECONDS) || sequence.late) {
        late.add(sequence.name + " with seed " + (sequences.indexOf(sequence) + 1));
      }
      sequence.reactor.loop().parent().shutdownGracefully(0, 0, TimeUnit.SECONDS);
    }
    for (FakeServer server : servers) {
      server.close();
    }
    assertEquals(List.of(), late);
  }
}
