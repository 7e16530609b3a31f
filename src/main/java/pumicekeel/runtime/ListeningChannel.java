package pumicekeel.runtime;

import io.netty.channel.ChannelException;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.io.IOException;
import java.net.Inet6Address;
import java.net.InetSocketAddress;
import java.net.ProtocolFamily;
import java.net.StandardProtocolFamily;
import java.nio.channels.ServerSocketChannel;
import java.nio.channels.SocketChannel;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * A listening socket that loses no connection accepted by the kernel: neither one whose channel temporarily cannot be
 * opened, nor those in the backlog when it closes while accepting fails. Event loop only.
 */
final class ListeningChannel extends NioServerSocketChannel {

  private static final long RETRY_MILLIS = 2;
  /** A descriptor that cannot become a channel for this long belongs to a connection that no longer exists. */
  private static final long MAX_OPENING_NANOS = TimeUnit.SECONDS.toNanos(3);
  /** How long a close waits for the backlog while accepting fails. */
  private static final long MAX_CLOSING_NANOS = TimeUnit.MILLISECONDS.toNanos(600);

  /** Polls before the backlog counts as empty: a poll that is interrupted reports nothing. */
  private static final int POLLS = 2;

  private record PendingDescriptor(JdkSockets.AcceptedDescriptor accepted, long since) {}

  private final JdkSockets jdk = JdkSockets.get();
  private final ArrayDeque<PendingDescriptor> pendingDescriptors = new ArrayDeque<>();
  private boolean retryScheduled;

  ListeningChannel() {}

  ListeningChannel(ServerSocketChannel socket) {
    super(socket);
  }

  @Override
  protected int doReadMessages(List<Object> into) throws IOException {
    return jdk == null ? acceptChannel(into) : acceptDescriptor(into);
  }

  private int acceptChannel(List<Object> into) throws IOException {
    SocketChannel socket = javaChannel().accept();
    if (socket == null) {
      return 0;
    }
    into.add(channelOf(socket, System.nanoTime()));
    return 1;
  }

  private int acceptDescriptor(List<Object> into) throws IOException {
    JdkSockets.AcceptedDescriptor accepted = jdk.accept(javaChannel());
    if (accepted == null) {
      return 0;
    }
    PendingDescriptor next = new PendingDescriptor(accepted, System.nanoTime());
    if (!openChannel(next, into)) {
      pendingDescriptors.add(next);
      scheduleRetry();
    }
    return 1;
  }

  /** Opens the channel of a descriptor; returns false if that fails temporarily. */
  private boolean openChannel(PendingDescriptor pending, List<Object> into) {
    try {
      SocketChannel socket =
          jdk.channelOf(pending.accepted(), familyOf(pending.accepted().peer()));
      into.add(channelOf(socket, pending.since()));
      return true;
    } catch (IOException e) {
      if (System.nanoTime() - pending.since() < MAX_OPENING_NANOS) {
        return false;
      }
      Log.rateLimited("closed an accepted connection whose channel could not be opened, from "
          + pending.accepted().peer() + ": " + e);
      closeDescriptor(pending);
      return true;
    }
  }

  private void closeDescriptor(PendingDescriptor pending) {
    try {
      jdk.close(pending.accepted());
    } catch (IOException e) {
      Log.rateLimited("could not close a descriptor: " + e);
    }
  }

  private static ProtocolFamily familyOf(InetSocketAddress peer) {
    return peer.getAddress() instanceof Inet6Address
        ? StandardProtocolFamily.INET6
        : StandardProtocolFamily.INET;
  }

  private NioSockets.Accepted channelOf(SocketChannel socket, long since) throws IOException {
    try {
      return new NioSockets.Accepted(this, socket, since);
    } catch (ChannelException e) {
      // Netty closes a listener on any failure that is not an IOException.
      socket.close();
      throw new IOException(e);
    }
  }

  /** Returns whether connections wait in the kernel's backlog. */
  Sockets.Backlog backlog() {
    if (jdk == null) {
      return Sockets.Backlog.UNKNOWN;
    }
    try {
      for (int i = 0; i < POLLS; i++) {
        if (jdk.hasPendingInput(javaChannel())) {
          return Sockets.Backlog.WAITING;
        }
      }
      return pendingDescriptors.isEmpty() ? Sockets.Backlog.EMPTY : Sockets.Backlog.WAITING;
    } catch (IOException e) {
      return Sockets.Backlog.WAITING;
    }
  }

  private void scheduleRetry() {
    if (!retryScheduled) {
      retryScheduled = true;
      eventLoop().schedule(this::retryPending, RETRY_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  private void retryPending() {
    retryScheduled = false;
    List<Object> openedChannels = new ArrayList<>();
    pendingDescriptors.removeIf(pending -> openChannel(pending, openedChannels));
    fireAccepted(openedChannels);
    if (!pendingDescriptors.isEmpty()) {
      scheduleRetry();
    }
  }

  private void fireAccepted(List<Object> openedChannels) {
    if (!openedChannels.isEmpty()) {
      openedChannels.forEach(pipeline()::fireChannelRead);
      pipeline().fireChannelReadComplete();
    }
  }

  /**
   * Called right after the last poll of the backlog: a connection that arrives in between would be reset by the close.
   */
  private void preCloseSocket() {
    try {
      if (jdk != null && isOpen()) {
        jdk.preCloseSocket(javaChannel());
      }
    } catch (IOException e) {
      Log.rateLimited("could not end a listening socket: " + e);
    }
  }

  /** Accepts up to this many connections of the backlog and closes; retries for a while if accepting fails. */
  void drainBacklogAndClose(int maxConnections) {
    drainBacklogAndClose(maxConnections, System.nanoTime() + MAX_CLOSING_NANOS);
  }

  private void drainBacklogAndClose(int maxConnections, long closeAt) {
    List<Object> acceptedChannels = new ArrayList<>();
    boolean drained = false;
    try {
      int accepted = 1;
      while (acceptedChannels.size() < maxConnections && accepted > 0) {
        accepted = doReadMessages(acceptedChannels);
      }
      drained = true;
    } catch (IOException e) {
      Log.rateLimited("accepting the backlog at the close failed: " + e);
    }
    fireAccepted(acceptedChannels);
    if (System.nanoTime() - closeAt >= 0 || drained && pendingDescriptors.isEmpty()) {
      pendingDescriptors.forEach(this::closeDescriptor);
      preCloseSocket();
      close();
    } else {
      int left = maxConnections - acceptedChannels.size();
      eventLoop()
          .schedule(() -> drainBacklogAndClose(left, closeAt), RETRY_MILLIS, TimeUnit.MILLISECONDS);
    }
  }
}
