package pumicekeel.lab.program;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import pumicekeel.lab.world.RandomStream;

/**
 * A simulated TCP connection between two endpoints. Bytes arrive in order, after a delay and in segments of any size. Each endpoint holds
 * at most one window of unread bytes; beyond that the sender has to wait. An endpoint that closes with unread bytes, or that receives
 * bytes after its close, resets the connection (RFC 9293, 3.6.1 and 3.10.7). Bytes that arrived before a reset can still be read, as on
 * Linux.
 */
final class Line {

  /** Receives the events of one endpoint. */
  interface Listener {
    /** Bytes, an end of stream or a reset can be read. */
    void readable();

    /** The peer has buffer space again after a send was cut short. */
    void writable();
  }

  /** On average one in this many sends is split into several segments. */
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

  /** One side of the connection. */
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
    /** The machine is cut off from the network: what arrives is lost without a reply. */
    private boolean cut;

    private End(InetSocketAddress address) {
      this.address = address;
    }

    /** Sets the receiver of events; what has already arrived is announced on the loop. */
    void listener(Listener to) {
      listener = to;
      if (unread > 0 || ended || reset) {
        loop.execute(() -> listener.readable());
      }
    }

    /** Returns the address of the other endpoint. */
    InetSocketAddress peerAddress() {
      return peer.address;
    }

    /** Returns the number of bytes that have arrived and have not been read. */
    int unread() {
      return unread;
    }

    /** Returns whether the peer has ended its output and all of it has been read. */
    boolean over() {
      return ended && unread == 0;
    }

    /** Returns whether the peer has reset the connection. */
    boolean reset() {
      return reset;
    }

    /** Returns whether the connection is open and nothing waits to be read, neither bytes nor an end of stream nor a reset. */
    boolean quiet() {
      return unread == 0 && !ended && !reset && !closed;
    }

    /** Reads at most this many of the bytes that have arrived; returns their number. */
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

    /** Sends as many of these bytes as the peer has buffer space for; returns their number. */
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

    /** Selects whether each send arrives as a single segment, as far as the peer has buffer space. */
    void uncut(boolean on) {
      uncut = on;
    }

    /** Ends the output with a FIN; reading continues. */
    void finish() {
      if (!finished && !closed && !reset) {
        finished = true;
        arrive(() -> peer.finCame());
      }
    }

    /** Closes the endpoint; unread bytes turn the close into a reset. */
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

    /** Resets the connection and discards what has arrived. */
    void abort() {
      if (!closed && !reset) {
        arrive(() -> peer.resetCame());
      }
      closed = true;
      drop();
    }

    /** Cuts the endpoint's machine off from the network or reconnects it; bytes that arrive after that find no connection and are reset. */
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
          // A write that waits for buffer space fails now, even if the application reads nothing.
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
