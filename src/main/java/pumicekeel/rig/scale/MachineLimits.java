package pumicekeel.rig.scale;

import com.sun.management.UnixOperatingSystemMXBean;
import java.lang.management.ManagementFactory;

/**
 * The resources that a run may use.
 *
 * @param memoryBytes total memory of the machine
 * @param heapBytes maximum heap of this JVM
 * @param descriptors maximum number of open file descriptors of this process
 */
public record MachineLimits(long memoryBytes, long heapBytes, long descriptors) {

  private static final long MIB = 1L << 20;
  /** A run may use at most the machine's memory divided by this. */
  private static final int MEMORY_DIVISOR = 2;

  /** Returns the limits of this machine and process. */
  public static MachineLimits current() {
    UnixOperatingSystemMXBean system =
        (UnixOperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
    return new MachineLimits(
        system.getTotalMemorySize(),
        Runtime.getRuntime().maxMemory(),
        system.getMaxFileDescriptorCount());
  }

  /** Returns a one-line message that says which limit a scenario would exceed at a size; null if it exceeds none. */
  public String exceededLimit(Scenario scenario, int size) {
    long bytes = scenario.estimatedBytes(size);
    String point = scenario.name() + " at " + size + " " + scenario.axis().key();
    if (bytes > memoryBytes / MEMORY_DIVISOR) {
      return point + ": needs about " + bytes / MIB
          + " MiB, more than half of this machine's memory in MiB: " + memoryBytes / MIB;
    }
    long heap = scenario.estimatedHeapBytes(size);
    if (heap > heapBytes) {
      return point + ": needs about " + heap / MIB + " MiB, more than this JVM's heap of "
          + heapBytes / MIB + " MiB; start the JVM with a larger -Xmx";
    }
    long needed = scenario.estimatedDescriptors(size);
    if (needed > descriptors) {
      return point + ": needs about " + needed + " file descriptors, more than the limit of "
          + descriptors;
    }
    return null;
  }
}
