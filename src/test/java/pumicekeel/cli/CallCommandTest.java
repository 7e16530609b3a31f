package pumicekeel.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.ByteArrayOutputStream;
import java.io.InputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import pumicekeel.jsonrpc.Framing;
import pumicekeel.standin.StandInRpcServer;

/** The call command against a JSON-RPC server, which could equally be a balancer. */
class CallCommandTest {

  private final ByteArrayOutputStream out = new ByteArrayOutputStream();
  private final ByteArrayOutputStream err = new ByteArrayOutputStream();
  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

  @TempDir
  private Path folder;

  @AfterEach
  void stop() {
    group.shutdownGracefully(0, 0, TimeUnit.SECONDS);
  }

  private int run(String... args) throws Exception {
    out.reset();
    err.reset();
    return Main.run(
        args, InputStream.nullInputStream(), new PrintStream(out), new PrintStream(err));
  }

  @Test
  void exitStatusDistinguishesResultErrorAndTimeout() throws Exception {
    try (StandInRpcServer server = new StandInRpcServer(group, Framing.NEWLINE)) {
      String at = "127.0.0.1:" + server.address().getPort();
      assertEquals(0, run("call", at, "rate.lookup", "{\"a\":1.0}"), err.toString());
      assertEquals("{\"jsonrpc\":\"2.0\",\"result\":{\"a\":1.0},\"id\":1}\n", out.toString());
      server.script((call, c) -> c.error(call.id(), 7, "no"));
      assertEquals(1, run("call", at, "rate.lookup"));
      assertTrue(out.toString().contains("\"code\":7"));
      server.script((call, c) -> {});
      assertEquals(1, run("call", at, "rate.lookup", "--timeout-ms", "100"));
      assertTrue(err.toString().contains("1 answers did not come"), err.toString());
      assertEquals(2, run("call", at, "rate.lookup", "7"));
      assertTrue(
          err.toString().contains("PARAMS: expected a JSON object or array"), err.toString());
      assertEquals(2, run("call", at));
      assertEquals(2, run("call", "nowhere", "m"));
      assertEquals(2, run("call", at, "--batch", folder.resolve("none").toString()));
    }
  }

  @Test
  void addressWithoutListenerIsAUsageError() throws Exception {
    int port;
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      port = socket.getLocalPort();
    }
    assertEquals(2, run("call", "127.0.0.1:" + port, "m"));
    assertTrue(err.toString().contains("nobody listens at"), err.toString());
  }

  @Test
  void batchFileWithLineBreaksIsSentAsOneMessage() throws Exception {
    Path file = folder.resolve("batch.json");
    Files.writeString(
        file, "{\n \"jsonrpc\": \"2.0\",\n \"method\": \"m\", \"params\": [1],\n \"id\": 5}\n");
    try (StandInRpcServer server = new StandInRpcServer(group, Framing.CONTENT_LENGTH)) {
      assertEquals(
          0,
          run(
              "call",
              "127.0.0.1:" + server.address().getPort(),
              "--batch",
              file.toString(),
              "--framing",
              "content-length"),
          err.toString());
      assertEquals("{\"jsonrpc\":\"2.0\",\"result\":[1],\"id\":5}\n", out.toString());
    }
  }

  @Test
  void shortJsonRpcDemoAndFuzzRunPass() throws Exception {
    assertEquals(
        0, run("demo", "--jsonrpc", "--seconds", "6", "--connections", "24"), out.toString());
    assertTrue(out.toString().contains("held    logs agree"), out.toString());
    assertEquals(0, run("fuzz", "--inputs", "500", "--seed", "9"), out.toString());
    assertEquals(2, run("fuzz", "--inputs", "0"));
    assertEquals(2, run("demo", "--jsonrpc", "--connections", "1"));
  }
}
