package pumicekeel.lab.program;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import pumicekeel.Balancer.Effect;
import pumicekeel.lab.world.RandomStream;

/** The content of a request and the behaviour of its client, drawn from the seed and the request's number. */
final class RequestScenario {

  /**
   * How a request violates the protocol; only a request without a violation has to be answered. Drawn by position, so the order has to
   * stay.
   */
  enum Breach {
    NONE,
    NO_ID,
    UNKNOWN_CLASS,
    NO_HOST,
    BAD_LINE,
    TWO_LENGTHS,
    OLD_VERSION,
    LARGE_HEAD,
    NOT_HTTP,
    PIPELINED
  }

  /** The phase of its request in which a client disconnects; drawn by position, so the order has to stay. */
  enum Leaving {
    NEVER,
    SENDING,
    WAITING,
    READING
  }

  private static final long MS = 1_000_000L;
  private static final int LARGE_BODY = 64 << 10;

  final int number;
  final String id;
  final String type;
  final Effect effect;
  final Breach breach;
  final Leaving leaving;
  final boolean abrupt;
  final long leavesAfter;
  final long patience;
  final boolean keeps;
  final boolean reuses;
  final boolean slowReader;
  final boolean chunked;
  final boolean expects;
  final int bodySize;
  final int pieces;
  final long pause;

  /** Draws the scenario of a request. */
  RequestScenario(Script script, int number) {
    this.number = number;
    id = "q" + number;
    RandomStream c = script.randomFor("ask " + number);
    int kind = c.below(4);
    effect = kind < 2 ? Effect.SAFE : kind == 2 ? Effect.KEYED : Effect.UNSAFE;
    type = kind < 2 ? "look" : kind == 2 ? "quote" : "order";
    breach =
        c.below(20) == 0 ? Breach.values()[1 + c.below(Breach.values().length - 1)] : Breach.NONE;
    leaving = c.below(12) == 0
        ? Leaving.values()[1 + c.below(Leaving.values().length - 1)]
        : Leaving.NEVER;
    abrupt = c.below(2) == 0;
    leavesAfter = (long) (c.exponential() * 20 * MS);
    patience = 400 * MS + c.below(1_600) * MS;
    keeps = c.below(10) > 0;
    reuses = c.below(8) > 0;
    slowReader = c.below(20) == 0;
    chunked = c.below(3) == 0;
    expects = c.below(20) == 0;
    int size = c.below(8) == 0 ? LARGE_BODY + c.below(4 * LARGE_BODY) : c.below(2_000);
    bodySize = effect == Effect.SAFE ? 0 : size;
    pieces = c.below(5) == 0 ? 2 + c.below(4) : 1;
    pause = c.below(120) * MS;
  }

  /** Returns whether the request, once sent completely, has to be answered in time. */
  boolean owed() {
    return breach == Breach.NONE && leaving == Leaving.NEVER;
  }

  /** Returns the bytes of the request, split where the client pauses. */
  List<byte[]> bytes() {
    byte[] body = effect == Effect.SAFE ? new byte[0] : Messages.bodyOf(id, bodySize);
    byte[] head = head(body.length).getBytes(StandardCharsets.US_ASCII);
    byte[] all = Arrays.copyOf(head, head.length + body.length);
    System.arraycopy(body, 0, all, head.length, body.length);
    if (chunked && body.length > 0) {
      byte[] size = (Integer.toHexString(body.length) + "\r\n").getBytes(StandardCharsets.US_ASCII);
      byte[] end = "\r\n0\r\n\r\n".getBytes(StandardCharsets.US_ASCII);
      all = join(head, size, body, end);
    }
    List<byte[]> out = new ArrayList<>();
    int each = Math.max(1, all.length / pieces);
    for (int from = 0; from < all.length; from += each) {
      out.add(Arrays.copyOfRange(all, from, Math.min(all.length, from + each)));
    }
    return out;
  }

  private static byte[] join(byte[]... parts) {
    byte[] all = new byte[Arrays.stream(parts).mapToInt(p -> p.length).sum()];
    int at = 0;
    for (byte[] p : parts) {
      System.arraycopy(p, 0, all, at, p.length);
      at += p.length;
    }
    return all;
  }

  private String head(int length) {
    if (breach == Breach.NOT_HTTP) {
      return "\u0016\u0003\u0001 hello\r\n\r\n";
    }
    StringBuilder h = new StringBuilder();
    h.append(effect == Effect.SAFE ? "GET" : "POST")
        .append(" /")
        .append(type)
        .append("/x HTTP/1.")
        .append(breach == Breach.OLD_VERSION ? 0 : 1)
        .append("\r\n");
    h.append(breach == Breach.NO_HOST ? "" : "Host: lab\r\n");
    h.append(breach == Breach.NO_ID ? "" : "X-Correlation-Id: " + id + "\r\n");
    h.append("X-Service-Class: ")
        .append(breach == Breach.UNKNOWN_CLASS ? "nothing" : type)
        .append("\r\n");
    h.append("X-Session-Key: k")
        .append(number % 17)
        .append("\r\nX-Time-Left-Ms: ")
        .append(patience / MS)
        .append("\r\n");
    h.append(effect == Effect.KEYED ? "Idempotency-Key: " + id + "\r\n" : "");
    h.append(expects && length > 0 ? "Expect: 100-continue\r\n" : "");
    if (length > 0) {
      h.append(chunked ? "Transfer-Encoding: chunked\r\n" : "Content-Length: " + length + "\r\n");
    }
    h.append(breach == Breach.TWO_LENGTHS ? "Content-Length: 5\r\nContent-Length: 6\r\n" : "");
    h.append(breach == Breach.BAD_LINE ? "this is no field\r\n" : "");
    h.append(breach == Breach.LARGE_HEAD ? "X-Much: " + "x".repeat(20_000) + "\r\n" : "");
    return h.append("\r\n").toString();
  }
}
