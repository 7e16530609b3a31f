package pumicekeel.rig.scale;

/** Upper estimates of the resources that hollow balancers use in this process: a size is to be rejected before memory runs out. */
final class HollowEstimate {

  /** A thread's stack, its selector and the pooled buffers that it has used. */
  private static final long LOOP_BYTES = 1 << 20;
  /** An address, its index, the last state received about the member and the update about it that is being gossiped. */
  private static final long MEMBER_BYTES = 1_000;
  /** A list entry as stored, and the text from which it is parsed. */
  private static final long UPSTREAM_BYTES = 2_000;
  /** Selector, wake-up descriptor, datagram socket, and both ends of a watch. */
  private static final long LOOP_DESCRIPTORS = 6;
  /** Descriptors of the JVM and of the stand-ins. */
  private static final long BASE_DESCRIPTORS = 200;

  private HollowEstimate() {}

  static long bytes(int balancers, int members, int upstreams) {
    return balancers * (LOOP_BYTES + members * MEMBER_BYTES + upstreams * UPSTREAM_BYTES);
  }

  static long descriptors(int balancers) {
    return balancers * LOOP_DESCRIPTORS + BASE_DESCRIPTORS;
  }
}
