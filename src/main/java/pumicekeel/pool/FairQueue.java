package pumicekeel.pool;

import java.util.ArrayDeque;
import java.util.function.LongSupplier;

/**
 * A round-robin queue of tasks for the event loop, one sub-queue for each pool: at most one task of each other pool runs
 * before a pool's next one, however many are waiting. Tasks are of similar size (the admission of one request), so the
 * deficit counters of deficit round robin are not needed. A run ends after a quantum; the rest runs after the loop has read
 * its sockets again.
 */
public final class FairQueue {

  /** The waiting tasks of one pool. */
  public final class PoolQueue {
    private final ArrayDeque<Runnable> waiting = new ArrayDeque<>();
    private final int capacity;

    private PoolQueue(int capacity) {
      this.capacity = capacity;
    }

    /** Enqueues a task; returns false without effect if this queue is full. */
    public boolean offer(Runnable work) {
      if (waiting.size() >= capacity) {
        return false;
      }
      waiting.add(work);
      if (waiting.size() == 1) {
        readyQueues.add(this);
      }
      return true;
    }

    public int waiting() {
      return waiting.size();
    }
  }

  private final ArrayDeque<PoolQueue> readyQueues = new ArrayDeque<>();

  /** Creates a pool's sub-queue, which holds at most {@code capacity} tasks. */
  public PoolQueue queue(int capacity) {
    return new PoolQueue(capacity);
  }

  public boolean isIdle() {
    return readyQueues.isEmpty();
  }

  /** Runs tasks until none is left or the quantum has passed, but at least one of each non-empty queue. */
  public void run(long quantumNanos, LongSupplier clock) {
    long end = clock.getAsLong() + quantumNanos;
    int readyAtStart = readyQueues.size();
    for (int done = 0;
        !readyQueues.isEmpty() && (done < readyAtStart || clock.getAsLong() - end < 0);
        done++) {
      PoolQueue queue = readyQueues.poll();
      Runnable work = queue.waiting.poll();
      if (!queue.waiting.isEmpty()) {
        readyQueues.add(queue);
      }
      work.run();
    }
  }
}
