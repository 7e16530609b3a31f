package pumicekeel.rig.scale;

import com.sun.management.UnixOperatingSystemMXBean;
import java.lang.management.ManagementFactory;

/** What a run may take of this machine. */
public record MachineLimits(long memoryBytes, long heapBytes, long descriptors) {

  private static final long MIB = 1L << 20;
  /** A run may not take more than this part of the machine's memory. */
  private static final int MEMORY_PARTS = 2;

  /** Those of this machine and process. */
  public static MachineLimits current() {
    UnixOperatingSystemMXBean system =
        (UnixOperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
    return new MachineLimits(
        system.getTotalMemorySize(),
        Runtime.getRuntime().maxMemory(),
        system.getMaxFileDescriptorCount());
  }

  /** Why a scenario may not be played at a size; null where it may. */
  public String exceededLimit(Scenario scenario, int size) {
    long bytes = scenario.estimatedBytes(size);
    String what = scenario.name() + " at " + size + " " + scenario.axis().key();
    if (bytes > memoryBytes / MEMORY_PARTS) {
      return what + ": would take some " + bytes / MIB + " MiB, more than half of this machine's "
          + memoryBytes / MIB;
    }
    long heap = scenario.estimatedHeapBytes(size);
    if (heap > heapBytes) {
      return what + ": would take some " + heap / MIB + " MiB, more than this JVM's heap of "
          + heapBytes / MIB + "; start it with a larger -Xmx";
    }
    long needed = scenario.estimatedDescriptors(size);
    if (needed > descriptors) {
      return what + ": would open some " + needed + " descriptors, more than the limit of "
          + descriptors;
    }
    return null;
  }
}
