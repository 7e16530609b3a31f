package pumicekeel;

import java.util.Arrays;
import java.util.List;
import java.util.function.ToLongFunction;

/** A hash ring: each member owns as many points as it was given; a walk goes on from a key's place. */
final class Ring {
  /** A point's low bits name its owner; more members than a list can hold. */
  private static final long OWNERS = 1 << 20;

  private final long[] points;
  private final Upstream[] owners;

  /** Plain numbers, sorted: each news of a rolling deploy makes the ring anew at every balancer. */
  Ring(List<Upstream> members, ToLongFunction<Upstream> pointsOf) {
    long[] unsorted = new long[(int) members.stream().mapToLong(pointsOf).sum()];
    int count = 0;
    for (int m = 0; m < members.size(); m++) {
      long end = count + pointsOf.applyAsLong(members.get(m));
      for (int i = 0; count < end; i++) {
        unsorted[count++] = mix(mix(members.get(m).id) + i) & -OWNERS | m;
      }
    }
    Arrays.sort(unsorted);
    points = unsorted;
    owners = Arrays.stream(points)
        .mapToObj(p -> members.get((int) (p & OWNERS - 1)))
        .toArray(Upstream[]::new);
  }

  private static long mix(long x) {
    long z = (x ^ (x >>> 30)) * 0xbf58476d1ce4e5b9L;
    z = (z ^ (z >>> 27)) * 0x94d049bb133111ebL;
    return z ^ (z >>> 31);
  }

  /** A number from 0 to 1 for a request, the same each time; it has nothing to do with the place of its id. */
  static double lot(String request) {
    return (mix(~mix(request.hashCode())) >>> 11) * 0x1p-53;
  }

  /** The place of a key. */
  int placeOf(String key) {
    int place = Arrays.binarySearch(points, mix(mix(key.hashCode())));
    return place < 0 ? -place - 1 : place;
  }

  /** The owner of a point; counting goes around the ring. */
  Upstream owner(int place) {
    return owners[place % owners.length];
  }
}
