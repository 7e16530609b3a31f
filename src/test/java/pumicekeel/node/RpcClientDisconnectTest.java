package pumicekeel.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import pumicekeel.jsonrpc.Framing;
import pumicekeel.standin.StandInRpcClient;
import pumicekeel.standin.StandInRpcServer;

/**
 * JSON-RPC clients that reset their connection after a first attempt: no further attempt begins. A half-close is no disconnect:
 * calls sent before it are still answered ({@code RpcFrontTest.halfClosedClientGetsItsAnswersAndThenTheClose}).
 */
class RpcClientDisconnectTest {

  private static final long TIMEOUT_MILLIS = 20_000;
  private static final String LEAVES = "\"leaves\"";

  private final TestServices t = new TestServices();
  private final Queue<Runnable> resets = new ConcurrentLinkedQueue<>();

  @AfterEach
  void stop() {
    t.close();
  }

  private long attempts() {
    return t.servers.get("s1").received().stream()
        .filter(s -> s.params().contains(LEAVES))
        .count();
  }

  /** Reading pauses at the limit on open calls, so the calls behind the first one are read in advance or not. */
  @ParameterizedTest
  @CsvSource({"10,0", "1,0", "1,1", "1,100"})
  void disconnectBeforeTheFirstAttemptIsReset(int maxOpen, int behind) throws Exception {
    StandInRpcServer server = t.server("s1");
    t.start(RpcFiles.toServers(t, "max-open-calls = " + maxOpen, "", "s1"));
    server.script((call, connection) -> {
      if (call.params().contains(LEAVES) && resets.isEmpty()) {
        resets.add(connection::reset);
      } else {
        StandInRpcServer.ECHO.on(call, connection);
      }
    });
    StandInRpcClient leaves = t.rpcClient("rpc", Framing.VALUES);
    StandInRpcClient stays = t.rpcClient("rpc", Framing.VALUES);
    leaves.send(RpcFiles.lookup("1", LEAVES));
    TestNode.until(() -> attempts() == 1);
    for (int i = 0; i < behind; i++) {
      leaves.send(RpcFiles.lookup("2" + i, "\"behind\""));
    }
    awaitLoopPass(stays, "a");
    leaves.reset();
    awaitLoopPass(stays, "b");
    t.standIns.submit(resets.peek()).sync();
    awaitLoopPass(stays, "c");
    assertEquals(1, attempts(), () -> "forwarded: " + server.received());
    boolean behindSent = server.received().stream().anyMatch(s -> s.params().contains("behind"));
    assertFalse(behindSent, () -> "forwarded: " + server.received());
  }

  /** Makes some calls; with their answers the loop has read what had arrived at its sockets before. */
  private static void awaitLoopPass(StandInRpcClient stays, String name) throws Exception {
    for (int i = 0; i < 5; i++) {
      String n = "\"" + name + i + "\"";
      assertEquals(
          "{\"jsonrpc\":\"2.0\",\"result\":{\"account\":\"acme\",\"n\":" + n + "},\"id\":" + n
              + "}",
          stays.send(RpcFiles.lookup(n, n)).next(TIMEOUT_MILLIS));
    }
  }
}
