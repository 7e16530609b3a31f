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
    MISSING_ID,
    UNKNOWN_CLASS,
    MISSING_HOST,
    MALFORMED_HEADER,
    CONFLICTING_LENGTHS,
    OLD_HTTP_VERSION,
    OVERSIZED_HEAD,
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

  private static final long NANOS_PER_MS = 1_000_000L;
  private static final int LARGE_BODY_BYTES = 64 << 10;

  final int number;
  final String id;
  final String className;
  final Effect effect;
  final Breach breach;
  final Leaving leaving;
  final boolean leavesAbruptly;
  final long leavesAfterNanos;
  final long timeLeftNanos;
  final boolean keepsConnection;
  final boolean reusesConnection;
  final boolean slowReader;
  final boolean chunked;
  final boolean expectsContinue;
  final int bodyBytes;
  final int pieceCount;
  final long pauseNanos;

  /** Draws the scenario of a request. */
  RequestScenario(Script script, int number) {
    this.number = number;
    id = "q" + number;
    RandomStream random = script.randomFor("ask " + number);
    int kind = random.below(4);
    effect = kind < 2 ? Effect.SAFE : kind == 2 ? Effect.KEYED : Effect.UNSAFE;
    className = kind < 2 ? "look" : kind == 2 ? "quote" : "order";
    breach = random.below(20) == 0
        ? Breach.values()[1 + random.below(Breach.values().length - 1)]
        : Breach.NONE;
    leaving = random.below(12) == 0
        ? Leaving.values()[1 + random.below(Leaving.values().length - 1)]
        : Leaving.NEVER;
    leavesAbruptly = random.below(2) == 0;
    leavesAfterNanos = (long) (random.exponential() * 20 * NANOS_PER_MS);
    timeLeftNanos = 400 * NANOS_PER_MS + random.below(1_600) * NANOS_PER_MS;
    keepsConnection = random.below(10) > 0;
    reusesConnection = random.below(8) > 0;
    slowReader = random.below(20) == 0;
    chunked = random.below(3) == 0;
    expectsContinue = random.below(20) == 0;
    int size = random.below(8) == 0
        ? LARGE_BODY_BYTES + random.below(4 * LARGE_BODY_BYTES)
        : random.below(2_000);
    bodyBytes = effect == Effect.SAFE ? 0 : size;
    pieceCount = random.below(5) == 0 ? 2 + random.below(4) : 1;
    pauseNanos = random.below(120) * NANOS_PER_MS;
  }

  /** Returns whether the request, once sent completely, has to be answered in time. */
  boolean requiresAnswer() {
    return breach == Breach.NONE && leaving == Leaving.NEVER;
  }

  /** Returns the bytes of the request, split where the client pauses. */
  List<byte[]> pieces() {
    byte[] body = effect == Effect.SAFE ? new byte[0] : HttpMessageReader.bodyOf(id, bodyBytes);
    byte[] head = head(body.length).getBytes(StandardCharsets.US_ASCII);
    byte[] all = Arrays.copyOf(head, head.length + body.length);
    System.arraycopy(body, 0, all, head.length, body.length);
    if (chunked && body.length > 0) {
      byte[] size = (Integer.toHexString(body.length) + "\r\n").getBytes(StandardCharsets.US_ASCII);
      byte[] end = "\r\n0\r\n\r\n".getBytes(StandardCharsets.US_ASCII);
      all = join(head, size, body, end);
    }
    List<byte[]> out = new ArrayList<>();
    int pieceBytes = Math.max(1, all.length / pieceCount);
    for (int from = 0; from < all.length; from += pieceBytes) {
      out.add(Arrays.copyOfRange(all, from, Math.min(all.length, from + pieceBytes)));
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

  private String head(int bodyLength) {
    if (breach == Breach.NOT_HTTP) {
      return "\u0016\u0003\u0001 hello\r\n\r\n";
    }
    StringBuilder head = new StringBuilder();
    head.append(effect == Effect.SAFE ? "GET" : "POST")
        .append(" /")
        .append(className)
        .append("/x HTTP/1.")
        .append(breach == Breach.OLD_HTTP_VERSION ? 0 : 1)
        .append("\r\n");
    head.append(breach == Breach.MISSING_HOST ? "" : "Host: lab\r\n");
    head.append(breach == Breach.MISSING_ID ? "" : "X-Correlation-Id: " + id + "\r\n");
    head.append("X-Service-Class: ")
        .append(breach == Breach.UNKNOWN_CLASS ? "nothing" : className)
        .append("\r\n");
    head.append("X-Session-Key: k")
        .append(number % 17)
        .append("\r\nX-Time-Left-Ms: ")
        .append(timeLeftNanos / NANOS_PER_MS)
        .append("\r\n");
    head.append(effect == Effect.KEYED ? "Idempotency-Key: " + id + "\r\n" : "");
    head.append(expectsContinue && bodyLength > 0 ? "Expect: 100-continue\r\n" : "");
    if (bodyLength > 0) {
      head.append(
          chunked ? "Transfer-Encoding: chunked\r\n" : "Content-Length: " + bodyLength + "\r\n");
    }
    head.append(
        breach == Breach.CONFLICTING_LENGTHS ? "Content-Length: 5\r\nContent-Length: 6\r\n" : "");
    head.append(breach == Breach.MALFORMED_HEADER ? "this is no field\r\n" : "");
    head.append(breach == Breach.OVERSIZED_HEAD ? "X-Much: " + "x".repeat(20_000) + "\r\n" : "");
    return head.append("\r\n").toString();
  }
}
