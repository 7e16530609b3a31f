package pumicekeel.front;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.concurrent.TimeUnit;
import java.util.function.ToLongFunction;
import pumicekeel.runtime.FailureScope;
import pumicekeel.runtime.Log;

/**
 * Keeps a listener open when a connection cannot be accepted: pauses it for as long as its owner says, then resumes.
 * Netty instead pauses for a second and logs a record, and the first use of its logger opens a file: without a
 * descriptor for that, the error ends the event loop and with it the process's service. One per listener; on its loop.
 */
public final class AcceptErrorHandler extends ChannelInboundHandlerAdapter {

  private final String name;
  private final ToLongFunction<FailureScope> onFailure;
  private final Runnable resumeAccepting;

  /**
   * {@code onFailure} is notified of each failure and returns for how many nanoseconds nothing is accepted; {@code
   * resumeAccepting} runs after that, and decides itself whether accepting is still wanted.
   */
  public AcceptErrorHandler(
      String name, ToLongFunction<FailureScope> onFailure, Runnable resumeAccepting) {
    this.name = name;
    this.onFailure = onFailure;
    this.resumeAccepting = resumeAccepting;
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext listener, Throwable cause) {
    FailureScope scope = FailureScope.of(cause);
    long pauseNanos = onFailure.applyAsLong(scope);
    Log.rateLimited(name + ": accept failed: " + cause.getMessage() + ", " + scope + ", paused for "
        + TimeUnit.NANOSECONDS.toMillis(pauseNanos) + " ms");
    if (pauseNanos > 0) {
      listener.channel().config().setAutoRead(false);
      listener.channel().eventLoop().schedule(resumeAccepting, pauseNanos, TimeUnit.NANOSECONDS);
    }
  }
}
