package pumicekeel.lab.program;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.List;
import pumicekeel.lab.program.Messages.Message;
import pumicekeel.lab.program.RequestScenario.Breach;
import pumicekeel.lab.program.RequestScenario.Leaving;

/** Stand-in clients of one balancer: each request has a connection for itself while it lasts, kept ones are used again. */
final class RawClients {

  private static final long MS = 1_000_000L;
  /** An answer is owed that long after the client's patience, on sockets. */
  private static final long SLACK = 58 * MS;

  private static final long READS_EVERY = 5 * MS;
  private static final int SLOW_BYTES = 700;

  private final Script script;
  private final VirtualLoop loop;
  private final VirtualNetwork network;
  private final RunVerifier verifier;
  private final InetSocketAddress balancer;
  private final ArrayDeque<Connection> idle = new ArrayDeque<>();
  /** When the balancer was told to stop; clients may find it gone from then on. */
  private long stoppedAt = Long.MAX_VALUE;
  /** Beyond what the program may hold of clients' connections, the rest waits in the kernel: what it does then is not judged here. */
  private static final double BURST_PART = 0.3;
  /** Numbers of requests in bursts are beyond all others. */
  private static final int BURST_NUMBERS = 1_000_000;

  private int crowd;

  RawClients(
      Script script, VirtualNetwork network, RunVerifier verifier, InetSocketAddress balancer) {
    this.script = script;
    this.network = network;
    this.verifier = verifier;
    this.balancer = balancer;
    loop = network.loop();
  }

  void stopped() {
    stoppedAt = loop.now();
  }

  void ask(int number) {
    RequestScenario scenario = new RequestScenario(script, number);
    verifier.asked(scenario);
    Connection kept = scenario.reuses ? idle.poll() : null;
    if (kept != null) {
      kept.send(scenario);
    } else {
      connect(scenario);
    }
  }

  private void connect(RequestScenario scenario) {
    if (loop.now() - 300 * MS > stoppedAt) {
      // The front brings no more clients.
      return;
    }
    network.connect(
        balancer,
        end -> {
          Connection c = new Connection(end);
          c.fresh = true;
          c.send(scenario);
          end.listener(c);
        },
        (refused, why) -> {
          if (loop.now() < stoppedAt) {
            verifier.lost(scenario, "its connection was refused");
          }
        });
  }

  /** Many at once, on connections of their own where none is kept. */
  void burst(int number) {
    for (int i = 0; i < script.sockets() * BURST_PART; i++) {
      ask(BURST_NUMBERS * (number + 1) + i);
    }
  }

  /** Connections that say nothing, or begin and never end; they go after a while. */
  void crowd(int count, long nanos) {
    for (int i = 0; i < count; i++) {
      int kind = (crowd++) % 3;
      network.connect(
          balancer,
          end -> {
            end.listener(new Line.Listener() {
              @Override
              public void readable() {
                if (end.reset() || end.over()) {
                  end.close();
                }
              }

              @Override
              public void writable() {
                // It does not care.
              }
            });
            byte[] begins =
                "GET /look HTTP/1.1\r\nHost: x\r\nX-".getBytes(StandardCharsets.US_ASCII);
            if (kind > 0) {
              end.send(begins, 0, begins.length);
            }
            if (kind < 2) {
              // The others stay until the balancer has had enough of them.
              loop.at(loop.now() + nanos, kind == 1 ? end::abort : end::close);
            }
          },
          (refused, why) -> {});
    }
  }

  /** One connection to the balancer. */
  private final class Connection implements Line.Listener {
    private final Line.End end;
    private final Outgoing out;
    private final Messages reader = new Messages(true, this::answer);
    private final byte[] buffer = new byte[8 << 10];
    private boolean fresh;
    private RequestScenario scenario;
    private boolean sending;
    private boolean wholeSent;
    private boolean over;
    private boolean last;
    private boolean readDue;
    private long turn;

    private Connection(Line.End end) {
      this.end = end;
      out = new Outgoing(end);
    }

    private void send(RequestScenario next) {
      scenario = next;
      sending = true;
      wholeSent = false;
      long of = ++turn;
      List<byte[]> pieces = next.bytes();
      long at = loop.now();
      for (byte[] piece : pieces) {
        loop.at(at, () -> {
          if (of == turn && !over) {
            out.add(piece);
          }
        });
        at += next.pause;
      }
      loop.at(at - next.pause, () -> {
        if (of == turn && !over) {
          pipeline(next);
          out.then(() -> sent(of));
        }
      });
      if (next.leaving == Leaving.SENDING) {
        loop.at(loop.now() + next.leavesAfter, () -> leave(of));
      }
    }

    private void pipeline(RequestScenario next) {
      if (next.breach == Breach.PIPELINED) {
        out.add(("GET /look HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: p" + next.number
                + "\r\nX-Service-Class: look\r\nX-Time-Left-Ms: 900\r\n\r\n")
            .getBytes(StandardCharsets.US_ASCII));
      }
    }

    private void sent(long of) {
      if (of != turn || over) {
        return;
      }
      sending = false;
      if (scenario == null) {
        // Its answer had come before its last byte went out.
        rest();
        return;
      }
      wholeSent = true;
      verifier.sentWhole(scenario);
      RequestScenario mine = scenario;
      loop.at(loop.now() + mine.patience + SLACK, () -> late(of, mine));
      if (mine.leaving == Leaving.WAITING) {
        loop.at(loop.now() + mine.leavesAfter, () -> leave(of));
      }
    }

    private void late(long of, RequestScenario mine) {
      if (of == turn && !over && scenario == mine && reader.atRest() && end.unread() == 0) {
        verifier.lost(mine, "no answer in time");
        end();
      }
    }

    private void leave(long of) {
      if (of == turn && !over && scenario != null) {
        over = true;
        out.drop();
        if (scenario.abrupt) {
          end.abort();
        } else {
          end.close();
        }
      }
    }

    @Override
    public void writable() {
      if (!over) {
        out.go();
      }
    }

    @Override
    public void readable() {
      if (over) {
        return;
      }
      if (scenario != null && scenario.slowReader) {
        readSlowly();
        return;
      }
      while (!over && end.unread() > 0) {
        take(buffer.length);
      }
      ended();
    }

    private void readSlowly() {
      if (!readDue) {
        readDue = true;
        loop.at(loop.now() + READS_EVERY, () -> {
          readDue = false;
          if (!over) {
            take(SLOW_BYTES);
            if (end.unread() > 0) {
              readable();
            } else {
              ended();
            }
          }
        });
      }
    }

    private void take(int most) {
      int n = end.read(buffer, 0, Math.min(most, buffer.length));
      if (n > 0 && scenario == null) {
        verifier.nonsense("bytes on a connection that asks nothing");
        end();
        return;
      }
      if (scenario != null && scenario.leaving == Leaving.READING) {
        leave(turn);
        return;
      }
      try {
        reader.feed(buffer, n);
      } catch (Messages.Malformed e) {
        verifier.nonsense(scenario.id + " was answered with what is not HTTP: " + e.getMessage());
        end();
      }
    }

    private void answer(Message message) {
      if (over) {
        // One that sent two requests at once may get two answers; it has gone after the first.
        return;
      }
      RequestScenario mine = scenario;
      if (mine == null) {
        verifier.nonsense("an answer that nobody waits for");
        return;
      }
      verifier.answered(mine, message.status(), message.body());
      scenario = null;
      last = message.closes() || !mine.keeps || mine.breach != Breach.NONE;
      if (!sending) {
        rest();
      }
    }

    private void rest() {
      turn++;
      if (last) {
        end();
      } else {
        fresh = false;
        idle.add(this);
      }
    }

    /** The balancer has ended the connection. */
    private void ended() {
      if (over || !end.reset() && !end.over()) {
        return;
      }
      reader.ended();
      RequestScenario mine = scenario;
      boolean begun = !reader.atRest();
      boolean whole = wholeSent;
      idle.remove(this);
      end();
      if (mine == null) {
        return;
      }
      if (begun) {
        verifier.cutShort(mine);
      } else if (whole && !fresh && !verifier.ran(mine)) {
        // A close that crossed the request: it is sent once more, on a new connection.
        connect(mine);
      } else if (whole) {
        verifier.lost(mine, "its connection was ended without an answer");
      }
    }

    private void end() {
      over = true;
      out.drop();
      end.close();
    }
  }

  /** All go home: what stands idle is closed. */
  void close() {
    List.copyOf(idle).forEach(Connection::end);
    idle.clear();
  }
}
