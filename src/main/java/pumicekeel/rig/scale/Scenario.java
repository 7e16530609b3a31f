package pumicekeel.rig.scale;

import java.io.IOException;
import java.util.Map;
import java.util.concurrent.TimeoutException;

/** Something that can be measured at any size of one axis. */
public interface Scenario {

  /** As commands and result files write it. */
  String name();

  /** Whose cost it measures. */
  Role role();

  Axis axis();

  /** What the scenario takes of the machine's memory at a size, in bytes, on the high side. */
  long estimatedBytes(int size);

  /** What of that is in this process's heap. */
  default long estimatedHeapBytes(int size) {
    return estimatedBytes(size);
  }

  /** Open descriptors that it takes at a size, on the high side. */
  long estimatedDescriptors(int size);

  /**
   * Sets everything up, measures, and takes everything down again.
   *
   * @return figures by name; the name ends in the unit
   * @throws RefusedException where the program does not take that size
   * @throws TimeoutException where a state that it waits for has not come by the deadline
   */
  Map<String, Double> measure(int size, long seed, Deadline deadline)
      throws RefusedException, TimeoutException, InterruptedException, IOException;

  /** Runs the code that is measured until it is compiled as in a process that has run for a while. */
  default void warmUp(long seed, Deadline deadline)
      throws RefusedException, TimeoutException, InterruptedException, IOException {}
}
