package pumicekeel.sim;

import java.util.BitSet;
import java.util.SplittableRandom;

/** What the network does to a datagram between two members; by a seed. */
final class FleetNetwork {

  private static final long MS = 1_000_000L;

  private final SplittableRandom random;
  private final int size;
  private double loss;
  private double repeat;
  private long delayMost = 20 * MS;
  /** Pairs whose datagrams one way are lost. */
  private final BitSet cut = new BitSet();

  FleetNetwork(SplittableRandom random, int size) {
    this.random = random;
    this.size = size;
  }

  void weather(double lossPart, double repeatPart, long delayMostNanos) {
    loss = lossPart;
    repeat = repeatPart;
    delayMost = delayMostNanos;
  }

  /** Nothing passes between the two sides. */
  void partition(BitSet side) {
    for (int a = 0; a < size; a++) {
      for (int b = 0; b < size; b++) {
        cut.set(a * size + b, side.get(a) != side.get(b));
      }
    }
  }

  /** Nothing passes from one to the other; the way back is open. */
  void cutOneWay(int from, int to) {
    cut.set(from * size + to);
  }

  void heal() {
    cut.clear();
    weather(0, 0, 20 * MS);
  }

  /** How many times it arrives; each after {@link #delay}. */
  int copies(int from, int to) {
    if (cut.get(from * size + to) || random.nextDouble() < loss) {
      return 0;
    }
    return random.nextDouble() < repeat ? 2 : 1;
  }

  /** Up to the most, now and then far beyond it: late ones are overtaken. */
  long delay() {
    long usual = MS / 2 + random.nextLong(delayMost);
    return random.nextInt(200) == 0 ? usual + random.nextLong(10 * delayMost) : usual;
  }
}
