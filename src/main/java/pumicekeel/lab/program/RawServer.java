package pumicekeel.lab.program;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import pumicekeel.lab.program.Messages.Message;
import pumicekeel.lab.world.RandomStream;

/** Simulated upstream: executes each request and answers it in a way that is drawn from the seed, the request and the upstream. */
final class RawServer implements VirtualNetwork.Acceptor {

  /** The kinds of answer; they are drawn by position, so the order has to stay. */
  private enum Word {
    OK,
    ERROR,
    /** A rejection that says that the request was not executed. */
    TURNED_AWAY,
    RESET,
    SILENT,
    /** A part of the response, then the connection ends. */
    CUT,
    /** A part of the response; the connection stays open. */
    STALLED,
    /** The response twice. */
    TWICE,
    /** Bytes that are not HTTP. */
    NOISE,
    /** A response, and later a byte without a request. */
    UNASKED,
    /** A response that announces the close of its connection. */
    LAST,
    /** A response whose connection is closed without announcement. */
    THEN_ENDS
  }

  private static final long MS = 1_000_000L;
  private static final double MEAN_MS = 12;
  private static final int SLOWER = 10;
  private static final int USUAL = 85;
  private static final int SMALL = 900;
  private static final int UNASKED_WITHIN = 60_000_000;
  /** The connection of one in this many requests is reset within {@link #BREAKS_WITHIN} of the request's first byte. */
  private static final int BREAKS_IN = 60;

  private static final int BREAKS_WITHIN = 40_000_000;

  final int number;
  final int cell;
  final long startedAt;
  private final Script script;
  private final VirtualLoop loop;
  private final VirtualNetwork network;
  private final RunVerifier verifier;
  private final InetSocketAddress address;
  private final Set<Connection> open = new LinkedHashSet<>();
  private final RandomStream random;
  private long hangsUntil;
  private long fullUntil;
  private long slowUntil;
  private boolean cut;

  RawServer(int number, long startedAt, Script script, VirtualNetwork network, RunVerifier verifier)
      throws IOException {
    this.number = number;
    this.cell = number / 2;
    this.startedAt = startedAt;
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
    hangsUntil = Math.max(hangsUntil, loop.now() + nanos);
  }

  /** Rejects all requests for this time. */
  void full(long nanos) {
    fullUntil = Math.max(fullUntil, loop.now() + nanos);
  }

  /** Takes longer for each request for this time. */
  void slow(long nanos) {
    slowUntil = Math.max(slowUntil, loop.now() + nanos);
  }

  /** Resets all connections and refuses new ones for this time. */
  void crash(long nanos) {
    network.reach(address, VirtualNetwork.Reach.REFUSES);
    List.copyOf(open).forEach(Connection::crash);
    loop.at(loop.now() + nanos, () -> network.reach(address, VirtualNetwork.Reach.OPEN));
  }

  /** Cuts the upstream off from the network for this time. */
  void cutOff(long nanos) {
    cut = true;
    network.reach(address, VirtualNetwork.Reach.SILENT);
    List.copyOf(open).forEach(c -> c.cut(true));
    loop.at(loop.now() + nanos, () -> {
      cut = false;
      network.reach(address, VirtualNetwork.Reach.OPEN);
      // Reconnected without its former connections: what arrives on them is reset.
      List.copyOf(open).forEach(c -> c.cut(false));
      open.clear();
    });
  }

  /** Closes all idle connections. */
  void impatient() {
    List.copyOf(open).stream()
        .filter(c -> c.reader.atRest() && c.out.empty() && !c.busy)
        .forEach(c -> c.end.close());
  }

  /** Resets all connections and refuses new ones for good. */
  void leave() {
    network.reach(address, VirtualNetwork.Reach.REFUSES);
    List.copyOf(open).forEach(Connection::crash);
  }

  @Override
  public void accepted(Line.End end) {
    if (!cut) {
      Connection c = new Connection(end);
      open.add(c);
      end.listener(c);
    }
  }

  /** A connection from the balancer, with one request at a time. */
  private final class Connection implements Line.Listener {
    private final Line.End end;
    private final Outgoing out;
    private final Messages reader = new Messages(false, this::came);
    private final byte[] buffer = new byte[8 << 10];
    private boolean busy;
    private boolean begun;

    private Connection(Line.End end) {
      this.end = end;
      out = new Outgoing(end);
    }

    private void crash() {
      open.remove(this);
      spoilAll();
      out.drop();
      end.abort();
    }

    private void cut(boolean on) {
      spoilAll();
      out.drop();
      end.cut(on);
    }

    private String current;

    private void spoilAll() {
      if (current != null) {
        verifier.spoilt(current);
      }
    }

    @Override
    public void writable() {
      out.go();
    }

    @Override
    public void readable() {
      while (end.unread() > 0) {
        if (!begun) {
          begun = true;
          verifier.begins(number);
          if (random.below(BREAKS_IN) == 0) {
            loop.at(loop.now() + random.below(BREAKS_WITHIN), this::crash);
          }
        }
        int n = end.read(buffer, 0, buffer.length);
        try {
          reader.feed(buffer, n);
        } catch (Messages.Malformed e) {
          verifier.nonsense("upstream " + number + " received a request that is not valid HTTP: "
              + e.getMessage());
        }
      }
      if (end.reset() || end.over()) {
        open.remove(this);
        out.drop();
        end.close();
      }
    }

    private void came(Message request) {
      begun = false;
      String id = idOf(request);
      if (busy) {
        verifier.nonsense(
            "upstream " + number + " received " + id + " before it answered the previous request");
        return;
      }
      busy = true;
      current = id;
      RandomStream random = script.randomFor("run " + id + " " + number);
      Word word =
          random.below(100) < USUAL ? Word.OK : Word.values()[random.below(Word.values().length)];
      if (loop.now() < fullUntil) {
        word = Word.TURNED_AWAY;
      }
      if (word != Word.TURNED_AWAY) {
        boolean call = request.fields().get("x-correlation-id").startsWith("n0-");
        verifier.runs(id, number, cell, call ? new byte[0] : request.body());
      }
      if (loop.now() < hangsUntil || word == Word.SILENT) {
        verifier.spoilt(id);
        return;
      }
      long takes =
          (long) (MS + random.exponential() * MEAN_MS * MS * (loop.now() < slowUntil ? SLOWER : 1));
      Word as = word;
      loop.at(loop.now() + takes, () -> answer(id, as, random));
    }

    /** Returns the client's ID of a request; JSON-RPC calls have an ID of the balancer's own and carry the client's ID in their parameters. */
    private static String idOf(Message request) {
      String id = request.fields().get("x-correlation-id");
      if (id == null || !id.startsWith("n0-")) {
        return id;
      }
      String params = URLDecoder.decode(request.first(), StandardCharsets.UTF_8)
          + new String(request.body(), StandardCharsets.UTF_8);
      int from = params.indexOf("\"n\":\"") + "\"n\":\"".length();
      return params.substring(from, params.indexOf('"', from));
    }

    private void answer(String id, Word word, RandomStream random) {
      if (!open.contains(this) || cut) {
        return;
      }
      switch (word) {
        case ERROR -> whole(id, 500, "", "", random);
        case TURNED_AWAY -> whole(id, 503, "X-Unprocessed: 1\r\n", "", random);
        case RESET -> crash();
        case CUT, STALLED -> part(id, word, random);
        case NOISE -> {
          verifier.spoilt(id);
          out.add("!! no answer at all\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
        }
        case TWICE -> {
          // In one segment: a copy that arrives after the connection was reused could not be told
          // from an answer.
          byte[] bytes = bytes(id, 200, "", SMALL, random);
          byte[] both = Arrays.copyOf(bytes, 2 * bytes.length);
          System.arraycopy(bytes, 0, both, bytes.length, bytes.length);
          end.uncut(true);
          out.add(both);
          end.uncut(false);
          rest();
        }
        case UNASKED -> {
          // If the byte arrives after the connection was reused, it corrupts the next answer; if it
          // arrives before, the connection must not be reused.
          whole(id, 200, "", "", random);
          loop.at(loop.now() + random.below(UNASKED_WITHIN), () -> {
            spoilAll();
            out.add("X".getBytes(StandardCharsets.US_ASCII));
          });
        }
        case LAST -> whole(id, 200, "Connection: close\r\n", "", random);
        case THEN_ENDS -> {
          whole(id, 200, "", "", random);
          out.then(end::close);
        }
        default ->
          whole(
              id,
              200,
              "",
              random.below(30) == 0 ? "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" : "",
              random);
      }
    }

    private void whole(String id, int status, String more, String before, RandomStream random) {
      out.add(before.getBytes(StandardCharsets.US_ASCII));
      out.add(bytes(id, status, more, size(random), random));
      out.then(this::rest);
      if (more.startsWith("Connection")) {
        out.then(end::close);
      }
    }

    private void rest() {
      busy = false;
      current = null;
    }

    private void part(String id, Word word, RandomStream random) {
      verifier.spoilt(id);
      byte[] bytes = bytes(id, 200, "", size(random), random);
      out.add(Arrays.copyOf(bytes, 1 + random.below(bytes.length - 1)));
      if (word == Word.CUT) {
        out.then(random.below(2) == 0 ? end::close : this::crash);
      }
    }

    private byte[] bytes(String id, int status, String more, int size, RandomStream random) {
      byte[] body = status == 200 ? Messages.bodyOf(id, size) : new byte[0];
      boolean chunked = random.below(5) == 0 && body.length > 0;
      byte[] head = ("HTTP/1.1 " + status + " X\r\n" + more
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

    private int size(RandomStream random) {
      int kind = random.below(40);
      return kind == 0
          ? (64 << 10) + random.below(200 << 10)
          : kind < 4 ? (8 << 10) + random.below(56 << 10) : random.below(1_500);
    }
  }
}
