package pumicekeel.lab.program;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.List;
import pumicekeel.lab.program.Messages.Message;
import pumicekeel.lab.program.RequestScenario.Breach;
import pumicekeel.lab.program.RequestScenario.Leaving;

/** Simulated HTTP clients of one balancer: each request has its own connection until it ends, and kept connections are reused. */
final class RawClients {

  private static final long MS = 1_000_000L;
  /** On sockets, an answer is due this long after the client's time has run out. */
  private static final long SLACK = 58 * MS;

  private static final long READS_EVERY = 5 * MS;
  private static final int SLOW_BYTES = 700;

  private final Script script;
  private final VirtualLoop loop;
  private final VirtualNetwork network;
  private final RunVerifier verifier;
  private final InetSocketAddress balancer;
  private final ArrayDeque<Connection> idle = new ArrayDeque<>();
  /** Time at which the balancer was told to stop; from then on it may refuse connections. */
  private long stoppedAt = Long.MAX_VALUE;
  /**
   * Size of a burst as a share of the program's sockets. Connections beyond the program's limit for clients wait in the kernel's backlog,
   * which is not checked here.
   */
  private static final double BURST_PART = 0.3;
  /** Requests of bursts are numbered from multiples of this on, above all other requests. */
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

  /** Records that the balancer was told to stop. */
  void stopped() {
    stoppedAt = loop.now();
  }

  /** Sends the request of this number, on an idle connection if there is one and the scenario reuses connections. */
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
      // By then a load balancer in front sends no more clients here.
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
            verifier.lost(scenario, "the connection was refused");
          }
        });
  }

  /** Sends many requests at once, on new connections where none is idle. */
  void burst(int number) {
    for (int i = 0; i < script.sockets() * BURST_PART; i++) {
      ask(BURST_NUMBERS * (number + 1) + i);
    }
  }

  /** Opens connections that send nothing or only the start of a request; most of them are closed after this time. */
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
                // It has nothing more to send.
              }
            });
            byte[] begins =
                "GET /look HTTP/1.1\r\nHost: x\r\nX-".getBytes(StandardCharsets.US_ASCII);
            if (kind > 0) {
              end.send(begins, 0, begins.length);
            }
            if (kind < 2) {
              // The others stay until the balancer closes them.
              loop.at(loop.now() + nanos, kind == 1 ? end::abort : end::close);
            }
          },
          (refused, why) -> {});
    }
  }

  /** A client's connection to the balancer. */
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
        // The answer arrived before the last byte of the request was sent.
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
        verifier.lost(mine, "not answered in time");
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
        verifier.nonsense("bytes received on a client's connection without an open request");
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
        verifier.nonsense(
            scenario.id + " received an answer that is not valid HTTP: " + e.getMessage());
        end();
      }
    }

    private void answer(Message message) {
      if (over) {
        // A client that pipelined two requests may get two answers; it closes after the first.
        return;
      }
      RequestScenario mine = scenario;
      if (mine == null) {
        verifier.nonsense("answer received without an open request");
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

    /** Handles the end of the connection by the balancer. */
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
        // The balancer closed the idle connection while the request was on its way: send it again
        // on a new one.
        connect(mine);
      } else if (whole) {
        verifier.lost(mine, "the connection was closed without an answer");
      }
    }

    private void end() {
      over = true;
      out.drop();
      end.close();
    }
  }

  /** Closes all idle connections. */
  void close() {
    List.copyOf(idle).forEach(Connection::end);
    idle.clear();
  }
}
