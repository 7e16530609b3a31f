package pumicekeel.rig.scale;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.List;

/** This process's heap and its threads' processor time. */
final class ProcessMeter {

  private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();
  /** One collection leaves what the one before it made unreachable through references and cleaners. */
  private static final int COLLECTIONS = 3;

  private ProcessMeter() {}

  /** Bytes of the heap that are in use after full collections. */
  static long heapAfterCollection() {
    for (int i = 0; i < COLLECTIONS; i++) {
      System.gc();
    }
    return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
  }

  /** Processor time of these threads together, in nanoseconds. */
  static long processorNanos(List<Long> threads) {
    return threads.stream().mapToLong(THREADS::getThreadCpuTime).sum();
  }

  /** Processor time of the calling thread, in nanoseconds. */
  static long processorNanos() {
    return THREADS.getCurrentThreadCpuTime();
  }

  /** Bytes that the calling thread has allocated so far. */
  static long allocatedBytes() {
    return ((com.sun.management.ThreadMXBean) THREADS).getCurrentThreadAllocatedBytes();
  }
}
