package pumicekeel.load;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInitializer;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseDecoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.SplittableRandom;
import pumicekeel.load.LoadResults.Outcome;

/**
 * Template of HTTP requests of one class, in the form that the platform's clients send.
 *
 * @param keyed whether each request is a POST with its own idempotency key; otherwise a GET
 * @param deadlineMillis how long the client waits; sent to the balancer as the time left
 */
public record HttpRequestTemplate(
    String host, String className, boolean keyed, String tenant, long deadlineMillis)
    implements RequestTemplate {

  private static final int MAX_BODY_BYTES = 1 << 20;
  /** Number of different paths. */
  private static final int PATHS = 1_000;

  /** Number of different session keys. */
  private static final int SESSIONS = 500;

  @Override
  public ClientSession openSession(SplittableRandom random) {
    return new Connection(random);
  }

  /** Sends one request at a time; the body of a correct answer is the request's id. */
  private final class Connection implements ClientSession {
    private final SplittableRandom random;
    private long number;
    private String pendingName;

    private Connection(SplittableRandom random) {
      this.random = random;
    }

    @Override
    public ChannelHandler codec() {
      return new ChannelInitializer<Channel>() {
        @Override
        protected void initChannel(Channel channel) {
          channel
              .pipeline()
              .addFirst(new HttpResponseDecoder(), new HttpObjectAggregator(MAX_BODY_BYTES));
        }
      };
    }

    @Override
    public ByteBuf encode(long firstNumber, List<String> names) {
      number = firstNumber;
      pendingName = names.get(0);
      String body = keyed ? "order " + pendingName : "";
      String text = (keyed ? "POST /" : "GET /") + className + "/" + random.nextInt(PATHS)
          + " HTTP/1.1\r\nHost: " + host
          + "\r\nX-Correlation-Id: " + pendingName + "\r\nX-Service-Class: " + className
          + "\r\nX-Account: " + tenant
          + "\r\nX-Session-Key: k" + random.nextInt(SESSIONS) + "\r\nX-Time-Left-Ms: "
          + deadlineMillis
          + (keyed
              ? "\r\nIdempotency-Key: " + pendingName + "\r\nContent-Length: " + body.length()
              : "")
          + "\r\n\r\n" + body;
      return Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII);
    }

    @Override
    public List<Reply> decode(Object message) {
      FullHttpResponse answer = (FullHttpResponse) message;
      int status = answer.status().code();
      if (pendingName == null) {
        return List.of(new Reply(-1, Outcome.WRONG, "answer " + status));
      }
      String body = answer.content().toString(StandardCharsets.UTF_8);
      boolean matches = body.equals(pendingName);
      pendingName = null;
      Outcome outcome = status == 200
          ? matches ? Outcome.SERVED : Outcome.WRONG
          : status == 429 || status == 503
              ? Outcome.REFUSED
              : status == 502 ? Outcome.FAILED : Outcome.WRONG;
      return List.of(
          new Reply(number, outcome, "answer " + status + (status == 200 ? ", body " + body : "")));
    }

    @Override
    public boolean repliesInOrder() {
      return true;
    }
  }
}
