package pumicekeel.lab.program;

import java.util.ArrayDeque;

/** Send queue of a simulated client or server; bytes are sent as the peer has buffer space for them. */
final class Outgoing {

  private final Line.End end;
  private final ArrayDeque<Object> queue = new ArrayDeque<>();
  private int offset;

  Outgoing(Line.End end) {
    this.end = end;
  }

  /** Adds bytes to send. */
  void add(byte[] bytes) {
    queue.add(bytes);
    go();
  }

  /** Runs a task once everything that was added before it has been sent. */
  void then(Runnable what) {
    queue.add(what);
    go();
  }

  /** Returns whether everything has been sent. */
  boolean empty() {
    return queue.isEmpty();
  }

  /** Discards everything that has not been sent. */
  void drop() {
    queue.clear();
  }

  /** Sends as much as the peer has buffer space for. */
  void go() {
    while (!queue.isEmpty()) {
      Object next = queue.peek();
      if (next instanceof Runnable what) {
        queue.poll();
        what.run();
      } else {
        byte[] bytes = (byte[]) next;
        offset += end.send(bytes, offset, bytes.length - offset);
        if (offset < bytes.length) {
          return;
        }
        offset = 0;
        queue.poll();
      }
    }
  }
}
