package pumicekeel.lab.program;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import pumicekeel.lab.world.RandomStream;

/**
 * One TCP connection, as its two ends see it: bytes come in order, in pieces of any size, some time later; each side holds so many
 * unread bytes and then the other has to wait; a side that closes with bytes unread, or gets more after its close, resets the other
 * (RFC 9293, 3.6.1 and 3.10.7). What had come before a reset can still be read, as on Linux.
 */
final class Line {

  /** Told what happens at an end. */
  interface Listener {
    /** Bytes, an end or a reset can be read. */
    void readable();

    /** The other side has room again after it had none. */
    void writable();
  }

  /** One write in so many is cut in two or more. */
  private static final int CUT_IN = 8;

  private final VirtualLoop loop;
  private final RandomStream random;
  private final long delay;
  private final int window;
  final End caller;
  final End called;

  Line(
      VirtualLoop loop,
      RandomStream random,
      long delay,
      int window,
      InetSocketAddress caller,
      InetSocketAddress called) {
    this.loop = loop;
    this.random = random;
    this.delay = delay;
    this.window = window;
    this.caller = new End(caller);
    this.called = new End(called);
    this.caller.peer = this.called;
    this.called.peer = this.caller;
  }

  /** One side of it. */
  final class End {
    final InetSocketAddress address;
    private End peer;
    private Listener listener;
    private final ArrayDeque<byte[]> inbox = new ArrayDeque<>();
    private int offset;
    private int unread;
    private int flying;
    private long lastArrival;
    private boolean ended;
    private boolean reset;
    private boolean finished;
    private boolean closed;
    private boolean waits;
    private boolean uncut;
    /** Nothing arrives any more and nothing is said of it: the machine is cut off. */
    private boolean cut;

    private End(InetSocketAddress address) {
      this.address = address;
    }

    void listener(Listener to) {
      listener = to;
      if (unread > 0 || ended || reset) {
        loop.execute(() -> listener.readable());
      }
    }

    InetSocketAddress peerAddress() {
      return peer.address;
    }

    int unread() {
      return unread;
    }

    /** The other side will send no more, and all that it sent has been read. */
    boolean over() {
      return ended && unread == 0;
    }

    /** The other side has given the connection up. */
    boolean reset() {
      return reset;
    }

    boolean quiet() {
      return unread == 0 && !ended && !reset && !closed;
    }

    /** Takes what there is, at most so much. */
    int read(byte[] into, int from, int most) {
      int read = 0;
      while (read < most && !inbox.isEmpty()) {
        byte[] first = inbox.peek();
        int n = Math.min(most - read, first.length - offset);
        System.arraycopy(first, offset, into, from + read, n);
        read += n;
        offset += n;
        if (offset == first.length) {
          inbox.poll();
          offset = 0;
        }
      }
      unread -= read;
      if (read > 0 && peer.waits) {
        peer.waits = false;
        loop.at(loop.now() + delay, peer::tellWritable);
      }
      return read;
    }

    private void tellWritable() {
      if (!closed && !reset && listener != null) {
        listener.writable();
      }
    }

    /** Sends what the other side has room for; the number of bytes that went. */
    int send(byte[] bytes, int from, int length) {
      int n =
          closed || finished || reset ? 0 : Math.min(length, window - peer.unread - peer.flying);
      if (n < length) {
        waits = true;
      }
      int sent = 0;
      while (sent < n) {
        int piece = !uncut && random.below(CUT_IN) == 0 ? 1 + random.below(n - sent) : n - sent;
        byte[] copy = new byte[piece];
        System.arraycopy(bytes, from + sent, copy, 0, piece);
        peer.flying += piece;
        arrive(() -> peer.came(copy));
        sent += piece;
      }
      return Math.max(0, n);
    }

    /** What is sent at once from now on comes at once, as far as there is room. */
    void uncut(boolean on) {
      uncut = on;
    }

    /** Sends no more; reading goes on. */
    void finish() {
      if (!finished && !closed && !reset) {
        finished = true;
        arrive(() -> peer.finCame());
      }
    }

    /** Closes it: a reset where bytes are left unread. */
    void close() {
      if (closed) {
        return;
      }
      if (unread > 0) {
        abort();
        return;
      }
      finish();
      closed = true;
    }

    /** Gives it up at once. */
    void abort() {
      if (!closed && !reset) {
        arrive(() -> peer.resetCame());
      }
      closed = true;
      drop();
    }

    /** Its machine is cut off, or back: then what comes meets no connection and is reset. */
    void cut(boolean on) {
      cut = on;
      closed |= on;
    }

    private void arrive(Runnable what) {
      lastArrival = Math.max(lastArrival, loop.now() + delay + (long) (delay * random.uniform()));
      loop.at(lastArrival, what);
    }

    private void came(byte[] bytes) {
      flying -= bytes.length;
      if (cut || reset) {
        return;
      }
      if (closed) {
        arrive(() -> peer.resetCame());
        return;
      }
      inbox.add(bytes);
      unread += bytes.length;
      tellReadable();
    }

    private void finCame() {
      if (!cut && !closed) {
        ended = true;
        tellReadable();
      }
    }

    private void resetCame() {
      if (!cut && !reset) {
        reset = true;
        if (!closed && listener != null) {
          // A write that waited for room fails now, whether anything is read or not.
          listener.readable();
          listener.writable();
        }
      }
    }

    private void tellReadable() {
      if (listener != null) {
        listener.readable();
      }
    }

    private void drop() {
      inbox.clear();
      unread = 0;
      offset = 0;
    }
  }
}
