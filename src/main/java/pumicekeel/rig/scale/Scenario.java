package pumicekeel.rig.scale;

import java.io.IOException;
import java.util.Map;
import java.util.concurrent.TimeoutException;

/** A measurement that can be made at any size of one axis. */
public interface Scenario {

  /** Returns the name used in commands and result files. */
  String name();

  /** Returns the part of the system whose cost is measured. */
  Role role();

  /** Returns the quantity that the sizes refer to. */
  Axis axis();

  /** Returns an upper estimate of the memory that the scenario uses on the machine at a size, in bytes. */
  long estimatedBytes(int size);

  /** Returns the part of {@link #estimatedBytes} that is in this process's heap. */
  default long estimatedHeapBytes(int size) {
    return estimatedBytes(size);
  }

  /** Returns an upper estimate of the file descriptors that the scenario opens at a size. */
  long estimatedDescriptors(int size);

  /**
   * Sets up the environment, measures, and tears the environment down.
   *
   * @return figures by name; each name ends in the unit
   * @throws RefusedException if the program rejects that size
   * @throws TimeoutException if a state that the scenario waits for is not reached by the deadline
   */
  Map<String, Double> measure(int size, long seed, Deadline deadline)
      throws RefusedException, TimeoutException, InterruptedException, IOException;

  /** Runs the measured code until it is JIT-compiled as in a process that has run for a while. */
  default void warmUp(long seed, Deadline deadline)
      throws RefusedException, TimeoutException, InterruptedException, IOException {}
}
