package pumicekeel.runtime;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.util.concurrent.TimeUnit;

/**
 * A connection that outlives calls which fail for a moment. Netty ends a connection at any failed write, and at any read that gives
 * less than nothing, which the JDK also returns for a call that was interrupted (IOStatus.INTERRUPTED, -3).
 */
class TolerantSocketChannel extends NioSocketChannel {

  /** The stream has ended; the JDK's other negative counts say that nothing was read yet. */
  private static final int END_OF_STREAM = -1;
  /** Until a write that failed is tried again; readiness says nothing then, since the socket counts as writable. */
  private static final long WRITE_AGAIN_MILLIS = 1;

  private static final long OPTION_AGAIN_MILLIS = 2;
  private static final int MOST_OPTION_TRIES = 500;
  /** Reads of the program's own that are tried at once; where all fail, nothing is known. */
  private static final int READ_TRIES = 16;
  /** A look that was interrupted sees nothing. */
  private static final int LOOKS = 2;

  /** Since when reading fails; 0 where the last read worked. */
  private long readFailsSince;

  private long readDelayNanos;
  private boolean writesAgain;
  private boolean sendsAtOnce;

  TolerantSocketChannel() {}

  TolerantSocketChannel(Channel parent, SocketChannel socket) {
    super(parent, socket);
  }

  @Override
  protected int doReadBytes(ByteBuf into) throws Exception {
    try {
      int read = super.doReadBytes(into);
      // Called where the socket is readable: nothing read is a failure, too.
      if (read > 0 || read == END_OF_STREAM) {
        readDelayNanos = readFailsSince == 0 ? 0 : System.nanoTime() - readFailsSince;
        readFailsSince = 0;
        return read;
      }
    } catch (IOException e) {
      if (!FailureScope.of(e).isRetryable()) {
        throw e;
      }
    }
    readFailsSince = readFailsSince == 0 ? System.nanoTime() : readFailsSince;
    return 0;
  }

  /** How long reading had failed before the last read that worked. */
  final long readDelayNanos() {
    return readDelayNanos;
  }

  @Override
  protected void doWrite(ChannelOutboundBuffer from) throws Exception {
    try {
      super.doWrite(from);
    } catch (IOException e) {
      if (!FailureScope.of(e).isRetryable()) {
        throw e;
      }
      writeAgainLater();
    }
  }

  private void writeAgainLater() {
    if (!writesAgain) {
      writesAgain = true;
      eventLoop()
          .schedule(
              () -> {
                writesAgain = false;
                unsafe().flush();
              },
              WRITE_AGAIN_MILLIS,
              TimeUnit.MILLISECONDS);
    }
  }

  @Override
  protected void doBeginRead() throws Exception {
    if (!sendsAtOnce) {
      sendsAtOnce = true;
      sendAtOnce(MOST_OPTION_TRIES);
    }
    super.doBeginRead();
  }

  /**
   * Sends small writes at once, also where the option can't be set at this moment. Netty sets it when it makes the channel, says
   * nothing of a failure, and would end a connection whose bootstrap has the option.
   */
  private void sendAtOnce(int triesLeft) {
    try {
      if (isOpen() && !config().isTcpNoDelay()) {
        config().setTcpNoDelay(true);
      }
    } catch (ChannelException e) {
      if (triesLeft > 0) {
        eventLoop()
            .schedule(() -> sendAtOnce(triesLeft - 1), OPTION_AGAIN_MILLIS, TimeUnit.MILLISECONDS);
      } else {
        Log.caused("a connection sends small writes late: " + e.getCause());
      }
    }
  }

  /** Whether bytes or an end wait unread. */
  final Sockets.Pending pending() {
    JdkSockets jdk = JdkSockets.get();
    if (jdk == null || !isOpen()) {
      return Sockets.Pending.UNKNOWN;
    }
    try {
      for (int i = 0; i < LOOKS; i++) {
        if (jdk.waits(javaChannel())) {
          return Sockets.Pending.SOME;
        }
      }
      return Sockets.Pending.NONE;
    } catch (IOException e) {
      return Sockets.Pending.UNKNOWN;
    }
  }

  /**
   * Reads past Netty: how many bytes, 0 for none at this moment, -1 for the end of the stream.
   *
   * @throws NotKnownException where no try could tell
   * @throws IOException where the connection is broken
   */
  final int readNow(ByteBuffer into) throws IOException {
    for (int i = 0; i < READ_TRIES; i++) {
      try {
        int read = javaChannel().read(into);
        if (read > 0 || read == END_OF_STREAM || read == 0 && pending() != Sockets.Pending.SOME) {
          return read;
        }
      } catch (IOException e) {
        if (!FailureScope.of(e).isRetryable()) {
          throw e;
        }
      }
    }
    throw new NotKnownException();
  }

  /** Reading failed for a moment, each time that it was tried. */
  static final class NotKnownException extends IOException {
    private static final long serialVersionUID = 1L;

    private NotKnownException() {
      super("reading fails at this moment");
    }
  }
}
