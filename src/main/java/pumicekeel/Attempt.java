package pumicekeel;

/** One sending of a request. */
final class Attempt {
  final Upstream upstream;
  final long sentAt;
  /** In-flight time charged in advance. */
  final double charged;
  boolean out = true;
  boolean mayHaveRun = true;

  Attempt(Upstream upstream, long sentAt, double charged) {
    this.upstream = upstream;
    this.sentAt = sentAt;
    this.charged = charged;
  }
}
