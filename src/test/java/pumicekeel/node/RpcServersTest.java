package pumicekeel.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import pumicekeel.jsonrpc.Framing;
import pumicekeel.standin.StandInRpcClient;
import pumicekeel.standin.StandInRpcServer;
import pumicekeel.standin.StandInRpcServer.ReceivedCall;

/** Misbehaving JSON-RPC servers and the answers to clients; the servers' logs show which calls ran. */
class RpcServersTest {

  private static final long TIMEOUT_MILLIS = 20_000;

  private final TestServices t = new TestServices();

  @AfterEach
  void stop() {
    t.close();
  }

  private StandInRpcClient start(String pool, String... names) throws Exception {
    for (String name : names) {
      if (!t.servers.containsKey(name)) {
        t.server(name);
      }
    }
    t.start(RpcFiles.toServers(t, "framing = \"newline\"", pool, names));
    return t.rpcClient("rpc", Framing.NEWLINE);
  }

  private static String result(String id, String n) {
    return "{\"jsonrpc\":\"2.0\",\"result\":{\"account\":\"acme\",\"n\":" + n + "},\"id\":" + id
        + "}";
  }

  private static String issued(String id, String key) {
    return "{\"jsonrpc\":\"2.0\",\"result\":{\"key\":\"" + key + "\"},\"id\":" + id + "}";
  }

  private static void assertFailed(String answer, String id) {
    assertNotNull(answer);
    assertTrue(
        answer.matches("\\{\"jsonrpc\":\"2.0\",\"error\":\\{\"code\":-32000,\"message\":\"[^\"]*\","
            + "\"data\":\\{\"request\":\"[^\"]+\"}},\"id\":" + id + "}"),
        answer);
  }

  // Connections closed with open calls

  @ParameterizedTest
  @ValueSource(strings = {"rate.lookup", "quote.issue"})
  void unansweredCallOfABatchIsRetriedAfterAClose(String answered) throws Exception {
    StandInRpcServer server = t.server("s1");
    StandInRpcClient client = start("", "s1");
    List<ReceivedCall> first = new ArrayList<>();
    server.script((call, c) -> {
      if (first.size() >= 2) {
        StandInRpcServer.ECHO.on(call, c);
        return;
      }
      first.add(call);
      if (first.size() == 2) {
        first.stream()
            .filter(f -> f.method().equals(answered))
            .forEach(f -> c.result(f.id(), f.params()));
        c.close();
      }
    });
    String batch = client
        .send("[" + RpcFiles.lookup("1", "7") + "," + RpcFiles.issue("\"1\"", "k") + "]")
        .next(TIMEOUT_MILLIS);
    assertEquals(Set.of(result("1", "7"), issued("\"1\"", "k")), entries(batch));
    assertNull(client.next(100), "a second answer");
    assertEquals(
        2,
        server.received().stream().filter(s -> !s.method().equals(answered)).count(),
        "the call without an answer was sent twice");
    assertEquals(
        1, server.received().stream().filter(s -> s.method().equals(answered)).count());
  }

  /** Splits an array into its entries, at each comma before a JSON-RPC object. */
  private static Set<String> entries(String array) {
    assertNotNull(array);
    return new HashSet<>(
        List.of(array.substring(1, array.length() - 1).split("(?<=}),(?=\\{\"jsonrpc)")));
  }

  @Test
  void keyedCallThatMayHaveRunStaysInItsGroup() throws Exception {
    Set<String> ran = java.util.concurrent.ConcurrentHashMap.newKeySet();
    for (String name : List.of("a1", "b1", "c2", "d3")) {
      t.server(name).script((call, c) -> {
        if (call.method().equals("quote.issue")) {
          ran.add(name);
          c.close();
        } else {
          StandInRpcServer.ECHO.on(call, c);
        }
      });
    }
    StandInRpcClient client = start("limits = { max-attempts = 8 }", "a1", "b1", "c2", "d3");
    for (int i = 0; i < 10; i++) {
      ran.clear();
      assertFailed(client.send(RpcFiles.issue("" + i, "key" + i)).next(TIMEOUT_MILLIS), "" + i);
      Set<Character> groups = new HashSet<>();
      ran.forEach(name -> groups.add(name.charAt(1)));
      assertEquals(1, groups.size(), "ran at " + ran);
    }
  }

  @Test
  void safeCallIsRetriedElsewhereAfterAClose() throws Exception {
    AtomicInteger closed = new AtomicInteger();
    for (String name : List.of("a1", "b2")) {
      t.server(name).script((call, c) -> {
        if (closed.getAndIncrement() == 0) {
          c.reset();
        } else {
          StandInRpcServer.ECHO.on(call, c);
        }
      });
    }
    StandInRpcClient client = start("", "a1", "b2");
    assertEquals(result("1", "7"), client.send(RpcFiles.lookup("1", "7")).next(TIMEOUT_MILLIS));
    assertEquals(
        2, t.servers.values().stream().mapToInt(s -> s.received().size()).sum());
  }

  // Ids

  @Test
  void answersInReverseOrderReachTheirCalls() throws Exception {
    List<Runnable> pendingAnswers = new ArrayList<>();
    t.server("s1").script((call, c) -> {
      pendingAnswers.add(() -> c.result(call.id(), call.params()));
      if (pendingAnswers.size() == 20) {
        for (int i = 19; i >= 0; i--) {
          pendingAnswers.get(i).run();
        }
      }
    });
    StandInRpcClient client = start("", "s1");
    for (int i = 0; i < 20; i++) {
      client.send(RpcFiles.lookup("\"c" + i + "\"", "" + i));
    }
    Set<String> got = new HashSet<>();
    Set<String> expected = new HashSet<>();
    for (int i = 0; i < 20; i++) {
      got.add(client.next(TIMEOUT_MILLIS));
      expected.add(result("\"c" + i + "\"", "" + i));
    }
    assertEquals(expected, got);
    assertEquals(1, t.servers.get("s1").opened(), "all calls share one connection");
    List<Long> ids =
        t.servers.get("s1").received().stream().map(ReceivedCall::id).toList();
    assertEquals(20, ids.stream().distinct().count(), "each call has its own id");
  }

  @Test
  void lateAnswerReachesNoOtherCall() throws Exception {
    List<Runnable> late = new ArrayList<>();
    AtomicInteger calls = new AtomicInteger();
    t.server("s1").script((call, c) -> {
      if (calls.getAndIncrement() == 0) {
        late.add(() -> c.result(call.id(), "\"late\""));
        return;
      }
      // The late answer first, on the connection of the next call.
      late.forEach(Runnable::run);
      late.clear();
      StandInRpcServer.ECHO.on(call, c);
    });
    StandInRpcClient client = start("limits = { max-attempts = 1 }", "s1");
    String first =
        "{\"jsonrpc\":\"2.0\",\"method\":\"rate.lookup\",\"params\":{\"account\":\"acme\",\"left\":300},\"id\":1}";
    String answer = client.send(first).next(TIMEOUT_MILLIS);
    assertTrue(answer.contains("\"code\":-3200"), answer);
    for (int i = 2; i < 6; i++) {
      assertEquals(
          result("1", "" + i), client.send(RpcFiles.lookup("1", "" + i)).next(TIMEOUT_MILLIS));
    }
    assertTrue(late.isEmpty(), "the late answer was given");
    assertNull(client.next(100));
  }

  @ParameterizedTest
  @ValueSource(strings = {"twice", "nobody's", "null", "text"})
  void duplicateOrUnknownAnswerClosesTheConnectionAndReachesNoOtherCall(String kind)
      throws Exception {
    AtomicInteger calls = new AtomicInteger();
    StandInRpcServer server = t.server("s1");
    StandInRpcClient client = start("", "s1");
    server.script((call, c) -> {
      if (calls.getAndIncrement() == 0) {
        switch (kind) {
          case "twice" -> {
            c.result(call.id(), call.params());
            c.result(call.id(), "\"again\"");
          }
          case "nobody's" -> {
            c.result(call.id() + 1, "\"of the next\"");
            c.result(call.id(), call.params());
          }
          case "null" ->
            c.raw(
                "{\"jsonrpc\":\"2.0\",\"error\":{\"code\":-32700,\"message\":\"?\"},\"id\":null}\n");
          default -> c.raw("{\"jsonrpc\":\"2.0\",\"result\":1,\"id\":\"" + call.id() + "\"}\n");
        }
      } else {
        StandInRpcServer.ECHO.on(call, c);
      }
    });
    for (int i = 1; i < 5; i++) {
      assertEquals(
          result("" + i, "" + i),
          client.send(RpcFiles.lookup("" + i, "" + i)).next(TIMEOUT_MILLIS),
          kind);
    }
    assertEquals(2, server.opened(), kind + ": a new connection was made");
  }

  @Test
  void serverThatConfusesIdsIsNotTrustedAfterwards() throws Exception {
    // Two calls are open. The server answers the second one's id twice, the second time with the
    // params of the first. The first answer has been passed on; the duplicate closes the
    // connection, and the first call is retried.
    List<ReceivedCall> out = new ArrayList<>();
    StandInRpcServer server = t.server("s1");
    server.script((call, c) -> {
      out.add(call);
      if (out.size() == 2) {
        c.result(out.get(1).id(), out.get(1).params());
        c.result(out.get(1).id(), out.get(0).params());
      } else if (out.size() > 2) {
        StandInRpcServer.ECHO.on(call, c);
      }
    });
    StandInRpcClient client = start("", "s1");
    client.send(RpcFiles.lookup("1", "1")).send(RpcFiles.lookup("2", "2"));
    Set<String> got =
        new HashSet<>(List.of(client.next(TIMEOUT_MILLIS), client.next(TIMEOUT_MILLIS)));
    assertEquals(Set.of(result("1", "1"), result("2", "2")), got);
    assertNull(client.next(100));
  }

  // Malformed answers

  @ParameterizedTest
  @ValueSource(strings = {"half", "noise", "flood", "batch", "call", "deep", "utf8"})
  void malformedAnswersAffectOnlyTheCallsOfTheirConnection(String kind) throws Exception {
    AtomicInteger calls = new AtomicInteger();
    StandInRpcServer server = t.server("s1");
    StandInRpcClient client = start("", "s1");
    server.script((call, c) -> {
      if (calls.getAndIncrement() > 0) {
        StandInRpcServer.ECHO.on(call, c);
        return;
      }
      switch (kind) {
        case "half" -> c.raw("{\"jsonrpc\":\"2.0\",\"result\":{\"a\":");
        case "noise" -> c.raw("HTTP/1.1 200 OK\r\n\r\n");
        case "flood" -> c.flood(200L << 20);
        case "batch" -> c.raw("[{\"jsonrpc\":\"2.0\",\"result\":1,\"id\":" + call.id() + "}]\n");
        case "call" -> c.raw("{\"jsonrpc\":\"2.0\",\"method\":\"m\",\"id\":1}\n");
        case "deep" -> c.raw("{\"jsonrpc\":\"2.0\",\"result\":" + "[".repeat(30_000) + "\n");
        default -> c.raw("{\"jsonrpc\":\"2.0\",\"result\":\"\\ud800\",\"id\":" + call.id() + "}\n");
      }
    });
    long start = System.nanoTime();
    assertEquals(
        result("1", "7"), client.send(RpcFiles.lookup("1", "7")).next(TIMEOUT_MILLIS), kind);
    long millis = (System.nanoTime() - start) / 1_000_000;
    assertTrue(millis < 4_000, kind + " cost " + millis + " ms of the call's 6,000");
    assertEquals(
        result("2", "8"), client.send(RpcFiles.lookup("2", "8")).next(TIMEOUT_MILLIS), kind);
    assertEquals(List.of(), t.defects);
  }

  @Test
  void notificationFromAServerIsIgnored() throws Exception {
    t.server("s1").script((call, c) -> {
      c.raw("{\"jsonrpc\":\"2.0\",\"method\":\"progress\",\"params\":[50]}\n");
      StandInRpcServer.ECHO.on(call, c);
    });
    StandInRpcClient client = start("", "s1");
    assertEquals(result("1", "7"), client.send(RpcFiles.lookup("1", "7")).next(TIMEOUT_MILLIS));
    assertEquals(result("2", "7"), client.send(RpcFiles.lookup("2", "7")).next(TIMEOUT_MILLIS));
    assertEquals(1, t.servers.get("s1").opened());
  }

  // Error objects

  @Test
  void errorOfTheApplicationIsTheAnswer() throws Exception {
    AtomicInteger calls = new AtomicInteger();
    StandInRpcServer server = t.server("s1");
    server.script((call, c) -> {
      calls.incrementAndGet();
      c.raw(
          "{\"jsonrpc\":\"2.0\",\"error\":{\"code\":1004,\"message\":\"no \\u20b8 rate\",\"data\":{\"a\":[1.0]}},\"id\":"
              + call.id() + "}\n");
    });
    StandInRpcClient client = start("json-rpc = { not-run-codes = [-32050] }", "s1");
    assertEquals(
        "{\"jsonrpc\":\"2.0\",\"error\":{\"code\":1004,\"message\":\"no \\u20b8 rate\",\"data\":{\"a\":[1.0]}},"
            + "\"id\":1}",
        client.send(RpcFiles.lookup("1", "7")).next(TIMEOUT_MILLIS));
    assertEquals(1, calls.get(), "an error of the application is final");
  }

  @ParameterizedTest
  @ValueSource(ints = {-32603, -32000, -32050})
  void failureOfTheServerIsRetried(int code) throws Exception {
    AtomicInteger calls = new AtomicInteger();
    t.server("s1").script((call, c) -> {
      if (calls.getAndIncrement() == 0) {
        c.error(call.id(), code, "not now");
      } else {
        StandInRpcServer.ECHO.on(call, c);
      }
    });
    StandInRpcClient client = start("json-rpc = { not-run-codes = [-32050] }", "s1");
    assertEquals(result("2", "7"), client.send(RpcFiles.lookup("2", "7")).next(TIMEOUT_MILLIS));
    assertEquals(2, calls.get());
  }

  @Test
  void codeThatProvesThatNothingRanIsARefusal() throws Exception {
    StandInRpcServer server = t.server("s1");
    StandInRpcClient client = start("json-rpc = { not-run-codes = [-32050] }", "s1");
    server.script((call, c) -> c.error(call.id(), -32050, "full"));
    String refused = client.send(RpcFiles.issue("3", "k3")).next(TIMEOUT_MILLIS);
    assertTrue(refused.contains("\"code\":-32001"), refused);
  }

  @Test
  void keyedCallThatFailedAtItsServerIsNotRefused() throws Exception {
    t.server("s1").script((call, c) -> c.error(call.id(), -32603, "broken"));
    StandInRpcClient client = start("", "s1");
    assertFailed(client.send(RpcFiles.issue("4", "k4")).next(TIMEOUT_MILLIS), "4");
  }

  @Test
  void refusalIsAnErrorObjectWithRetryAfter() throws Exception {
    t.server("s1").script((call, c) -> c.error(call.id(), -32050, "full"));
    StandInRpcClient client = start("json-rpc = { not-run-codes = [-32050] }", "s1");
    String answer = client.send(RpcFiles.lookup("1", "7")).next(TIMEOUT_MILLIS);
    assertTrue(
        answer.matches(
            "\\{\"jsonrpc\":\"2.0\",\"error\":\\{\"code\":-32001,\"message\":\"[^\"]*\"(,"
                + "\"data\":\\{\"retryAfterMs\":[0-9]{1,4}})?},\"id\":1}"),
        answer);
  }

  // Other protocols

  @Test
  void httpClientsReachJsonRpcServers() throws Exception {
    StandInRpcServer server = t.server("s1", Framing.CONTENT_LENGTH);
    t.start("[sources.s]\nstatic = " + t.list("s1")
        + "\n[pools.p]\nsource = \"s\"\nprotocol = \"json-rpc\"\n"
        + "json-rpc = { framing = \"content-length\", methods = { rate-lookup = \"rate.lookup\" } }\n"
        + "[[routes]]\npool = \"p\"\n");
    try (TestClient client = new TestClient(t.address)) {
      TestClient.Reply found = client.call(
          ServicePoolsTest.lookup("1", "h", "").replace("/rate-lookup/7", "/rate-lookup/7?c=KZT"));
      assertEquals(200, found.status());
      assertEquals("{\"path\":\"/7\",\"c\":\"KZT\"}", found.body());
      TestClient.Reply none = client.call(ServicePoolsTest.issue("2", "k", "h"));
      assertEquals(400, none.status());
      TestClient.Reply issued =
          client.call(ServicePoolsTest.issue("3", "k", "h").replace("body", "{}  "));
      assertEquals(200, issued.status());
      assertEquals("{\"idempotencyKey\":\"k\"}", issued.body());
      server.script((call, c) -> c.error(call.id(), 5, "no such quote"));
      TestClient.Reply error = client.call(ServicePoolsTest.lookup("4", "h", ""));
      assertEquals(422, error.status());
      assertEquals("{\"code\":5,\"message\":\"no such quote\"}", error.body());
    }
    assertEquals(
        List.of("rate.lookup", "quote-issue", "rate.lookup"),
        server.received().stream().map(ReceivedCall::method).toList());
  }

  @Test
  void callsReachHttpServersAndTheirAnswersBecomeResults() throws Exception {
    t.upstream("u1", 0);
    t.start(RpcFiles.toHttp(t, "framing = \"newline\"", "", "u1"));
    StandInRpcClient client = t.rpcClient("rpc", Framing.NEWLINE);
    // The stand-in answers with the request's id, which the balancer generates for the call.
    String answer = client.send(RpcFiles.lookup("1", "7")).next(TIMEOUT_MILLIS);
    assertTrue(
        answer.matches("\\{\"jsonrpc\":\"2.0\",\"result\":\"n0-[0-9a-z]+-1\",\"id\":1}"), answer);
    client.send(RpcFiles.issue("2", "k2")).next(TIMEOUT_MILLIS);
    var seen = t.upstreams.get("u1").received();
    assertEquals("k2", seen.get(1).key());
    assertEquals("{\"key\":\"k2\"}", seen.get(1).body());
    assertEquals("quote-issue", seen.get(1).className());
    String tooLong =
        "{\"jsonrpc\":\"2.0\",\"method\":\"rate.lookup\",\"params\":{\"account\":\"acme\",\"x\":\""
            + "x".repeat(5_000) + "\"},\"id\":3}";
    assertTrue(client.send(tooLong).next(TIMEOUT_MILLIS).contains("-32602"));
    assertEquals(2, t.upstreams.get("u1").received().size());
  }

  @Test
  void jsonFromAnHttpServerIsAResultAndOtherContentAFailure() throws Exception {
    for (String body : List.of("{\"a\":[1.0,\"\\u00e9\"]}", "not json", "{\"a\":1,\"a\":2}")) {
      try (FakeServer http = new FakeServer((request, connection, out) -> FakeServer.write(
              out,
              "HTTP/1.1 200 OK\r\nContent-Type: application/json; charset=utf-8\r\nContent-Length: "
                  + body.length() + "\r\n\r\n" + body));
          TestServices services = new TestServices()) {
        services.start("[listeners.rpc]\naddress = \"127.0.0.1:0\"\nprotocol = \"json-rpc\"\n"
            + RpcFiles.METHODS
            + "[sources.s]\nstatic = [{ name = \"u\", address = \""
            + TestServices.text(http.address())
            + "\" }]\n[pools.p]\nsource = \"s\"\n[[routes]]\npool = \"p\"\n");
        StandInRpcClient client = services.rpcClient("rpc", Framing.VALUES);
        String answer = client.send(RpcFiles.lookup("1", "7")).next(TIMEOUT_MILLIS);
        if (body.startsWith("{\"a\":[")) {
          assertEquals("{\"jsonrpc\":\"2.0\",\"result\":" + body + ",\"id\":1}", answer);
        } else {
          assertFailed(answer, "1");
        }
      }
    }
  }

  @Test
  void limitOnCallsPerConnectionOpensAnother() throws Exception {
    List<Runnable> pendingAnswers = new ArrayList<>();
    StandInRpcServer server = t.server("s1");
    server.script((call, c) -> pendingAnswers.add(() -> c.result(call.id(), call.params())));
    StandInRpcClient client = start("json-rpc = { calls-per-connection = 3 }", "s1");
    for (int i = 0; i < 9; i++) {
      client.send(RpcFiles.lookup("" + i, "" + i));
    }
    TestNode.until(() -> server.received().size() == 9);
    assertEquals(3, server.opened());
    for (int connection = 1; connection <= 3; connection++) {
      int n = connection;
      assertEquals(
          3, server.received().stream().filter(s -> s.connection() == n).count());
    }
    t.standIns.submit(() -> List.copyOf(pendingAnswers).forEach(Runnable::run)).sync();
    for (int i = 0; i < 9; i++) {
      assertNotNull(client.next(TIMEOUT_MILLIS));
    }
  }
}
