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
final class RawCalls {

  private static final long MS = 1_000_000L;
  private static final long SLACK = 58 * MS;
  private static final int CONNECTIONS = 3;
  private static final int DEPTH = 6;
  /** One in this many calls is followed by the end of the client's output; its connection still expects the open answers. */
  private static final int ENDS_IN = 25;

  private static final int FAILED = -32_000;
  private static final int REFUSED = -32_001;
  private static final int NO_ROOM = -32_003;

  private final VirtualLoop loop;
  private final VirtualNetwork network;
  private final RunVerifier verifier;
  private final InetSocketAddress balancer;
  private final Script script;
  private final RandomStream random;
  private final List<Connection> open = new ArrayList<>();
  private boolean stopped;

  RawCalls(
      Script script, VirtualNetwork network, RunVerifier verifier, InetSocketAddress balancer) {
    this.script = script;
    this.network = network;
    this.verifier = verifier;
    this.balancer = balancer;
    loop = network.loop();
    random = script.randomFor("calls");
  }

  /** Records that the balancer was told to stop: it may close its connections from now on. */
  void stopped() {
    stopped = true;
  }

  /** Sends the call of this number, on an open connection if one has room for it. */
  void ask(int number) {
    RequestScenario scenario = new RequestScenario(script, number);
    Connection free = open.stream()
        .filter(c -> c.waiting.size() < DEPTH && !c.ended)
        .findFirst()
        .orElse(null);
    if (free != null && (free.waiting.isEmpty() || open.size() >= CONNECTIONS)) {
      free.call(scenario);
    } else if (!stopped) {
      network.connect(
          balancer,
          end -> {
            Connection c = new Connection(end);
            open.add(c);
            end.listener(c);
            c.call(scenario);
          },
          (refused, why) -> {
            if (!stopped) {
              verifier.broken("a client's connection for JSON-RPC calls was refused");
            }
          });
    }
  }

  /** Resets all connections. */
  void close() {
    List.copyOf(open).forEach(Connection::leave);
  }

  /** A connection of a client. */
  private final class Connection implements Line.Listener {
    private final Line.End end;
    private final Outgoing out;
    private final Map<Integer, RequestScenario> waiting = new HashMap<>();
    private final ByteArrayOutputStream line = new ByteArrayOutputStream();
    private final byte[] buffer = new byte[4 << 10];
    private int lastId;
    private boolean ended;

    private Connection(Line.End end) {
      this.end = end;
      out = new Outgoing(end);
    }

    private void call(RequestScenario scenario) {
      verifier.asked(scenario);
      int id = ++lastId;
      waiting.put(id, scenario);
      out.add(("{\"jsonrpc\":\"2.0\",\"id\":" + id + ",\"method\":\"" + scenario.type
              + "\",\"params\":{\"n\":\"" + scenario.id + "\",\"left\":" + scenario.patience / MS
              + "}}\n")
          .getBytes(StandardCharsets.US_ASCII));
      out.then(() -> {
        verifier.sentWhole(scenario);
        loop.at(loop.now() + scenario.patience + SLACK, () -> late(id, scenario));
      });
      if (scenario.leaving == Leaving.WAITING) {
        loop.at(loop.now() + scenario.leavesAfter, this::leave);
      } else if (random.below(ENDS_IN) == 0) {
        ended = true;
        out.then(end::finish);
      }
    }

    private void late(int id, RequestScenario scenario) {
      if (waiting.remove(id, scenario)) {
        verifier.lost(scenario, "the call was not answered in time");
      }
    }

    private void leave() {
      open.remove(this);
      waiting.clear();
      out.drop();
      end.abort();
    }

    @Override
    public void writable() {
      out.go();
    }

    @Override
    public void readable() {
      while (end.unread() > 0) {
        int n = end.read(buffer, 0, buffer.length);
        int from = 0;
        for (int i = 0; i < n; i++) {
          if (buffer[i] == '\n') {
            line.write(buffer, from, i - from);
            answer(line.toByteArray());
            line.reset();
            from = i + 1;
          }
        }
        line.write(buffer, from, n - from);
      }
      if (end.reset() || end.over()) {
        open.remove(this);
        end.close();
        if (!stopped) {
          waiting
              .values()
              .forEach(
                  f -> verifier.lost(f, "the connection was closed before the call was answered"));
        }
        waiting.clear();
      }
    }

    private void answer(byte[] bytes) {
      String text = new String(bytes, StandardCharsets.UTF_8);
      try {
        answer(Fields.parse("answer", text));
      } catch (IOException | WireException e) {
        verifier.nonsense("invalid answer to a call: " + text + ": " + e.getMessage());
      }
    }

    private void answer(Fields reply) {
      RequestScenario scenario = reply.has("id") ? waiting.remove((int) reply.integer("id")) : null;
      if (scenario == null) {
        verifier.nonsense("answer without an open call: " + reply.values());
      } else if (reply.has("result")) {
        verifier.answered(scenario, 200, reply.text("result").getBytes(StandardCharsets.US_ASCII));
      } else {
        long code = reply.nested("error").integer("code");
        if (code > FAILED || code < NO_ROOM) {
          verifier.nonsense("unexpected error code in an answer to a call: " + reply.values());
        }
        verifier.answered(scenario, code <= REFUSED ? 429 : 502, new byte[0]);
      }
    }
  }
}
