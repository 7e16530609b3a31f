package pumicekeel.runtime;

import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.EventLoop;
import pumicekeel.guard.ServingGuard;

/**
 * What the serving code runs on: one event loop, its clock and its sockets, all provided from outside, the one guard
 * that all parts consult, the memory for what peers make the process keep, and where errors on the loop are reported.
 */
public record Reactor(
    EventLoop loop,
    Clock clock,
    Sockets sockets,
    ServingGuard guard,
    PayloadMemory memory,
    FatalErrors errors) {

  /** Creates a reactor with its own guard, and with a fixed part of the heap for payloads. */
  public Reactor(EventLoop loop, Clock clock, Sockets sockets) {
    this(loop, clock, sockets, PayloadMemory.ofHeap());
  }

  /** Creates a reactor with its own guard. */
  public Reactor(EventLoop loop, Clock clock, Sockets sockets, PayloadMemory memory) {
    this(loop, clock, sockets, memory, new FatalErrors());
  }

  private Reactor(
      EventLoop loop, Clock clock, Sockets sockets, PayloadMemory memory, FatalErrors errors) {
    this(loop, clock, sockets, new ServingGuard(Log::line, Log::rateLimited), memory, errors);
  }

  /** Starts an event loop on the system's sockets, with its own thread and the system's time. */
  public static Reactor start() {
    return start(new Clock());
  }

  /** Starts an event loop on the system's sockets, with its own thread and the given time. */
  public static Reactor start(Clock clock) {
    FatalErrors errors = new FatalErrors();
    EventLoop loop = CheckedEventLoop.start(VerifiedIoHandler.newFactory(), errors);
    return new Reactor(loop, clock, new NioSockets(), PayloadMemory.ofHeap(), errors);
  }

  /** Creates a reactor on a running event loop of the system's sockets. */
  public static Reactor of(EventLoop loop) {
    return new Reactor(loop, new Clock(), new NioSockets());
  }

  /**
   * Creates an outgoing channel; null if the process is out of descriptors. In Netty's own bootstrap such a connect
   * fails on another thread, with a channel that cannot be closed.
   */
  public Channel newConnectingChannel() {
    try {
      return sockets.newConnectingChannel();
    } catch (ChannelException e) {
      Log.rateLimited("no descriptor for an outgoing connection: " + e.getCause());
      return null;
    }
  }
}
