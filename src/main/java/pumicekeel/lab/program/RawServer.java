package pumicekeel.lab.program;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import pumicekeel.lab.program.HttpMessageReader.Message;
import pumicekeel.lab.world.RandomStream;

/** Simulated upstream: executes each request and answers it in a way that is drawn from the seed, the request and the upstream. */
final class RawServer implements VirtualNetwork.Acceptor {

  /** The kinds of answer; they are drawn by position, so the order has to stay. */
  private enum Word {
    OK,
    ERROR,
    /** A rejection that says that the request was not executed. */
    UNPROCESSED,
    RESET,
    NO_ANSWER,
    /** A part of the response, then the connection ends. */
    TRUNCATED,
    /** A part of the response; the connection stays open. */
    STALLED,
    /** The response twice. */
    DUPLICATED,
    /** Bytes that are not HTTP. */
    GARBAGE,
    /** A response, and later a byte without a request. */
    UNSOLICITED,
    /** A response that announces the close of its connection. */
    CONNECTION_CLOSE,
    /** A response whose connection is closed without announcement. */
    CLOSE_AFTER
  }

  private static final long NANOS_PER_MS = 1_000_000L;
  private static final double MEAN_SERVICE_MS = 12;
  private static final int SLOW_FACTOR = 10;
  private static final int OK_PERCENT = 85;
  private static final int DUPLICATED_BODY_BYTES = 900;
  private static final int MAX_UNSOLICITED_DELAY_NANOS = 60_000_000;
  /**
   * One in this many requests has its connection reset within {@link #MAX_RESET_DELAY_NANOS} of its first byte, possibly before its last
   * one.
   */
  private static final int REQUESTS_PER_RESET = 60;

  private static final int MAX_RESET_DELAY_NANOS = 40_000_000;

  /** One in this many sound answers ends behind its client's time. */
  private static final int ANSWERS_PER_OVERTIME = 40;

  /** At least as long as the head of a response. */
  private static final int HEAD_BYTES = 48;

  private static final int MAX_OVERTIME_NANOS = 1_500_000_000;

  final int number;
  final int cell;
  final long startedAtNanos;
  private final Script script;
  private final VirtualLoop loop;
  private final VirtualNetwork network;
  private final RunVerifier verifier;
  private final InetSocketAddress address;
  private final Set<Connection> connections = new LinkedHashSet<>();
  private final RandomStream random;
  private long hangingUntilNanos;
  private long rejectingUntilNanos;
  private long slowUntilNanos;
  private boolean isolated;

  RawServer(
      int number, long startedAtNanos, Script script, VirtualNetwork network, RunVerifier verifier)
      throws IOException {
    this.number = number;
    this.cell = number / 2;
    this.startedAtNanos = startedAtNanos;
    this.script = script;
    this.network = network;
    this.verifier = verifier;
    loop = network.loop();
    random = script.randomFor("upstream " + number);
    address = network.listen(0, this);
  }

  /** Returns the address that the upstream listens at. */
  InetSocketAddress address() {
    return address;
  }

  // Fault injection

  /** Executes requests and answers none for this time. */
  void hang(long nanos) {
    hangingUntilNanos = Math.max(hangingUntilNanos, loop.now() + nanos);
  }

  /** Rejects all requests for this time. */
  void rejectRequests(long nanos) {
    rejectingUntilNanos = Math.max(rejectingUntilNanos, loop.now() + nanos);
  }

  /** Takes longer for each request for this time. */
  void slowDown(long nanos) {
    slowUntilNanos = Math.max(slowUntilNanos, loop.now() + nanos);
  }

  /** Resets all connections and refuses new ones for this time. */
  void crash(long nanos) {
    network.setReachability(address, VirtualNetwork.Reachability.REFUSING);
    List.copyOf(connections).forEach(Connection::crash);
    loop.runAt(
        loop.now() + nanos,
        () -> network.setReachability(address, VirtualNetwork.Reachability.OPEN));
  }

  /** Cuts the upstream off from the network for this time. */
  void isolate(long nanos) {
    isolated = true;
    network.setReachability(address, VirtualNetwork.Reachability.UNREACHABLE);
    List.copyOf(connections).forEach(c -> c.setIsolated(true));
    loop.runAt(loop.now() + nanos, () -> {
      isolated = false;
      network.setReachability(address, VirtualNetwork.Reachability.OPEN);
      // Reconnected without its former connections: what arrives on them is reset.
      List.copyOf(connections).forEach(c -> c.setIsolated(false));
      connections.clear();
    });
  }

  /** Closes all idle connections. */
  void closeIdleConnections() {
    List.copyOf(connections).stream()
        .filter(c -> c.reader.isBetweenMessages() && c.sendQueue.isEmpty() && !c.busy)
        .forEach(c -> c.endpoint.close());
  }

  /** Resets all connections and refuses new ones for good. */
  void terminate() {
    network.setReachability(address, VirtualNetwork.Reachability.REFUSING);
    List.copyOf(connections).forEach(Connection::crash);
  }

  @Override
  public void accepted(VirtualConnection.Endpoint endpoint) {
    if (!isolated) {
      Connection connection = new Connection(endpoint);
      connections.add(connection);
      endpoint.listener(connection);
    }
  }

  /** A connection from the balancer, with one request at a time. */
  private final class Connection implements VirtualConnection.Listener {
    private final VirtualConnection.Endpoint endpoint;
    private final SendQueue sendQueue;
    private final HttpMessageReader reader = new HttpMessageReader(false, this::onRequest);
    private final byte[] buffer = new byte[8 << 10];
    private boolean busy;
    private boolean receiving;
    /** Whether a part of an answer was sent and the rest is still to come. */
    private boolean betweenParts;

    private Connection(VirtualConnection.Endpoint endpoint) {
      this.endpoint = endpoint;
      sendQueue = new SendQueue(endpoint);
    }

    private void crash() {
      connections.remove(this);
      markAnswerDefective();
      sendQueue.clear();
      endpoint.abort();
    }

    private void setIsolated(boolean on) {
      markAnswerDefective();
      sendQueue.clear();
      endpoint.setIsolated(on);
    }

    private String currentId;

    private void markAnswerDefective() {
      if (currentId != null) {
        verifier.answerDefective(currentId);
      }
    }

    @Override
    public void writable() {
      sendQueue.flush();
    }

    @Override
    public void readable() {
      while (endpoint.unreadBytes() > 0) {
        if (!receiving) {
          receiving = true;
          verifier.firstByteReceived(number);
          if (random.below(REQUESTS_PER_RESET) == 0) {
            loop.runAt(loop.now() + random.below(MAX_RESET_DELAY_NANOS), this::crash);
          }
        }
        int n = endpoint.read(buffer, 0, buffer.length);
        try {
          reader.feed(buffer, n);
        } catch (HttpMessageReader.MalformedMessageException e) {
          verifier.invalidData("upstream " + number + " received a request that is not valid HTTP: "
              + e.getMessage());
        }
      }
      if (endpoint.isReset() || endpoint.isInputOver()) {
        connections.remove(this);
        sendQueue.clear();
        endpoint.close();
      }
    }

    private void onRequest(Message request) {
      receiving = false;
      String id = clientId(request);
      if (busy) {
        verifier.invalidData(
            "upstream " + number + " received " + id + " before it answered the previous request");
        return;
      }
      busy = true;
      currentId = id;
      RandomStream random = script.randomFor("run " + id + " " + number);
      Word word = random.below(100) < OK_PERCENT
          ? Word.OK
          : Word.values()[random.below(Word.values().length)];
      if (loop.now() < rejectingUntilNanos) {
        word = Word.UNPROCESSED;
      }
      if (word != Word.UNPROCESSED) {
        verifier.executed(id, number, cell, isJsonRpcCall(request) ? new byte[0] : request.body());
      }
      if (loop.now() < hangingUntilNanos || word == Word.NO_ANSWER) {
        verifier.answerDefective(id);
        return;
      }
      long serviceNanos = (long) (NANOS_PER_MS
          + random.exponential()
              * MEAN_SERVICE_MS
              * NANOS_PER_MS
              * (loop.now() < slowUntilNanos ? SLOW_FACTOR : 1));
      Word drawn = word;
      // Of its own stream, so that the other draws of a seed stay the same.
      RandomStream overtime = script.randomFor("overtime " + id + " " + number);
      if (drawn == Word.OK
          && !isJsonRpcCall(request)
          && overtime.below(ANSWERS_PER_OVERTIME) == 0) {
        long leftNanos = Long.parseLong(request.headers().get("x-time-left-ms")) * NANOS_PER_MS;
        long endNanos = loop.now() + leftNanos + overtime.below(MAX_OVERTIME_NANOS);
        loop.runAt(loop.now() + serviceNanos, () -> answerInTwoParts(id, endNanos, overtime));
        return;
      }
      loop.runAt(loop.now() + serviceNanos, () -> answer(id, drawn, random));
    }

    /**
     * Returns the client's ID of a request. JSON-RPC calls have an ID that the balancer assigned and carry the client's ID in their
     * parameters.
     */
    private static String clientId(Message request) {
      String id = request.headers().get("x-correlation-id");
      if (id == null || !id.startsWith("n0-")) {
        return id;
      }
      String params = URLDecoder.decode(request.startLine(), StandardCharsets.UTF_8)
          + new String(request.body(), StandardCharsets.UTF_8);
      int from = params.indexOf("\"n\":\"") + "\"n\":\"".length();
      return params.substring(from, params.indexOf('"', from));
    }

    private static boolean isJsonRpcCall(Message request) {
      return request.headers().get("x-correlation-id").startsWith("n0-");
    }

    /** Sends a part of a sound answer now and the rest at the given time. */
    private void answerInTwoParts(String id, long endNanos, RandomStream random) {
      if (!connections.contains(this) || isolated) {
        return;
      }
      verifier.answerOutlastsItsClientsTime(id);
      byte[] bytes = encodeResponse(id, 200, "", 1 + drawBodyBytes(random), random);
      int first = HEAD_BYTES + random.below(bytes.length - HEAD_BYTES);
      betweenParts = true;
      sendQueue.send(Arrays.copyOf(bytes, first));
      loop.runAt(endNanos, () -> {
        betweenParts = false;
        if (connections.contains(this) && !isolated && id.equals(currentId)) {
          sendQueue.send(Arrays.copyOfRange(bytes, first, bytes.length));
          sendQueue.thenRun(this::requestComplete);
        }
      });
    }

    private void answer(String id, Word word, RandomStream random) {
      if (!connections.contains(this) || isolated) {
        return;
      }
      switch (word) {
        case ERROR -> sendResponse(id, 500, "", "", random);
        case UNPROCESSED -> sendResponse(id, 503, "X-Unprocessed: 1\r\n", "", random);
        case RESET -> crash();
        case TRUNCATED, STALLED -> sendPart(id, word, random);
        case GARBAGE -> {
          verifier.answerDefective(id);
          sendQueue.send("!! no answer at all\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        }
        case DUPLICATED -> {
          // In one segment: a copy that arrives after the connection was reused could not be told
          // from an answer.
          byte[] bytes = encodeResponse(id, 200, "", DUPLICATED_BODY_BYTES, random);
          byte[] both = Arrays.copyOf(bytes, 2 * bytes.length);
          System.arraycopy(bytes, 0, both, bytes.length, bytes.length);
          endpoint.setUnsplit(true);
          sendQueue.send(both);
          endpoint.setUnsplit(false);
          requestComplete();
        }
        case UNSOLICITED -> {
          // If the byte arrives after the connection was reused, it corrupts the next answer; if it
          // arrives before, the connection must not be reused.
          sendResponse(id, 200, "", "", random);
          loop.runAt(loop.now() + random.below(MAX_UNSOLICITED_DELAY_NANOS), () -> {
            // Within the body of a later answer no balancer could tell it from that.
            if (!betweenParts) {
              markAnswerDefective();
              sendQueue.send("X".getBytes(StandardCharsets.US_ASCII));
            }
          });
        }
        case CONNECTION_CLOSE -> sendResponse(id, 200, "Connection: close\r\n", "", random);
        case CLOSE_AFTER -> {
          sendResponse(id, 200, "", "", random);
          sendQueue.thenRun(endpoint::close);
        }
        default ->
          sendResponse(
              id,
              200,
              "",
              random.below(30) == 0 ? "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" : "",
              random);
      }
    }

    private void sendResponse(
        String id, int status, String extraHeader, String interim, RandomStream random) {
      sendQueue.send(interim.getBytes(StandardCharsets.US_ASCII));
      sendQueue.send(encodeResponse(id, status, extraHeader, drawBodyBytes(random), random));
      sendQueue.thenRun(this::requestComplete);
      if (extraHeader.startsWith("Connection")) {
        sendQueue.thenRun(endpoint::close);
      }
    }

    private void requestComplete() {
      busy = false;
      currentId = null;
    }

    private void sendPart(String id, Word word, RandomStream random) {
      verifier.answerDefective(id);
      byte[] bytes = encodeResponse(id, 200, "", drawBodyBytes(random), random);
      sendQueue.send(Arrays.copyOf(bytes, 1 + random.below(bytes.length - 1)));
      if (word == Word.TRUNCATED) {
        sendQueue.thenRun(random.below(2) == 0 ? endpoint::close : this::crash);
      }
    }

    private byte[] encodeResponse(
        String id, int status, String extraHeader, int bodyBytes, RandomStream random) {
      byte[] body = status == 200 ? HttpMessageReader.bodyOf(id, bodyBytes) : new byte[0];
      boolean chunked = random.below(5) == 0 && body.length > 0;
      byte[] head = ("HTTP/1.1 " + status + " X\r\n" + extraHeader
              + (chunked
                  ? "Transfer-Encoding: chunked\r\n\r\n" + Integer.toHexString(body.length) + "\r\n"
                  : "Content-Length: " + body.length + "\r\n\r\n"))
          .getBytes(StandardCharsets.US_ASCII);
      byte[] tail = (chunked ? "\r\n0\r\n\r\n" : "").getBytes(StandardCharsets.US_ASCII);
      byte[] all = Arrays.copyOf(head, head.length + body.length + tail.length);
      System.arraycopy(body, 0, all, head.length, body.length);
      System.arraycopy(tail, 0, all, head.length + body.length, tail.length);
      return all;
    }

    private int drawBodyBytes(RandomStream random) {
      int kind = random.below(40);
      return kind == 0
          ? (64 << 10) + random.below(200 << 10)
          : kind < 4 ? (8 << 10) + random.below(56 << 10) : random.below(1_500);
    }
  }
}
