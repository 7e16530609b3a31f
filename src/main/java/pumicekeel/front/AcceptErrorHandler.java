package pumicekeel.front;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.concurrent.TimeUnit;
import java.util.function.ToLongFunction;
import pumicekeel.runtime.FailureScope;
import pumicekeel.runtime.Log;

/**
 * Keeps a listener alive where a connection can't be accepted: it rests for as long as its owner says, and tries again. Netty's own
 * answer is a pause of a second and a record in the log, whose first use opens a file: without a descriptor for that the error ends
 * the event loop, and with it the process's service. One for each listener; on its loop.
 */
public final class AcceptErrorHandler extends ChannelInboundHandlerAdapter {

  private final String name;
  private final ToLongFunction<FailureScope> failed;
  private final Runnable acceptAgain;

  /**
   * {@code failed} is told of each failure and says for how many nanoseconds nothing is accepted; {@code acceptAgain} runs after
   * that, and says itself whether it is still wanted.
   */
  public AcceptErrorHandler(
      String name, ToLongFunction<FailureScope> failed, Runnable acceptAgain) {
    this.name = name;
    this.failed = failed;
    this.acceptAgain = acceptAgain;
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext listener, Throwable cause) {
    FailureScope scope = FailureScope.of(cause);
    long restNanos = failed.applyAsLong(scope);
    Log.caused(name + ": accept failed: " + cause.getMessage() + ", " + scope + ", rests "
        + TimeUnit.NANOSECONDS.toMillis(restNanos) + " ms");
    if (restNanos > 0) {
      listener.channel().config().setAutoRead(false);
      listener.channel().eventLoop().schedule(acceptAgain, restNanos, TimeUnit.NANOSECONDS);
    }
  }
}
