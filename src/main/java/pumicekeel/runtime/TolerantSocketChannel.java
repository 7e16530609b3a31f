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
 * A connection that survives temporary failures of system calls. Netty closes a connection on any failed write, and on
 * any read that returns a negative count, which the JDK also returns for an interrupted call (IOStatus.INTERRUPTED,
 * -3).
 */
class TolerantSocketChannel extends NioSocketChannel {

  /** End of stream; the JDK's other negative counts mean that nothing was read yet. */
  private static final int END_OF_STREAM = -1;
  /** Delay until a failed write is retried; readiness is no signal then, since the socket counts as writable. */
  private static final long WRITE_RETRY_MILLIS = 1;

  private static final long OPTION_RETRY_MILLIS = 2;
  private static final int MAX_OPTION_ATTEMPTS = 500;
  /** Immediate attempts at a direct read; if all fail, the state is unknown. */
  private static final int MAX_READ_ATTEMPTS = 16;
  /** Polls before the socket counts as having no input: a poll that is interrupted reports nothing. */
  private static final int POLLS = 2;

  /** Since when reads fail; 0 if the last one succeeded. */
  private long readFailingSince;

  private long readDelayNanos;
  private boolean writeRetryScheduled;
  private boolean noDelayRequested;

  TolerantSocketChannel() {}

  TolerantSocketChannel(Channel parent, SocketChannel socket) {
    super(parent, socket);
  }

  @Override
  protected int doReadBytes(ByteBuf into) throws Exception {
    try {
      int read = super.doReadBytes(into);
      // Called when the socket is readable: an empty read is a failure, too.
      if (read > 0 || read == END_OF_STREAM) {
        readDelayNanos = readFailingSince == 0 ? 0 : System.nanoTime() - readFailingSince;
        readFailingSince = 0;
        return read;
      }
    } catch (IOException e) {
      if (!FailureScope.of(e).isRetryable()) {
        throw e;
      }
    }
    readFailingSince = readFailingSince == 0 ? System.nanoTime() : readFailingSince;
    return 0;
  }

  /** Returns how long reads had failed before the last successful one. */
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
      scheduleWriteRetry();
    }
  }

  private void scheduleWriteRetry() {
    if (!writeRetryScheduled) {
      writeRetryScheduled = true;
      eventLoop()
          .schedule(
              () -> {
                writeRetryScheduled = false;
                unsafe().flush();
              },
              WRITE_RETRY_MILLIS,
              TimeUnit.MILLISECONDS);
    }
  }

  @Override
  protected void doBeginRead() throws Exception {
    if (!noDelayRequested) {
      noDelayRequested = true;
      disableNagle(MAX_OPTION_ATTEMPTS);
    }
    super.doBeginRead();
  }

  /**
   * Sets TCP_NODELAY, with retries if that fails temporarily. Netty sets it when it creates the channel but ignores a
   * failure, and would close a connection whose bootstrap has the option.
   */
  private void disableNagle(int triesLeft) {
    try {
      if (isOpen() && !config().isTcpNoDelay()) {
        config().setTcpNoDelay(true);
      }
    } catch (ChannelException e) {
      if (triesLeft > 0) {
        eventLoop()
            .schedule(
                () -> disableNagle(triesLeft - 1), OPTION_RETRY_MILLIS, TimeUnit.MILLISECONDS);
      } else {
        Log.rateLimited("could not set TCP_NODELAY on a connection: " + e.getCause());
      }
    }
  }

  /** Returns whether bytes or an end of stream wait unread. */
  final Sockets.Pending pending() {
    JdkSockets jdk = JdkSockets.get();
    if (jdk == null || !isOpen()) {
      return Sockets.Pending.UNKNOWN;
    }
    try {
      for (int i = 0; i < POLLS; i++) {
        if (jdk.hasPendingInput(javaChannel())) {
          return Sockets.Pending.SOME;
        }
      }
      return Sockets.Pending.NONE;
    } catch (IOException e) {
      return Sockets.Pending.UNKNOWN;
    }
  }

  /**
   * Reads directly, bypassing Netty: returns the number of bytes, 0 for none now, -1 for the end of the stream.
   *
   * @throws InconclusiveReadException if no attempt succeeded
   * @throws IOException if the connection is broken
   */
  final int readNow(ByteBuffer into) throws IOException {
    for (int i = 0; i < MAX_READ_ATTEMPTS; i++) {
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
    throw new InconclusiveReadException();
  }

  /** Every attempt to read failed temporarily. */
  static final class InconclusiveReadException extends IOException {
    private static final long serialVersionUID = 1L;

    private InconclusiveReadException() {
      super("all reads failed temporarily");
    }
  }
}
