package pumicekeel.lab.program;

import java.util.ArrayDeque;

/** Send queue of a simulated client or server; bytes are sent as the peer has buffer space for them. */
final class SendQueue {

  private final VirtualConnection.Endpoint endpoint;
  private final ArrayDeque<Object> queue = new ArrayDeque<>();
  private int offset;

  SendQueue(VirtualConnection.Endpoint endpoint) {
    this.endpoint = endpoint;
  }

  /** Adds bytes to send. */
  void send(byte[] bytes) {
    queue.add(bytes);
    flush();
  }

  /** Runs a task once everything that was added before it has been sent. */
  void thenRun(Runnable task) {
    queue.add(task);
    flush();
  }

  /** Returns whether everything has been sent. */
  boolean isEmpty() {
    return queue.isEmpty();
  }

  /** Discards everything that has not been sent. */
  void clear() {
    queue.clear();
  }

  /** Sends as much as the peer has buffer space for. */
  void flush() {
    while (!queue.isEmpty()) {
      Object next = queue.peek();
      if (next instanceof Runnable task) {
        queue.poll();
        task.run();
      } else {
        byte[] bytes = (byte[]) next;
        offset += endpoint.send(bytes, offset, bytes.length - offset);
        if (offset < bytes.length) {
          return;
        }
        offset = 0;
        queue.poll();
      }
    }
  }
}
