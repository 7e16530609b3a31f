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
final class VirtualConnection {

  /** Receives the events of one endpoint. */
  interface Listener {
    /** Bytes, an end of stream or a reset can be read. */
    void readable();

    /** The peer has buffer space again after a send was cut short. */
    void writable();
  }

  /** On average one in this many sends is split into several segments. */
  private static final int SENDS_PER_SPLIT = 8;

  private final VirtualLoop loop;
  private final RandomStream random;
  private final long delayNanos;
  private final int windowBytes;
  /** The endpoint that connected. */
  final Endpoint client;
  /** The endpoint that accepted. */
  final Endpoint server;

  /** Creates an established connection; a segment arrives after one to two times {@code delayNanos}, behind all earlier ones. */
  VirtualConnection(
      VirtualLoop loop,
      RandomStream random,
      long delayNanos,
      int windowBytes,
      InetSocketAddress client,
      InetSocketAddress server) {
    this.loop = loop;
    this.random = random;
    this.delayNanos = delayNanos;
    this.windowBytes = windowBytes;
    this.client = new Endpoint(client);
    this.server = new Endpoint(server);
    this.client.peer = this.server;
    this.server.peer = this.client;
  }

  /** One side of the connection. */
  final class Endpoint {
    final InetSocketAddress address;
    private Endpoint peer;
    private Listener listener;
    private final ArrayDeque<byte[]> received = new ArrayDeque<>();
    private int readOffset;
    private int unreadBytes;
    private int bytesInFlight;
    private long lastArrivalNanos;
    private boolean inputEnded;
    private boolean reset;
    private boolean outputEnded;
    private boolean closed;
    private boolean awaitsSpace;
    private boolean unsplit;
    /** The machine is cut off from the network: what arrives is lost without a reply. */
    private boolean isolated;

    private Endpoint(InetSocketAddress address) {
      this.address = address;
    }

    /** Sets the receiver of events; what has already arrived is announced on the loop. */
    void listener(Listener newListener) {
      listener = newListener;
      if (unreadBytes > 0 || inputEnded || reset) {
        loop.execute(() -> listener.readable());
      }
    }

    /** Returns the address of the other endpoint. */
    InetSocketAddress peerAddress() {
      return peer.address;
    }

    /** Returns the number of bytes that have arrived and have not been read. */
    int unreadBytes() {
      return unreadBytes;
    }

    /** Returns whether the peer has ended its output and all of it has been read. */
    boolean isInputOver() {
      return inputEnded && unreadBytes == 0;
    }

    /** Returns whether the peer has reset the connection. */
    boolean isReset() {
      return reset;
    }

    /** Returns whether the connection is open and nothing waits to be read, neither bytes nor an end of stream nor a reset. */
    boolean isQuiet() {
      return unreadBytes == 0 && !inputEnded && !reset && !closed;
    }

    /** Reads at most this many of the bytes that have arrived; returns their number. */
    int read(byte[] target, int from, int maxBytes) {
      int read = 0;
      while (read < maxBytes && !received.isEmpty()) {
        byte[] first = received.peek();
        int n = Math.min(maxBytes - read, first.length - readOffset);
        System.arraycopy(first, readOffset, target, from + read, n);
        read += n;
        readOffset += n;
        if (readOffset == first.length) {
          received.poll();
          readOffset = 0;
        }
      }
      unreadBytes -= read;
      if (read > 0 && peer.awaitsSpace) {
        peer.awaitsSpace = false;
        loop.runAt(loop.now() + delayNanos, peer::notifyWritable);
      }
      return read;
    }

    private void notifyWritable() {
      if (!closed && !reset && listener != null) {
        listener.writable();
      }
    }

    /** Sends as many of these bytes as the peer has buffer space for; returns their number. */
    int send(byte[] bytes, int from, int length) {
      int n = closed || outputEnded || reset
          ? 0
          : Math.min(length, windowBytes - peer.unreadBytes - peer.bytesInFlight);
      if (n < length) {
        awaitsSpace = true;
      }
      int sent = 0;
      while (sent < n) {
        int segmentBytes =
            !unsplit && random.below(SENDS_PER_SPLIT) == 0 ? 1 + random.below(n - sent) : n - sent;
        byte[] copy = new byte[segmentBytes];
        System.arraycopy(bytes, from + sent, copy, 0, segmentBytes);
        peer.bytesInFlight += segmentBytes;
        deliver(() -> peer.receive(copy));
        sent += segmentBytes;
      }
      return Math.max(0, n);
    }

    /** Selects whether each send arrives as a single segment, as far as the peer has buffer space. */
    void setUnsplit(boolean on) {
      unsplit = on;
    }

    /** Ends the output with a FIN; reading continues. */
    void shutdownOutput() {
      if (!outputEnded && !closed && !reset) {
        outputEnded = true;
        deliver(() -> peer.receiveFin());
      }
    }

    /** Closes the endpoint; unread bytes turn the close into a reset. */
    void close() {
      if (closed) {
        return;
      }
      if (unreadBytes > 0) {
        abort();
        return;
      }
      shutdownOutput();
      closed = true;
    }

    /** Resets the connection and discards what has arrived. */
    void abort() {
      if (!closed && !reset) {
        deliver(() -> peer.receiveReset());
      }
      closed = true;
      discardReceived();
    }

    /** Cuts the endpoint's machine off from the network or reconnects it; bytes that arrive after that find no connection and are reset. */
    void setIsolated(boolean on) {
      isolated = on;
      closed |= on;
    }

    private void deliver(Runnable event) {
      lastArrivalNanos = Math.max(
          lastArrivalNanos, loop.now() + delayNanos + (long) (delayNanos * random.uniform()));
      loop.runAt(lastArrivalNanos, event);
    }

    private void receive(byte[] bytes) {
      bytesInFlight -= bytes.length;
      if (isolated || reset) {
        return;
      }
      if (closed) {
        deliver(() -> peer.receiveReset());
        return;
      }
      received.add(bytes);
      unreadBytes += bytes.length;
      notifyReadable();
    }

    private void receiveFin() {
      if (!isolated && !closed) {
        inputEnded = true;
        notifyReadable();
      }
    }

    private void receiveReset() {
      if (!isolated && !reset) {
        reset = true;
        if (!closed && listener != null) {
          // A write that waits for buffer space fails now, even if the application reads nothing.
          listener.readable();
          listener.writable();
        }
      }
    }

    private void notifyReadable() {
      if (listener != null) {
        listener.readable();
      }
    }

    private void discardReceived() {
      received.clear();
      unreadBytes = 0;
      readOffset = 0;
    }
  }
}
