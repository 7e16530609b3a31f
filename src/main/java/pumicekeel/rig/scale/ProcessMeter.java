package pumicekeel.rig.scale;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.List;

/** Measures the heap of this process and the processor time of its threads. */
final class ProcessMeter {

  private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();
  /** More than one, because a collection enqueues references and runs cleaners, whose objects only a later collection frees. */
  private static final int COLLECTIONS = 3;

  private ProcessMeter() {}

  /** Returns the used bytes of the heap after full garbage collections. */
  static long heapAfterCollection() {
    for (int i = 0; i < COLLECTIONS; i++) {
      System.gc();
    }
    return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
  }

  /** Returns the total processor time of the threads with these IDs, in nanoseconds. */
  static long processorNanos(List<Long> threadIds) {
    return threadIds.stream().mapToLong(THREADS::getThreadCpuTime).sum();
  }

  /** Returns the processor time of the calling thread, in nanoseconds. */
  static long processorNanos() {
    return THREADS.getCurrentThreadCpuTime();
  }

  /** Returns the number of bytes that the calling thread has allocated so far. */
  static long allocatedBytes() {
    return ((com.sun.management.ThreadMXBean) THREADS).getCurrentThreadAllocatedBytes();
  }
}
