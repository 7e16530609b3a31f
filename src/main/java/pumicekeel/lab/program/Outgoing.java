package pumicekeel.lab.program;

import java.util.ArrayDeque;

/** What a stand-in has still to send on a connection: it goes as the other side makes room. */
final class Outgoing {

  private final Line.End end;
  private final ArrayDeque<Object> queue = new ArrayDeque<>();
  private int offset;

  Outgoing(Line.End end) {
    this.end = end;
  }

  void add(byte[] bytes) {
    queue.add(bytes);
    go();
  }

  /** Run once all that was added before has gone. */
  void then(Runnable what) {
    queue.add(what);
    go();
  }

  boolean empty() {
    return queue.isEmpty();
  }

  /** Nothing more of it goes. */
  void drop() {
    queue.clear();
  }

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
