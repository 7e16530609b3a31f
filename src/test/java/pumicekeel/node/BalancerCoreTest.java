package pumicekeel.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import java.util.function.Function;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import pumicekeel.Balancer;
import pumicekeel.Balancer.Action;
import pumicekeel.Balancer.AnswerStalled;
import pumicekeel.Balancer.Cancel;
import pumicekeel.Balancer.Event;
import pumicekeel.Balancer.Fail;
import pumicekeel.Balancer.FetchList;
import pumicekeel.Balancer.ListUpdate;
import pumicekeel.Balancer.Outcome;
import pumicekeel.Balancer.Refuse;
import pumicekeel.Balancer.Request;
import pumicekeel.Balancer.Send;
import pumicekeel.Balancer.State;
import pumicekeel.Balancer.Status;
import pumicekeel.adapter.Decoder;
import pumicekeel.adapter.Fields;
import pumicekeel.call.Answer;
import pumicekeel.call.AnswerStart;
import pumicekeel.call.BodySink;
import pumicekeel.call.Client;
import pumicekeel.call.ClientRequest;
import pumicekeel.call.FlowControl;
import pumicekeel.core.BalancerCore;
import pumicekeel.discovery.HostList;
import pumicekeel.runtime.LoopLag;
import pumicekeel.runtime.Reactor;
import pumicekeel.upstream.http.ConnectionPool;

/** The request table with modules that misbehave in ways that the real one never should. */
class BalancerCoreTest {

  private static final long UPSTREAM = HostList.idOf("s-0");

  private final EventLoop loop =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
  private final BlockingQueue<String> answers = new LinkedBlockingQueue<>();
  private final BlockingQueue<Event> events = new LinkedBlockingQueue<>();
  private final BlockingQueue<RuntimeException> defects = new LinkedBlockingQueue<>();
  /** Whether the client accepts an answer before it is whole. */
  private volatile boolean streams;

  private volatile boolean nested;
  private volatile boolean handling;
  private BalancerCore core;
  private Balancer.Settings settings;

  /** The reaction of a test's module to a request or an outcome. */
  interface Module {
    void handle(Event event, Consumer<Action> out);
  }

  private final Client client = new Client() {
    @Override
    public void served(Answer answer) {
      answers.add("served");
    }

    @Override
    public void refused(long retryAfterNanos) {
      answers.add("refused");
    }

    @Override
    public void failed() {
      answers.add("failed");
    }

    @Override
    public BodySink beginStream(AnswerStart start, FlowControl source) {
      if (!streams) {
        return null;
      }
      answers.add("begun");
      return new BodySink() {
        @Override
        public void onChunk(ByteBuf bytes) {
          if (bytes.isReadable()) {
            answers.add("chunk " + bytes.toString(StandardCharsets.US_ASCII));
          }
          bytes.release();
        }

        @Override
        public void onComplete() {
          answers.add("complete");
        }

        @Override
        public void onTruncated() {
          answers.add("truncated");
        }
      };
    }
  };

  private void start(Module module, FakeServer... upstreams) throws Exception {
    Fields f = Fields.parse("configuration", TestNode.json(TestNode.unusedAddress(), 3, upstreams));
    settings = Decoder.settings(f.nested("settings"));
    ConnectionPool pool =
        new ConnectionPool(Reactor.of(loop), 5_000_000_000L, 60_000_000_000L, 100);
    core = new BalancerCore(
        settings,
        (now, event, out) -> {
          nested |= handling;
          handling = true;
          events.add(event);
          module.handle(event, out);
          handling = false;
        },
        Reactor.of(loop),
        new LoopLag(Reactor.of(loop)),
        pool,
        defect -> {
          core.answerAll();
          defects.add(defect);
        });
    HostList known = HostList.of(f.nested("known"));
    loop.submit(() -> core.start(known, active -> {})).get();
  }

  private ClientRequest request(String id, String type, long leftMillis) {
    var requestClass = settings.classes().stream()
        .filter(c -> c.name().equals(type))
        .findFirst()
        .orElseThrow();
    return new ClientRequest(
        id,
        requestClass,
        "acme",
        "k",
        leftMillis * 1_000_000,
        0,
        false,
        new pumicekeel.call.Payload.Http(
            io.netty.handler.codec.http.HttpMethod.GET, "/" + type, "h", null, new byte[0]),
        null);
  }

  private void admit(String id, String type, long leftMillis) throws Exception {
    admit(id, type, leftMillis, () -> {});
  }

  /** Admits a request and runs a task on the loop before anything more is read. */
  private void admit(String id, String type, long leftMillis, Runnable then) throws Exception {
    ClientRequest request = request(id, type, leftMillis);
    assertTrue(loop.submit(() -> {
          boolean admitted = core.submit(request, client);
          then.run();
          return admitted;
        })
        .get());
  }

  private String answer() throws InterruptedException {
    return answers.poll(30, TimeUnit.SECONDS);
  }

  private Outcome outcome() throws InterruptedException {
    for (Event e = events.poll(30, TimeUnit.SECONDS);
        e != null;
        e = events.poll(30, TimeUnit.SECONDS)) {
      if (e instanceof Outcome o) {
        return o;
      }
    }
    throw new AssertionError("no outcome came");
  }

  private static void sendOnRequest(Event event, Consumer<Action> out) {
    if (event instanceof Request r) {
      out.accept(new Send(r.id(), UPSTREAM, 15_000_000_000L));
    }
  }

  @AfterEach
  void stop() {
    loop.shutdownGracefully(0, 0, TimeUnit.SECONDS);
  }

  /** Beyond 1.25 times the aim of 2 s up to 1 s is reserved for a stall before the answer, below that 60 ms. */
  @Test
  void timeInWhichAnswersAreWorthLittleIsReservedForAStall() throws Exception {
    start((event, out) -> {});
    assertEquals(19_000, BalancerCore.serviceTimeNanos(request("1", "look", 20_000)) / 1_000_000);
    assertEquals(2_600, BalancerCore.serviceTimeNanos(request("2", "look", 2_700)) / 1_000_000);
    assertEquals(2_440, BalancerCore.serviceTimeNanos(request("3", "look", 2_500)) / 1_000_000);
    assertEquals(840, BalancerCore.serviceTimeNanos(request("4", "look", 900)) / 1_000_000);
    // A class with aim 0.4 s and deadline 2 s reserves 0.75 s, with a late worth of one half 0.375
    // s, and 60 ms if late answers are worth as much as punctual ones.
    assertEquals(1_250, timeLeft(0, 0));
    assertEquals(1_625, timeLeft(0.5, 0));
    assertEquals(1_940, timeLeft(1, 0));
    assertEquals(1_940, timeLeft(0, 1));
  }

  private long timeLeft(double lateWorth, double aimStretch) throws Exception {
    Balancer.RequestClass type = new Balancer.RequestClass(
        "look",
        Balancer.Effect.SAFE,
        Balancer.DedupScope.ALL,
        0,
        400_000_000L,
        aimStretch,
        2_000_000_000L,
        1,
        lateWorth,
        false);
    return BalancerCore.serviceTimeNanos(request("5", "look", 2_000).withType(type)) / 1_000_000;
  }

  @Test
  void requestIsAnsweredWithoutTheModulesDecision() throws Exception {
    start((event, out) -> {});
    admit("1", "order", 200);
    assertEquals("refused", answer(), "nothing ran");
    admit("1", "order", 200);
  }

  @Test
  void requestThatMayHaveRunFailsWithoutTheModulesDecision() throws Exception {
    try (FakeServer upstream = new FakeServer((request, connection, out) -> {})) {
      start(BalancerCoreTest::sendOnRequest, upstream);
      admit("1", "order", 1_000);
      assertEquals("failed", answer());
    }
  }

  @Test
  void lateOutcomeIsPassedToTheModuleAndNotToTheClient() throws Exception {
    try (FakeServer upstream = new FakeServer((request, connection, out) -> {
      TestNode.until(() -> !answers.isEmpty());
      FakeServer.write(out, FakeServer.ok("late"));
    })) {
      start(
          (event, out) -> {
            sendOnRequest(event, out);
            if (event instanceof Request r) {
              out.accept(new Balancer.SetTimer(
                  r.id(), System.currentTimeMillis() * 1_000_000 + 200_000_000));
            } else if (event instanceof Balancer.TimerFired t) {
              out.accept(new Balancer.Refuse(t.token(), 0));
            }
          },
          upstream);
      admit("1", "look", 15_000);
      Outcome late = outcome();
      assertEquals(Status.SERVED, late.status());
      assertTrue(late.finished());
      assertEquals("refused", answer());
      assertTrue(answers.isEmpty());
      admit("1", "look", 15_000);
    }
  }

  @Test
  void loopStallIsNotCountedAsUpstreamLatency() throws Exception {
    long stallNanos = 2_000_000_000L;
    try (FakeServer upstream = FakeServer.serving("fine")) {
      start(BalancerCoreTest::sendOnRequest, upstream);
      admit("1", "look", 15_000);
      outcome();
      admit("2", "look", 15_000, () -> {
        for (long end = System.nanoTime() + stallNanos; System.nanoTime() < end; ) {
          LockSupport.parkNanos(end - System.nanoTime());
        }
      });
      long latency = outcome().latencyNanos();
      assertTrue(
          latency < stallNanos * 3 / 4,
          "answered at once, read " + stallNanos + " ns later: " + latency);
    }
  }

  @Test
  void plannedStopAnswersOpenRequestsBeforeItsEnd() throws Exception {
    start((event, out) -> {});
    admit("1", "look", 600_000);
    loop.submit(() -> core.limitDeadlines(100_000_000L)).get();
    assertEquals("refused", answer());
  }

  /** The module gives up, and cancels, while an answer is arriving: as where the loop was late over the margin before its client's time. */
  @Test
  void answerThatHasBegunIsPassedOnInPlaceOfAFinalAnswerMadeHere() throws Exception {
    List<Function<String, Action>> finalAnswers = List.of(Fail::new, id -> new Refuse(id, 0));
    for (int i = 0; i < finalAnswers.size(); i++) {
      Function<String, Action> finalAnswer = finalAnswers.get(i);
      CountDownLatch begun = new CountDownLatch(1);
      try (FakeServer upstream = new FakeServer((request, connection, out) -> {
        FakeServer.write(out, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n");
        assertTrue(begun.await(30, TimeUnit.SECONDS));
        FakeServer.write(out, "late");
      })) {
        start(
            (event, out) -> {
              sendOnRequest(event, out);
              if (event instanceof AnswerStalled stalled) {
                out.accept(finalAnswer.apply(stalled.id()));
                out.accept(new Cancel(stalled.id(), stalled.attempt()));
              }
            },
            upstream);
        streams = true;
        admit("s" + i, "look", 15_000);
        assertEquals("begun", answer());
        begun.countDown();
        assertEquals("chunk late", answer());
        assertEquals("complete", answer());
      }
    }
  }

  @Test
  void resetIsStaleOnAKeptConnectionAndNotOnANewOne() throws Exception {
    AtomicBoolean broken = new AtomicBoolean();
    try (FakeServer upstream = new FakeServer((request, connection, out) -> {
      if (broken.get()) {
        connection.setSoLinger(true, 0);
        connection.close();
      } else {
        FakeServer.write(out, FakeServer.ok("fine"));
      }
    })) {
      start(BalancerCoreTest::sendOnRequest, upstream);
      admit("1", "look", 15_000);
      assertFalse(outcome().staleConnection());
      broken.set(true);
      admit("2", "look", 15_000);
      assertTrue(outcome().staleConnection(), "kept");
      admit("3", "look", 15_000);
      Outcome onNew = outcome();
      assertEquals(Status.RESET, onNew.status());
      assertFalse(onNew.staleConnection(), "new");
    }
  }

  @Test
  void moduleExceptionAnswersAllOpenRequests() throws Exception {
    start((event, out) -> {
      if (event instanceof Request r && r.id().equals("2")) {
        throw new IllegalStateException("defect");
      }
    });
    admit("1", "look", 15_000);
    admit("2", "look", 15_000);
    assertEquals("refused", answer());
    assertEquals("refused", answer());
    assertEquals("defect", defects.poll(30, TimeUnit.SECONDS).getMessage());
  }

  @Test
  void unexpectedActionIsNamedInTheDefect() throws Exception {
    start((event, out) -> {
      if (event instanceof Request) {
        out.accept(new FetchList());
      }
    });
    admit("1", "look", 15_000);
    assertTrue(defects.poll(30, TimeUnit.SECONDS).getMessage().contains("FetchList"));
  }

  @Test
  void drainingUpstreamGetsNoMoreRequestsAndTheOutcomeIsNotNested() throws Exception {
    try (FakeServer upstream = FakeServer.serving("fine")) {
      start(BalancerCoreTest::sendOnRequest, upstream);
      Balancer.ListedUpstream leaving =
          new Balancer.ListedUpstream(UPSTREAM, "a", 1, State.DRAINING, 0, 1);
      admit("1", "look", 15_000);
      assertEquals(
          Status.SERVED, outcome().status(), "an idle connection makes the next send end at once");
      loop.submit(() -> core.updateList(
              new HostList(8, false, List.of(new HostList.Host(upstream.address(), leaving)))))
          .get();
      admit("2", "look", 15_000);
      assertEquals(Status.NOT_SENT, outcome().status());
      assertEquals(1, upstream.requests.size());
      assertFalse(nested);
      assertTrue(events.stream().noneMatch(e -> e instanceof ListUpdate));
    }
  }

  @Test
  void repeatAfterTheKeyedWindowIsNotSent() throws Exception {
    Consumer<Consumer<Action>> resend = out -> out.accept(new Send("1", UPSTREAM, 15_000_000_000L));
    try (FakeServer upstream = new FakeServer((request, connection, out) ->
        FakeServer.write(out, "HTTP/1.1 500 E\r\nContent-Length: 0\r\n\r\n"))) {
      start(
          (event, out) -> {
            if (event instanceof Request || event instanceof Balancer.TimerFired) {
              resend.accept(out);
            } else if (event instanceof Outcome o && o.status() == Status.ERROR) {
              out.accept(new Balancer.SetTimer(
                  "again",
                  System.currentTimeMillis() * 1_000_000
                      + settings.classes().get(1).dedupWindowNanos()
                      + 50_000_000));
            }
          },
          upstream);
      admit("1", "order", 15_000);
      assertEquals(Status.ERROR, outcome().status());
      assertEquals(Status.NOT_SENT, outcome().status());
      assertEquals(1, upstream.requests.size());
    }
  }
}
