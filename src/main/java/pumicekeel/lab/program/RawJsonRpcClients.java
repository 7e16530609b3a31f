package pumicekeel.lab.program;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import pumicekeel.adapter.Fields;
import pumicekeel.adapter.WireException;
import pumicekeel.lab.program.RequestScenario.Leaving;
import pumicekeel.lab.world.RandomStream;

/** Simulated clients of the JSON-RPC front: a few connections with several open calls each, one message per line. */
final class RawJsonRpcClients {

  private static final long NANOS_PER_MS = 1_000_000L;
  private static final long ANSWER_SLACK_NANOS = 58 * NANOS_PER_MS;
  private static final int MAX_CONNECTIONS = 3;
  private static final int MAX_OPEN_CALLS = 6;
  /** One in this many calls is followed by the end of the client's output; its connection still expects the open answers. */
  private static final int CALLS_PER_END_OF_OUTPUT = 25;

  // Error codes of the JSON-RPC front

  private static final int FAILED_CODE = -32_000;
  private static final int REFUSED_CODE = -32_001;
  private static final int NO_CAPACITY_CODE = -32_003;

  private final VirtualLoop loop;
  private final VirtualNetwork network;
  private final RunVerifier verifier;
  private final InetSocketAddress balancer;
  private final Script script;
  private final RandomStream random;
  private final List<Connection> connections = new ArrayList<>();
  private boolean stopped;

  RawJsonRpcClients(
      Script script, VirtualNetwork network, RunVerifier verifier, InetSocketAddress balancer) {
    this.script = script;
    this.network = network;
    this.verifier = verifier;
    this.balancer = balancer;
    loop = network.loop();
    random = script.randomFor("calls");
  }

  /** Records that the balancer was told to stop: it may close its connections from now on. */
  void balancerStopped() {
    stopped = true;
  }

  /** Sends the call of this number, on an open connection if one has room for it. */
  void request(int number) {
    RequestScenario scenario = new RequestScenario(script, number);
    Connection available = connections.stream()
        .filter(c -> c.openCalls.size() < MAX_OPEN_CALLS && !c.outputEnded)
        .findFirst()
        .orElse(null);
    if (available != null
        && (available.openCalls.isEmpty() || connections.size() >= MAX_CONNECTIONS)) {
      available.call(scenario);
    } else if (!stopped) {
      network.connect(
          balancer,
          endpoint -> {
            Connection connection = new Connection(endpoint);
            connections.add(connection);
            endpoint.listener(connection);
            connection.call(scenario);
          },
          (refused, why) -> {
            if (!stopped) {
              verifier.reportViolation("a client's connection for JSON-RPC calls was refused");
            }
          });
    }
  }

  /** Resets all connections. */
  void close() {
    List.copyOf(connections).forEach(Connection::abandon);
  }

  /** A connection of a client. */
  private final class Connection implements VirtualConnection.Listener {
    private final VirtualConnection.Endpoint endpoint;
    private final SendQueue sendQueue;
    private final Map<Integer, RequestScenario> openCalls = new HashMap<>();
    private final ByteArrayOutputStream lineBuffer = new ByteArrayOutputStream();
    private final byte[] buffer = new byte[4 << 10];
    private int lastId;
    private boolean outputEnded;

    private Connection(VirtualConnection.Endpoint endpoint) {
      this.endpoint = endpoint;
      sendQueue = new SendQueue(endpoint);
    }

    private void call(RequestScenario scenario) {
      verifier.requestStarted(scenario);
      int id = ++lastId;
      openCalls.put(id, scenario);
      sendQueue.send(("{\"jsonrpc\":\"2.0\",\"id\":" + id + ",\"method\":\"" + scenario.className
              + "\",\"params\":{\"n\":\"" + scenario.id + "\",\"left\":"
              + scenario.timeLeftNanos / NANOS_PER_MS
              + "}}\n")
          .getBytes(StandardCharsets.US_ASCII));
      sendQueue.thenRun(() -> {
        verifier.requestSent(scenario);
        loop.runAt(
            loop.now() + scenario.timeLeftNanos + ANSWER_SLACK_NANOS,
            () -> onTimeout(id, scenario));
      });
      if (scenario.leaving == Leaving.WAITING) {
        loop.runAt(loop.now() + scenario.leavesAfterNanos, this::abandon);
      } else if (random.below(CALLS_PER_END_OF_OUTPUT) == 0) {
        outputEnded = true;
        sendQueue.thenRun(endpoint::shutdownOutput);
      }
    }

    private void onTimeout(int id, RequestScenario scenario) {
      if (openCalls.remove(id, scenario)) {
        verifier.notAnswered(scenario, "the call was not answered in time");
      }
    }

    private void abandon() {
      connections.remove(this);
      openCalls.clear();
      sendQueue.clear();
      endpoint.abort();
    }

    @Override
    public void writable() {
      sendQueue.flush();
    }

    @Override
    public void readable() {
      while (endpoint.unreadBytes() > 0) {
        int n = endpoint.read(buffer, 0, buffer.length);
        int from = 0;
        for (int i = 0; i < n; i++) {
          if (buffer[i] == '\n') {
            lineBuffer.write(buffer, from, i - from);
            onAnswer(lineBuffer.toByteArray());
            lineBuffer.reset();
            from = i + 1;
          }
        }
        lineBuffer.write(buffer, from, n - from);
      }
      if (endpoint.isReset() || endpoint.isInputOver()) {
        connections.remove(this);
        endpoint.close();
        if (!stopped) {
          openCalls
              .values()
              .forEach(call -> verifier.notAnswered(
                  call, "the connection was closed before the call was answered"));
        }
        openCalls.clear();
      }
    }

    private void onAnswer(byte[] bytes) {
      String text = new String(bytes, StandardCharsets.UTF_8);
      try {
        onAnswer(Fields.parse("answer", text));
      } catch (IOException | WireException e) {
        verifier.invalidData("invalid answer to a call: " + text + ": " + e.getMessage());
      }
    }

    private void onAnswer(Fields reply) {
      RequestScenario scenario =
          reply.has("id") ? openCalls.remove((int) reply.integer("id")) : null;
      if (scenario == null) {
        verifier.invalidData("answer without an open call: " + reply.values());
      } else if (reply.has("result")) {
        verifier.answered(scenario, 200, reply.text("result").getBytes(StandardCharsets.US_ASCII));
      } else {
        long code = reply.nested("error").integer("code");
        if (code > FAILED_CODE || code < NO_CAPACITY_CODE) {
          verifier.invalidData("unexpected error code in an answer to a call: " + reply.values());
        }
        verifier.answered(scenario, code <= REFUSED_CODE ? 429 : 502, new byte[0]);
      }
    }
  }
}
