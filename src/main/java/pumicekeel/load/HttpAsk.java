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
import pumicekeel.load.Account.End;

/** A request of the platform's protocol: a class, whether it has a key, how long its client waits. */
public record HttpAsk(
    String host, String className, boolean keyed, String tenant, long deadlineMillis)
    implements Ask {

  private static final int MOST_BODY = 1 << 20;
  private static final int PATHS = 1_000;
  private static final int SESSIONS = 500;

  @Override
  public Speech on(SplittableRandom random) {
    return new Connection(random);
  }

  /** One at a time; the body of an answer is its request's id. */
  private final class Connection implements Speech {
    private final SplittableRandom random;
    private long number;
    private String waiting;

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
              .addFirst(new HttpResponseDecoder(), new HttpObjectAggregator(MOST_BODY));
        }
      };
    }

    @Override
    public ByteBuf ask(long first, List<String> names) {
      number = first;
      waiting = names.get(0);
      String body = keyed ? "order " + waiting : "";
      String text = (keyed ? "POST /" : "GET /") + className + "/" + random.nextInt(PATHS)
          + " HTTP/1.1\r\nHost: " + host
          + "\r\nX-Correlation-Id: " + waiting + "\r\nX-Service-Class: " + className
          + "\r\nX-Account: " + tenant
          + "\r\nX-Session-Key: k" + random.nextInt(SESSIONS) + "\r\nX-Time-Left-Ms: "
          + deadlineMillis
          + (keyed
              ? "\r\nIdempotency-Key: " + waiting + "\r\nContent-Length: " + body.length()
              : "")
          + "\r\n\r\n" + body;
      return Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII);
    }

    @Override
    public List<Told> read(Object message) {
      FullHttpResponse answer = (FullHttpResponse) message;
      int status = answer.status().code();
      if (waiting == null) {
        return List.of(new Told(-1, End.WRONG, "answer " + status));
      }
      String body = answer.content().toString(StandardCharsets.UTF_8);
      boolean own = body.equals(waiting);
      waiting = null;
      End how = status == 200
          ? own ? End.SERVED : End.WRONG
          : status == 429 || status == 503 ? End.REFUSED : status == 502 ? End.FAILED : End.WRONG;
      return List.of(
          new Told(number, how, "answer " + status + (status == 200 ? ", body " + body : "")));
    }

    @Override
    public boolean inOrder() {
      return true;
    }
  }
}
