package pumicekeel.delivery;

/** Longest increasing subsequence: the entries that keep their order while others are moved. */
final class IncreasingSubsequence {

  private IncreasingSubsequence() {}

  /**
   * Marks the members of one longest strictly increasing subsequence; negative values are never members. Patience sorting: O(n log n), and
   * linear if the values increase already.
   */
  static boolean[] longest(int[] values) {
    int[] tails = new int[values.length];
    int[] predecessors = new int[values.length];
    int length = 0;
    for (int i = 0; i < values.length; i++) {
      if (values[i] < 0) {
        continue;
      }
      int position = length > 0 && values[tails[length - 1]] < values[i]
          ? length
          : firstNotBelow(values, tails, length, values[i]);
      predecessors[i] = position == 0 ? -1 : tails[position - 1];
      tails[position] = i;
      length = Math.max(length, position + 1);
    }
    boolean[] member = new boolean[values.length];
    for (int i = length == 0 ? -1 : tails[length - 1]; i >= 0; i = predecessors[i]) {
      member[i] = true;
    }
    return member;
  }

  private static int firstNotBelow(int[] values, int[] tails, int length, int value) {
    int low = 0;
    int high = length;
    while (low < high) {
      int middle = (low + high) >>> 1;
      if (values[tails[middle]] < value) {
        low = middle + 1;
      } else {
        high = middle;
      }
    }
    return low;
  }
}
