package pumicekeel;

/** One attempt of a request at an upstream. */
final class Attempt {
  final Upstream upstream;
  long sentAt;
  /** In-flight time, in nanoseconds, charged to the upstream when the attempt started; corrected by its outcome. */
  double charged;

  boolean inFlight = true;
  /** Whether its answer has begun, and may take until the request's answer deadline. */
  boolean arriving;
  /** Whether its answer was suspected to have stopped, and counted as a failure then. */
  boolean suspected;

  boolean mayHaveRun;
  /** Whether the upstream may work on it: not before the last byte of the request. */
  boolean started;
  /** Whether it counts as work of its upstream. */
  boolean counted;

  Attempt(Upstream upstream, long sentAt) {
    this.upstream = upstream;
    this.sentAt = sentAt;
  }
}
