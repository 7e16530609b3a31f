package pumicekeel;

/** One attempt of a request at an upstream. */
final class Attempt {
  final Upstream upstream;
  long sentAt;
  /** In-flight time, in nanoseconds, charged to the upstream when the attempt started; corrected by its outcome. */
  double charged;

  boolean inFlight = true;
  boolean mayHaveRun;
  /** Whether the upstream may work on it: not before the last byte of the request. */
  boolean started;

  Attempt(Upstream upstream, long sentAt) {
    this.upstream = upstream;
    this.sentAt = sentAt;
  }
}
