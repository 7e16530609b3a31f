package pumicekeel.peers;

import java.util.SplittableRandom;
import java.util.function.IntPredicate;

/**
 * The order in which members are probed: all of them once per round, in an order shuffled for each round, which bounds the time until a
 * failed member is probed (SWIM, section 4.3).
 */
final class ProbeSchedule {

  private final SplittableRandom random;
  private final int[] round;
  private int position;

  ProbeSchedule(int size, SplittableRandom random) {
    this.random = random;
    round = new int[size];
    for (int i = 0; i < size; i++) {
      round[i] = i;
    }
    position = size;
  }

  /** Returns the next member that may be probed, or -1 if there is none. */
  int next(IntPredicate mayBeProbed) {
    // Within two rounds each member comes up at least once.
    for (int tries = 0; tries < 2 * round.length; tries++) {
      if (position == round.length) {
        shuffle();
        position = 0;
      }
      int member = round[position++];
      if (mayBeProbed.test(member)) {
        return member;
      }
    }
    return -1;
  }

  private void shuffle() {
    for (int i = round.length - 1; i > 0; i--) {
      int j = random.nextInt(i + 1);
      int swapped = round[i];
      round[i] = round[j];
      round[j] = swapped;
    }
  }
}
