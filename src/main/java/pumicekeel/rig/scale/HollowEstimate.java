package pumicekeel.rig.scale;

/** What hollow balancers take in this process, on the high side: a refusal has to come before the memory is gone. */
final class HollowEstimate {

  /** A thread's stack, its selector and the pooled buffers that it has touched. */
  private static final long LOOP_BYTES = 1 << 20;
  /** An address, its number, the last word of that member and what is being passed on of it. */
  private static final long MEMBER_BYTES = 1_000;
  /** An entry of the list as it is kept, and the text it is read from. */
  private static final long UPSTREAM_BYTES = 2_000;
  /** Selector, wake-up, datagram socket, and both ends of a watch. */
  private static final long DESCRIPTORS = 6;
  /** The JVM's own files and the stand-ins'. */
  private static final long OTHER_DESCRIPTORS = 200;

  private HollowEstimate() {}

  static long bytes(int balancers, int members, int upstreams) {
    return balancers * (LOOP_BYTES + members * MEMBER_BYTES + upstreams * UPSTREAM_BYTES);
  }

  static long descriptors(int balancers) {
    return balancers * DESCRIPTORS + OTHER_DESCRIPTORS;
  }
}
