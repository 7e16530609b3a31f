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
 * A listening socket that loses no connection which the kernel has accepted: neither one whose channel can't be made at this moment,
 * nor those in line when it is closed while accepting fails. Only on its loop.
 */
final class ListeningChannel extends NioServerSocketChannel {

  private static final long AGAIN_MILLIS = 2;
  /** A descriptor that can't become a channel for so long belongs to a connection that is no more. */
  private static final long LONGEST_MAKING_NANOS = TimeUnit.SECONDS.toNanos(3);
  /** Until when those in line are let in at a close, where accepting fails. */
  private static final long LONGEST_CLOSE_NANOS = TimeUnit.MILLISECONDS.toNanos(600);

  /** A look that was interrupted sees nothing. */
  private static final int LOOKS = 2;

  private record Unmade(JdkSockets.NewDescriptor accepted, long since) {}

  private final JdkSockets jdk = JdkSockets.get();
  private final ArrayDeque<Unmade> unmade = new ArrayDeque<>();
  private boolean makesAgain;

  ListeningChannel() {}

  ListeningChannel(ServerSocketChannel socket) {
    super(socket);
  }

  @Override
  protected int doReadMessages(List<Object> into) throws IOException {
    return jdk == null ? acceptWhole(into) : acceptInSteps(into);
  }

  private int acceptWhole(List<Object> into) throws IOException {
    SocketChannel socket = javaChannel().accept();
    if (socket == null) {
      return 0;
    }
    into.add(channelOf(socket, System.nanoTime()));
    return 1;
  }

  private int acceptInSteps(List<Object> into) throws IOException {
    JdkSockets.NewDescriptor accepted = jdk.accept(javaChannel());
    if (accepted == null) {
      return 0;
    }
    Unmade next = new Unmade(accepted, System.nanoTime());
    if (!make(next, into)) {
      unmade.add(next);
      makeAgainLater();
    }
    return 1;
  }

  /** Makes the channel of a descriptor; false where that does not work at this moment. */
  private boolean make(Unmade one, List<Object> into) {
    try {
      SocketChannel socket =
          jdk.channelOf(one.accepted(), familyOf(one.accepted().peer()));
      into.add(channelOf(socket, one.since()));
      return true;
    } catch (IOException e) {
      if (System.nanoTime() - one.since() < LONGEST_MAKING_NANOS) {
        return false;
      }
      Log.caused("gave up an accepted connection of " + one.accepted().peer() + ": " + e);
      giveUp(one);
      return true;
    }
  }

  private void giveUp(Unmade one) {
    try {
      jdk.close(one.accepted());
    } catch (IOException e) {
      Log.caused("could not close a descriptor: " + e);
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
      // To Netty a listener's failure that is no IOException is its end.
      socket.close();
      throw new IOException(e);
    }
  }

  /** Whether connections stand in the kernel's line. */
  Sockets.Backlog backlog() {
    if (jdk == null) {
      return Sockets.Backlog.UNKNOWN;
    }
    try {
      for (int i = 0; i < LOOKS; i++) {
        if (jdk.waits(javaChannel())) {
          return Sockets.Backlog.WAITING;
        }
      }
      return unmade.isEmpty() ? Sockets.Backlog.EMPTY : Sockets.Backlog.WAITING;
    } catch (IOException e) {
      return Sockets.Backlog.WAITING;
    }
  }

  private void makeAgainLater() {
    if (!makesAgain) {
      makesAgain = true;
      eventLoop().schedule(this::makeAgain, AGAIN_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  private void makeAgain() {
    makesAgain = false;
    List<Object> made = new ArrayList<>();
    unmade.removeIf(one -> make(one, made));
    pass(made);
    if (!unmade.isEmpty()) {
      makeAgainLater();
    }
  }

  private void pass(List<Object> made) {
    if (!made.isEmpty()) {
      made.forEach(pipeline()::fireChannelRead);
      pipeline().fireChannelReadComplete();
    }
  }

  /** Right behind the last look at the line: one that comes in between would be reset by the close. */
  private void endSocket() {
    try {
      if (jdk != null && isOpen()) {
        jdk.endSocket(javaChannel());
      }
    } catch (IOException e) {
      Log.caused("a listener's end: " + e);
    }
  }

  /** Lets in those that stand in line, so many at most, and closes; tries again for a while where accepting fails. */
  void closeBehindLine(int most) {
    closeBehindLine(most, System.nanoTime() + LONGEST_CLOSE_NANOS);
  }

  private void closeBehindLine(int most, long until) {
    List<Object> line = new ArrayList<>();
    boolean through = false;
    try {
      int accepted = 1;
      while (line.size() < most && accepted > 0) {
        accepted = doReadMessages(line);
      }
      through = true;
    } catch (IOException e) {
      Log.caused("in line at the close: " + e);
    }
    pass(line);
    if (System.nanoTime() - until >= 0 || through && unmade.isEmpty()) {
      unmade.forEach(this::giveUp);
      endSocket();
      close();
    } else {
      int left = most - line.size();
      eventLoop().schedule(() -> closeBehindLine(left, until), AGAIN_MILLIS, TimeUnit.MILLISECONDS);
    }
  }
}
