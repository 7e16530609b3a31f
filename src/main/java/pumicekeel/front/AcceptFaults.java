package pumicekeel.front;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.util.concurrent.TimeUnit;
import pumicekeel.runtime.Log;

/**
 * Keeps a listener alive where a connection can't be accepted, for want of descriptors above all: it stops accepting, and tries again a
 * little later. Netty's own answer is a pause of a second and a record in the log, whose first use opens a file: without a
 * descriptor for that the error ends the event loop, and with it the process's service. One for each listener; on its loop.
 */
public final class AcceptFaults extends ChannelInboundHandlerAdapter {

  /** Short enough for a client in line, long enough for connections that were closed to give their descriptors back. */
  private static final long RETRY_MILLIS = 50;

  private final Runnable makeRoom;
  private final Runnable acceptAgain;

  /** {@code makeRoom} runs at once after a failure, {@code acceptAgain} a little later; it says itself whether that is still wanted. */
  public AcceptFaults(Runnable makeRoom, Runnable acceptAgain) {
    this.makeRoom = makeRoom;
    this.acceptAgain = acceptAgain;
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext listener, Throwable cause) {
    Log.caused("cannot accept: " + cause.getMessage());
    listener.channel().config().setAutoRead(false);
    makeRoom.run();
    listener.channel().eventLoop().schedule(acceptAgain, RETRY_MILLIS, TimeUnit.MILLISECONDS);
  }
}
