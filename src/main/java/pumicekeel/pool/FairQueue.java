package pumicekeel.pool;

import java.util.ArrayDeque;
import java.util.function.LongSupplier;

/**
 * A round-robin queue of tasks for the event loop, one sub-queue for each pool: at most one task of each other pool runs
 * before a pool's next one, however many those have waiting. Tasks are of like size (the admission of one request), so no
 * deficit is kept. A run ends after a quantum, and the rest follows after the loop has read its sockets again.
 */
public final class FairQueue {

  /** The waiting tasks of one pool. */
  public final class PoolQueue {
    private final ArrayDeque<Runnable> waiting = new ArrayDeque<>();
    private final int most;

    private PoolQueue(int most) {
      this.most = most;
    }

    /** Lines work up; false where this queue is full, and nothing was done. */
    public boolean offer(Runnable work) {
      if (waiting.size() >= most) {
        return false;
      }
      waiting.add(work);
      if (waiting.size() == 1) {
        turn.add(this);
      }
      return true;
    }

    public int waiting() {
      return waiting.size();
    }
  }

  private final ArrayDeque<PoolQueue> turn = new ArrayDeque<>();

  /** A queue that holds at most so many pieces. */
  public PoolQueue queue(int most) {
    return new PoolQueue(most);
  }

  public boolean isIdle() {
    return turn.isEmpty();
  }

  /** Does work until none is left or so many nanoseconds have passed; at least one piece of each waiting queue. */
  public void run(long quantumNanos, LongSupplier clock) {
    long end = clock.getAsLong() + quantumNanos;
    int first = turn.size();
    for (int done = 0; !turn.isEmpty() && (done < first || clock.getAsLong() - end < 0); done++) {
      PoolQueue queue = turn.poll();
      Runnable work = queue.waiting.poll();
      if (!queue.waiting.isEmpty()) {
        turn.add(queue);
      }
      work.run();
    }
  }
}
