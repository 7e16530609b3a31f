package pumicekeel.sim;

import java.util.BitSet;
import java.util.SplittableRandom;

/** Simulated network between the members of a fleet; loses, duplicates and delays datagrams at random. */
final class FleetNetwork {

  private static final long MS = 1_000_000L;

  private final SplittableRandom random;
  private final int size;
  private double loss;
  private double duplication;
  private long maxDelayNanos = 20 * MS;
  /** Blocked links, one bit for each ordered pair of members. */
  private final BitSet blocked = new BitSet();

  FleetNetwork(SplittableRandom random, int size) {
    this.random = random;
    this.size = size;
  }

  /** Sets the shares of datagrams that are lost and that arrive twice, and the maximum of the usual delay. */
  void setConditions(double lossShare, double duplicateShare, long newMaxDelayNanos) {
    loss = lossShare;
    duplication = duplicateShare;
    maxDelayNanos = newMaxDelayNanos;
  }

  /** Blocks all links between the members in {@code side} and the others. */
  void partition(BitSet side) {
    for (int a = 0; a < size; a++) {
      for (int b = 0; b < size; b++) {
        blocked.set(a * size + b, side.get(a) != side.get(b));
      }
    }
  }

  /** Blocks the link from one member to another; the opposite direction is unchanged. */
  void blockOneWay(int from, int to) {
    blocked.set(from * size + to);
  }

  /** Unblocks all links, ends loss and duplication, and restores the usual delay. */
  void clearFaults() {
    blocked.clear();
    setConditions(0, 0, 20 * MS);
  }

  /** Returns how often a datagram arrives; each copy after a {@link #delay} of its own. */
  int copies(int from, int to) {
    if (blocked.get(from * size + to) || random.nextDouble() < loss) {
      return 0;
    }
    return random.nextDouble() < duplication ? 2 : 1;
  }

  /** Returns a random delay, usually up to the maximum and one time in 200 far beyond it, so that datagrams are reordered. */
  long delay() {
    long typical = MS / 2 + random.nextLong(maxDelayNanos);
    return random.nextInt(200) == 0 ? typical + random.nextLong(10 * maxDelayNanos) : typical;
  }
}
