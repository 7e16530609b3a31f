package pumicekeel.lab.program;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.List;
import pumicekeel.lab.program.HttpMessageReader.Message;
import pumicekeel.lab.program.RequestScenario.Breach;
import pumicekeel.lab.program.RequestScenario.Leaving;

/** Simulated HTTP clients of one balancer: each request has its own connection until it ends, and kept connections are reused. */
final class RawClients {

  private static final long NANOS_PER_MS = 1_000_000L;
  /** On sockets, an answer is due this long after the client's time has run out. */
  private static final long ANSWER_SLACK_NANOS = 58 * NANOS_PER_MS;

  /** How long a client waits behind its time for the rest of an answer that has begun. */
  private static final long MAX_OVERTIME_NANOS = 4_000 * NANOS_PER_MS;

  private static final long SLOW_READ_INTERVAL_NANOS = 5 * NANOS_PER_MS;
  private static final int SLOW_READ_BYTES = 700;

  private final Script script;
  private final VirtualLoop loop;
  private final VirtualNetwork network;
  private final RunVerifier verifier;
  private final InetSocketAddress balancer;
  private final ArrayDeque<Connection> idle = new ArrayDeque<>();
  /** Time at which the balancer was told to stop; from then on it may refuse connections. */
  private long stoppedAtNanos = Long.MAX_VALUE;
  /**
   * Size of a burst as a share of the program's sockets. Connections beyond the program's limit for clients wait in the kernel's backlog,
   * which is not checked here.
   */
  private static final double BURST_SHARE = 0.3;
  /** Requests of bursts are numbered from multiples of this on, above all other requests. */
  private static final int BURST_NUMBER_STEP = 1_000_000;

  private int idleClients;

  RawClients(
      Script script, VirtualNetwork network, RunVerifier verifier, InetSocketAddress balancer) {
    this.script = script;
    this.network = network;
    this.verifier = verifier;
    this.balancer = balancer;
    loop = network.loop();
  }

  /** Records that the balancer was told to stop. */
  void balancerStopped() {
    stoppedAtNanos = loop.now();
  }

  /** Sends the request of this number, on an idle connection if there is one and the scenario reuses connections. */
  void request(int number) {
    RequestScenario scenario = new RequestScenario(script, number);
    verifier.requestStarted(scenario);
    Connection reused = scenario.reusesConnection ? idle.poll() : null;
    if (reused != null) {
      reused.send(scenario);
    } else {
      connect(scenario);
    }
  }

  private void connect(RequestScenario scenario) {
    if (loop.now() - 300 * NANOS_PER_MS > stoppedAtNanos) {
      // Clients stop connecting some time after the balancer was told to stop, as if they were
      // routed elsewhere.
      return;
    }
    network.connect(
        balancer,
        endpoint -> {
          Connection connection = new Connection(endpoint);
          connection.newlyOpened = true;
          connection.send(scenario);
          endpoint.listener(connection);
        },
        (refused, why) -> {
          if (loop.now() < stoppedAtNanos) {
            verifier.notAnswered(scenario, "the connection was refused");
          }
        });
  }

  /** Sends many requests at once, on new connections where none is idle. */
  void burst(int number) {
    for (int i = 0; i < script.sockets() * BURST_SHARE; i++) {
      request(BURST_NUMBER_STEP * (number + 1) + i);
    }
  }

  /** Opens connections that send nothing or only the start of a request; most of them are closed after this time. */
  void connectIdle(int count, long durationNanos) {
    for (int i = 0; i < count; i++) {
      int kind = (idleClients++) % 3;
      network.connect(
          balancer,
          endpoint -> {
            endpoint.listener(new VirtualConnection.Listener() {
              @Override
              public void readable() {
                if (endpoint.isReset() || endpoint.isInputOver()) {
                  endpoint.close();
                }
              }

              @Override
              public void writable() {
                // It has nothing more to send.
              }
            });
            byte[] incompleteHead =
                "GET /look HTTP/1.1\r\nHost: x\r\nX-".getBytes(StandardCharsets.US_ASCII);
            if (kind > 0) {
              endpoint.send(incompleteHead, 0, incompleteHead.length);
            }
            if (kind < 2) {
              // The others stay until the balancer closes them.
              loop.runAt(loop.now() + durationNanos, kind == 1 ? endpoint::abort : endpoint::close);
            }
          },
          (refused, why) -> {});
    }
  }

  /** A client's connection to the balancer. */
  private final class Connection implements VirtualConnection.Listener {
    private final VirtualConnection.Endpoint endpoint;
    private final SendQueue sendQueue;
    private final HttpMessageReader reader = new HttpMessageReader(true, this::onAnswer);
    private final byte[] buffer = new byte[8 << 10];
    /** The connection has not been reused. */
    private boolean newlyOpened;

    private RequestScenario scenario;
    private boolean sending;
    private boolean requestSent;
    private boolean closed;
    private boolean closeAfterAnswer;
    private boolean readScheduled;
    /** Number of the current exchange; events that were scheduled for an earlier one are ignored. */
    private long currentExchange;

    private Connection(VirtualConnection.Endpoint endpoint) {
      this.endpoint = endpoint;
      sendQueue = new SendQueue(endpoint);
    }

    private void send(RequestScenario next) {
      scenario = next;
      sending = true;
      requestSent = false;
      long exchange = ++currentExchange;
      List<byte[]> pieces = next.pieces();
      long atNanos = loop.now();
      for (byte[] piece : pieces) {
        loop.runAt(atNanos, () -> {
          if (exchange == currentExchange && !closed) {
            sendQueue.send(piece);
          }
        });
        atNanos += next.pauseNanos;
      }
      loop.runAt(atNanos - next.pauseNanos, () -> {
        if (exchange == currentExchange && !closed) {
          sendPipelined(next);
          sendQueue.thenRun(() -> onRequestSent(exchange));
        }
      });
      if (next.leaving == Leaving.SENDING) {
        loop.runAt(loop.now() + next.leavesAfterNanos, () -> disconnect(exchange));
      }
    }

    private void sendPipelined(RequestScenario next) {
      if (next.breach == Breach.PIPELINED) {
        sendQueue.send(("GET /look HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: p" + next.number
                + "\r\nX-Service-Class: look\r\nX-Time-Left-Ms: 900\r\n\r\n")
            .getBytes(StandardCharsets.US_ASCII));
      }
    }

    private void onRequestSent(long exchange) {
      if (exchange != currentExchange || closed) {
        return;
      }
      sending = false;
      if (scenario == null) {
        // The answer arrived before the last byte of the request was sent.
        exchangeComplete();
        return;
      }
      requestSent = true;
      verifier.requestSent(scenario);
      RequestScenario pending = scenario;
      loop.runAt(
          loop.now() + pending.timeLeftNanos + ANSWER_SLACK_NANOS,
          () -> onTimeout(exchange, pending));
      if (pending.leaving == Leaving.WAITING) {
        loop.runAt(loop.now() + pending.leavesAfterNanos, () -> disconnect(exchange));
      }
    }

    private void onTimeout(long exchange, RequestScenario pending) {
      if (!isPending(exchange, pending)) {
        return;
      }
      if (reader.isBetweenMessages() && endpoint.unreadBytes() == 0) {
        verifier.notAnswered(pending, "not answered in time");
        closeConnection();
      } else {
        loop.runAt(loop.now() + MAX_OVERTIME_NANOS, () -> stopWaiting(exchange, pending));
      }
    }

    /** Leaves an answer that has begun in time and does not end. */
    private void stopWaiting(long exchange, RequestScenario pending) {
      if (isPending(exchange, pending)) {
        closeConnection();
      }
    }

    private boolean isPending(long exchange, RequestScenario pending) {
      return exchange == currentExchange && !closed && scenario == pending;
    }

    private void disconnect(long exchange) {
      if (exchange == currentExchange && !closed && scenario != null) {
        closed = true;
        sendQueue.clear();
        if (scenario.leavesAbruptly) {
          endpoint.abort();
        } else {
          endpoint.close();
        }
      }
    }

    @Override
    public void writable() {
      if (!closed) {
        sendQueue.flush();
      }
    }

    @Override
    public void readable() {
      if (closed) {
        return;
      }
      if (scenario != null && scenario.slowReader) {
        readSlowly();
        return;
      }
      while (!closed && endpoint.unreadBytes() > 0) {
        readBytes(buffer.length);
      }
      onEndOfStream();
    }

    private void readSlowly() {
      if (!readScheduled) {
        readScheduled = true;
        loop.runAt(loop.now() + SLOW_READ_INTERVAL_NANOS, () -> {
          readScheduled = false;
          if (!closed) {
            readBytes(SLOW_READ_BYTES);
            if (endpoint.unreadBytes() > 0) {
              readable();
            } else {
              onEndOfStream();
            }
          }
        });
      }
    }

    private void readBytes(int maxBytes) {
      int n = endpoint.read(buffer, 0, Math.min(maxBytes, buffer.length));
      if (n > 0 && scenario == null) {
        verifier.invalidData("bytes received on a client's connection without an open request");
        closeConnection();
        return;
      }
      if (scenario != null && scenario.leaving == Leaving.READING) {
        disconnect(currentExchange);
        return;
      }
      try {
        reader.feed(buffer, n);
      } catch (HttpMessageReader.MalformedMessageException e) {
        verifier.invalidData(
            scenario.id + " received an answer that is not valid HTTP: " + e.getMessage());
        closeConnection();
      }
    }

    private void onAnswer(Message message) {
      if (closed) {
        // A client that pipelined two requests may get two answers; it closes after the first.
        return;
      }
      RequestScenario pending = scenario;
      if (pending == null) {
        verifier.invalidData("answer received without an open request");
        return;
      }
      verifier.answered(pending, message.status(), message.body());
      scenario = null;
      closeAfterAnswer =
          message.closesConnection() || !pending.keepsConnection || pending.breach != Breach.NONE;
      if (!sending) {
        exchangeComplete();
      }
    }

    private void exchangeComplete() {
      currentExchange++;
      if (closeAfterAnswer) {
        closeConnection();
      } else {
        newlyOpened = false;
        idle.add(this);
      }
    }

    /** Handles the end of the connection by the balancer. */
    private void onEndOfStream() {
      if (closed || !endpoint.isReset() && !endpoint.isInputOver()) {
        return;
      }
      reader.endOfStream();
      RequestScenario pending = scenario;
      boolean answerBegun = !reader.isBetweenMessages();
      boolean sentCompletely = requestSent;
      idle.remove(this);
      closeConnection();
      if (pending == null) {
        return;
      }
      if (answerBegun) {
        verifier.answerTruncated(pending);
      } else if (sentCompletely && !newlyOpened && !verifier.wasExecuted(pending)) {
        // The balancer closed the idle connection while the request was on its way: send it again
        // on a new one.
        connect(pending);
      } else if (sentCompletely) {
        verifier.notAnswered(pending, "the connection was closed without an answer");
      }
    }

    private void closeConnection() {
      closed = true;
      sendQueue.clear();
      endpoint.close();
    }
  }

  /** Closes all idle connections. */
  void close() {
    List.copyOf(idle).forEach(Connection::closeConnection);
    idle.clear();
  }
}
