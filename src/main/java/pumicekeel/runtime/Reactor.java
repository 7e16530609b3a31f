package pumicekeel.runtime;

import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import pumicekeel.guard.ServingGuard;

/**
 * What the serving code runs on: one event loop, its time, and the channels that it opens, which come from outside; and the one guard
 * that all of its parts ask.
 */
public record Reactor(EventLoop loop, Clock clock, Sockets sockets, ServingGuard guard) {

  /** With a guard of its own. */
  public Reactor(EventLoop loop, Clock clock, Sockets sockets) {
    this(loop, clock, sockets, new ServingGuard(Log::line, Log::caused));
  }

  /** A loop of the system's sockets, with a thread of its own and the system's time. */
  public static Reactor start() {
    return of(new MultiThreadIoEventLoopGroup(1, VerifiedIoHandler.newFactory()).next());
  }

  /** A loop of the system's sockets that runs already. */
  public static Reactor of(EventLoop loop) {
    return new Reactor(loop, new Clock(), new NioSockets());
  }

  /**
   * A channel to connect with; null where the process has no descriptor left for one. Left to Netty, such a connect fails on
   * another thread, with a channel that can't be closed.
   */
  public Channel newConnectingChannel() {
    try {
      return sockets.newConnectingChannel();
    } catch (ChannelException e) {
      Log.caused("no descriptor for a connection: " + e.getCause());
      return null;
    }
  }
}
