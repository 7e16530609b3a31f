package pumicekeel;

import java.util.Arrays;
import java.util.List;
import java.util.function.ToLongFunction;

/** A hash ring: each member owns a given number of points; a walk starts at a key's position. */
final class Ring {
  /** The low bits of a point hold its owner's index; exceeds the size of any list. */
  private static final long MAX_OWNERS = 1 << 20;

  private final long[] points;
  private final Upstream[] owners;

  /** Builds the ring as a sorted array of longs: each list update of a rolling deploy rebuilds it at every balancer. */
  Ring(List<Upstream> members, ToLongFunction<Upstream> pointsOf) {
    long[] unsorted = new long[(int) members.stream().mapToLong(pointsOf).sum()];
    int count = 0;
    for (int m = 0; m < members.size(); m++) {
      long end = count + pointsOf.applyAsLong(members.get(m));
      for (int i = 0; count < end; i++) {
        unsorted[count++] = mix(mix(members.get(m).id) + i) & -MAX_OWNERS | m;
      }
    }
    Arrays.sort(unsorted);
    points = unsorted;
    owners = Arrays.stream(points)
        .mapToObj(p -> members.get((int) (p & MAX_OWNERS - 1)))
        .toArray(Upstream[]::new);
  }

  private static long mix(long x) {
    long z = (x ^ (x >>> 30)) * 0xbf58476d1ce4e5b9L;
    z = (z ^ (z >>> 27)) * 0x94d049bb133111ebL;
    return z ^ (z >>> 31);
  }

  /** Returns a stable pseudo-random number from 0 to 1 for a request, independent of the position of its id. */
  static double drawOf(String request) {
    return (mix(~mix(request.hashCode())) >>> 11) * 0x1p-53;
  }

  /** Returns the ring position of a key. */
  int positionOf(String key) {
    int position = Arrays.binarySearch(points, mix(mix(key.hashCode())));
    return position < 0 ? -position - 1 : position;
  }

  /** Returns the owner of a point; positions wrap around the ring. */
  Upstream owner(int position) {
    return owners[position % owners.length];
  }
}
