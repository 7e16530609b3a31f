package pumicekeel.upstream.jsonrpc;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.BufferedReader;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import pumicekeel.Balancer.DedupScope;
import pumicekeel.Balancer.Effect;
import pumicekeel.Balancer.RequestClass;
import pumicekeel.Balancer.Status;
import pumicekeel.call.Answer;
import pumicekeel.call.ClientRequest;
import pumicekeel.call.Payload;
import pumicekeel.jsonrpc.Framing;
import pumicekeel.runtime.Clock;
import pumicekeel.runtime.Reactor;
import pumicekeel.upstream.UpstreamAttempt;
import pumicekeel.upstream.UpstreamLink;
import pumicekeel.upstream.UpstreamSockets;

/** Which calls may have run when a connection breaks during a write, compared with what a plain server socket received. */
class RpcConnectionTest {

  private static final long LONG_NANOS = 60_000_000_000L;

  private final EventLoop loop =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
  private final BlockingQueue<Map.Entry<Integer, Status>> outcomes = new LinkedBlockingQueue<>();
  private final ServerSettings settings =
      new ServerSettings(Framing.NEWLINE, 1_000, Set.of(), Set.of(), Set.of(), Map.of(), "key");

  @AfterEach
  void stop() {
    loop.parent().shutdownGracefully(0, 0, TimeUnit.SECONDS);
  }

  private UpstreamLink link(InetSocketAddress address) throws Exception {
    return loop.submit(() -> {
          RpcLinks links = new RpcLinks(
              Reactor.of(loop), LONG_NANOS, LONG_NANOS, new UpstreamSockets(10), settings);
          links.resize(0, 1, 0);
          return links.of(address);
        })
        .get();
  }

  private UpstreamAttempt send(UpstreamLink link, int n, String text, boolean maySend, long nanos) {
    return send(link, n, text, maySend, nanos, stalled -> {});
  }

  private UpstreamAttempt send(
      UpstreamLink link,
      int n,
      String text,
      boolean maySend,
      long nanos,
      Consumer<Integer> whenStalled) {
    return send(link, n, text, maySend, nanos, nanos, whenStalled);
  }

  private UpstreamAttempt send(
      UpstreamLink link,
      int n,
      String text,
      boolean maySend,
      long nanos,
      long clientNanos,
      Consumer<Integer> whenStalled) {
    RequestClass type = new RequestClass(
        "c", Effect.KEYED, DedupScope.ALL, LONG_NANOS, LONG_NANOS, 0, LONG_NANOS, 1, 0, false);
    byte[] params = ("[" + n + ",\"" + text + "\"]").getBytes(StandardCharsets.US_ASCII);
    UpstreamAttempt attempt = link.attempt(n, 1, 0, new UpstreamAttempt.Observer() {
      @Override
      public void ended(UpstreamAttempt a, Status status, Answer answer) {
        outcomes.add(Map.entry(a.number, status));
      }

      @Override
      public void answerStalled(UpstreamAttempt a) {
        whenStalled.accept(a.number);
      }
    });
    loop.execute(() -> attempt.start(
        new ClientRequest(
            "r" + n,
            type,
            null,
            null,
            nanos,
            0,
            false,
            new Payload.Call("m", params, "c", null, "h"),
            "k" + n),
        nanos,
        clientNanos,
        () -> maySend,
        new Clock(),
        loop));
    return attempt;
  }

  private static ServerSocket server(int buffer) throws Exception {
    ServerSocket server = new ServerSocket();
    server.setSoTimeout(30_000);
    if (buffer > 0) {
      server.setReceiveBufferSize(buffer);
    }
    server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    return server;
  }

  private static InetSocketAddress address(ServerSocket server) {
    return (InetSocketAddress) server.getLocalSocketAddress();
  }

  private Map.Entry<Integer, Status> outcome() throws InterruptedException {
    return outcomes.poll(30, TimeUnit.SECONDS);
  }

  /**
   * Waits until the connection is established and a call is written. Calls that wait for it are written together and make it
   * unwritable before the socket buffers are full.
   */
  private void awaitWritten(UpstreamAttempt attempt) throws Exception {
    long deadline = System.nanoTime() + TimeUnit.SECONDS.toNanos(30);
    while (!loop.submit(attempt::mayHaveRun).get()) {
      assertTrue(System.nanoTime() < deadline, "the first call is written");
    }
  }

  /**
   * The server reads nothing, so socket buffers fill up and the last call is written only in part. After the balancer closes
   * the connection, the calls that arrive completely must be exactly those reported as possibly run.
   */
  @Test
  void onlyCallsWithTheLastByteWrittenMayHaveRun() throws Exception {
    try (ServerSocket server = server(8 << 10)) {
      UpstreamLink link = link(address(server));
      String text = "x".repeat(60_000);
      List<UpstreamAttempt> sent = new ArrayList<>();
      sent.add(send(link, 0, text, true, LONG_NANOS));
      awaitWritten(sent.get(0));
      // Until the connection accepts no more calls and one call gets no connection.
      for (int i = 1; i < 900 && outcomes.isEmpty(); i++) {
        sent.add(send(link, i, text, true, LONG_NANOS));
        loop.submit(() -> {}).sync();
      }
      Set<Integer> mayHaveRun = new HashSet<>();
      Set<Integer> notRun = new HashSet<>();
      // On a slow machine the last call may use a new connection after the failed one, where it has
      // no outcome.
      for (Map.Entry<Integer, Status> outcome = outcome();
          outcome != null;
          outcome = outcomes.poll(1, TimeUnit.SECONDS)) {
        assertTrue(
            outcome.getValue() == Status.RESET || outcome.getValue() == Status.CONNECT_FAILED,
            outcome.toString());
        (outcome.getValue() == Status.RESET ? mayHaveRun : notRun).add(outcome.getKey());
      }
      assertFalse(mayHaveRun.isEmpty(), "some calls were written completely");
      assertTrue(
          mayHaveRun.size() + notRun.size() >= sent.size() - 1 && !notRun.isEmpty(),
          "some calls were not: " + notRun);
      Set<Integer> arrived = new HashSet<>();
      try (Socket socket = server.accept();
          BufferedReader in = new BufferedReader(
              new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII))) {
        for (String line = in.readLine(); line != null; line = in.readLine()) {
          if (line.endsWith("}")) {
            arrived.add(Integer.parseInt(
                line.substring(line.indexOf('[') + 1, line.indexOf(',', line.indexOf('[')))));
          }
        }
      }
      assertEquals(
          mayHaveRun, arrived, "calls that arrived completely are those that may have run");
      sent.stream()
          .filter(a -> !a.inFlight())
          .forEach(a -> assertEquals(mayHaveRun.contains(a.number), a.mayHaveRun()));
    }
  }

  /** A reset around the last byte: a call that the server received completely must never be reported as not run. */
  @Test
  void resetAroundTheLastByteNeverReportsAnArrivedCallAsNotRun() throws Exception {
    int complete = 0;
    for (int round = 0; round < 40; round++) {
      try (ServerSocket server = server(4 << 10)) {
        UpstreamLink link = link(address(server));
        int enough = 30_000 + round * 400;
        java.util.concurrent.atomic.AtomicBoolean whole =
            new java.util.concurrent.atomic.AtomicBoolean();
        Thread reader = new Thread(() -> {
          try (Socket socket = server.accept()) {
            for (int read = 0; read < enough && !whole.get(); read++) {
              whole.set(socket.getInputStream().read() == '\n');
            }
            socket.setSoLinger(true, 0);
          } catch (Exception e) {
            // The balancer closed the connection first.
          }
        });
        reader.start();
        send(link, 0, "y".repeat(40_000), true, LONG_NANOS);
        Map.Entry<Integer, Status> outcome = outcome();
        reader.join();
        if (whole.get()) {
          complete++;
          assertEquals(Status.RESET, outcome.getValue(), "the server received the whole call");
        } else {
          assertTrue(
              outcome.getValue() == Status.RESET || outcome.getValue() == Status.CONNECT_FAILED,
              outcome.toString());
        }
      }
    }
    assertTrue(complete > 0 && complete < 40, complete + " of 40 arrived completely");
  }

  @Test
  void callsWaitingForTheConnectAreSentOnOneConnectionOrFailWithIt() throws Exception {
    try (ServerSocket server = server(0)) {
      UpstreamLink link = link(address(server));
      for (int i = 0; i < 5; i++) {
        send(link, i, "", i != 2, LONG_NANOS);
      }
      try (Socket socket = server.accept();
          BufferedReader in = new BufferedReader(
              new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII))) {
        assertEquals(
            Map.entry(2, Status.NOT_SENT),
            outcome(),
            "permission is checked again right before the first byte");
        for (int i : new int[] {0, 1, 3, 4}) {
          assertTrue(in.readLine().contains("[" + i + ","));
        }
      }
      Set<Map.Entry<Integer, Status>> rest = new HashSet<>();
      for (int i = 0; i < 4; i++) {
        rest.add(outcome());
      }
      assertEquals(
          Set.of(
              Map.entry(0, Status.RESET),
              Map.entry(1, Status.RESET),
              Map.entry(3, Status.RESET),
              Map.entry(4, Status.RESET)),
          rest);
    }
    try (ServerSocket closed = server(0)) {
      InetSocketAddress nobody = address(closed);
      closed.close();
      UpstreamLink link = link(nobody);
      send(link, 7, "", true, LONG_NANOS);
      assertEquals(Map.entry(7, Status.CONNECT_FAILED), outcome());
    }
  }

  @Test
  void idOfATimedOutCallIsNotReusedAndSilenceRetiresTheConnection() throws Exception {
    try (ServerSocket server = server(0)) {
      UpstreamLink link = link(address(server));
      send(link, 1, "", true, 1_000_000_000L);
      assertEquals(Map.entry(1, Status.TIMEOUT), outcome());
      try (Socket silent = server.accept()) {
        assertEquals('{', silent.getInputStream().read());
        // Nothing was received during the whole time-out: the next call uses a new connection, as
        // the machine may be down.
        send(link, 2, "", true, LONG_NANOS);
        try (Socket next = server.accept();
            BufferedReader in = new BufferedReader(
                new InputStreamReader(next.getInputStream(), StandardCharsets.US_ASCII))) {
          assertTrue(in.readLine().contains("[2,"));
          next.getOutputStream()
              .write("{\"jsonrpc\":\"2.0\",\"result\":1,\"id\":1}\n"
                  .getBytes(StandardCharsets.US_ASCII));
          assertEquals(Map.entry(2, Status.SERVED), outcome());
        }
      }
    }
  }

  /** Each part comes well within the time-out for silence; the whole takes several times as long. */
  @Test
  void answerThatComesSlowlyIsNotCutOff() throws Exception {
    try (ServerSocket server = server(0)) {
      UpstreamLink link = link(address(server));
      send(link, 1, "", true, LONG_NANOS);
      try (Socket slow = server.accept();
          BufferedReader in = new BufferedReader(
              new InputStreamReader(slow.getInputStream(), StandardCharsets.US_ASCII))) {
        assertTrue(in.readLine().contains("[1,"));
        String answer = "{\"jsonrpc\":\"2.0\",\"result\":\"" + "x".repeat(3_000) + "\",\"id\":1}\n";
        for (int i = 0; i < answer.length(); i += 300) {
          slow.getOutputStream()
              .write(answer
                  .substring(i, Math.min(answer.length(), i + 300))
                  .getBytes(StandardCharsets.US_ASCII));
          TimeUnit.MILLISECONDS.sleep(100);
        }
        assertEquals(Map.entry(1, Status.SERVED), outcome());
      }
    }
  }

  /** The gap is longer than the 2 s that once ended the connection. */
  @Test
  void gapWithinAnAnswerDoesNotEndIt() throws Exception {
    assertServedAfterAGap(LONG_NANOS, LONG_NANOS, 2_500);
  }

  @Test
  void answerThatHasBegunHasItsClientsWholeTime() throws Exception {
    assertServedAfterAGap(TimeUnit.SECONDS.toNanos(1), LONG_NANOS, 1_500);
  }

  private void assertServedAfterAGap(long nanos, long clientNanos, long gapMillis)
      throws Exception {
    try (ServerSocket server = server(0)) {
      UpstreamLink link = link(address(server));
      send(link, 1, "", true, nanos, clientNanos, stalled -> {});
      try (Socket slow = server.accept();
          BufferedReader in = new BufferedReader(
              new InputStreamReader(slow.getInputStream(), StandardCharsets.US_ASCII))) {
        assertTrue(in.readLine().contains("[1,"));
        slow.getOutputStream().write("{\"jsonrpc\":\"2.0\",".getBytes(StandardCharsets.US_ASCII));
        TimeUnit.MILLISECONDS.sleep(gapMillis);
        slow.getOutputStream()
            .write("\"result\":1,\"id\":1}\n".getBytes(StandardCharsets.US_ASCII));
        assertEquals(Map.entry(1, Status.SERVED), outcome());
      }
    }
  }

  @Test
  void answerThatStopsIsSuspectedFirstAndEndsByItsCallsTimeOut() throws Exception {
    BlockingQueue<Integer> stalled = new LinkedBlockingQueue<>();
    try (ServerSocket server = server(0)) {
      UpstreamLink link = link(address(server));
      UpstreamAttempt first = send(link, 1, "", true, TimeUnit.SECONDS.toNanos(2), stalled::add);
      try (Socket stops = server.accept();
          BufferedReader in = new BufferedReader(
              new InputStreamReader(stops.getInputStream(), StandardCharsets.US_ASCII))) {
        assertTrue(in.readLine().contains("[1,"));
        stops.getOutputStream().write("{\"jsonrpc\":".getBytes(StandardCharsets.US_ASCII));
        assertEquals(1, stalled.poll(30, TimeUnit.SECONDS));
        assertTrue(first.inFlight(), "not ended yet");
        assertEquals(Map.entry(1, Status.TIMEOUT), outcome());
        assertEquals(-1, in.read(), "its connection takes no other call");
      }
    }
  }

  @Test
  void staleConnectionIsDistinguishedFromAFailingServer() throws Exception {
    try (ServerSocket server = server(0)) {
      UpstreamLink link = link(address(server));
      UpstreamAttempt first = send(link, 1, "", true, LONG_NANOS);
      Socket socket = server.accept();
      BufferedReader in = new BufferedReader(
          new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
      assertTrue(in.readLine().contains("[1,"));
      socket
          .getOutputStream()
          .write(
              "{\"jsonrpc\":\"2.0\",\"result\":1,\"id\":1}\n".getBytes(StandardCharsets.US_ASCII));
      assertEquals(Map.entry(1, Status.SERVED), outcome());
      assertFalse(first.stale());
      // The next call reuses the connection; the server closes it at the first byte.
      UpstreamAttempt second = send(link, 2, "", true, LONG_NANOS);
      assertTrue(in.readLine().contains("[2,"));
      socket.close();
      assertEquals(Map.entry(2, Status.RESET), outcome());
      // The reset arrives within 50 ms on an idle machine. On a busy one it may take longer, and
      // the attempt then counts as a failure of the server, which is safe.
      UpstreamAttempt third = send(link, 3, "", true, LONG_NANOS);
      Socket again = server.accept();
      again.close();
      assertEquals(Map.entry(3, Status.RESET), outcome());
      assertFalse(third.stale(), "a new connection is never stale");
      assertTrue(second.mayHaveRun());
    }
  }
}
