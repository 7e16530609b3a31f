package pumicekeel;

/** One sending of a request. */
final class Attempt {
  final Upstream upstream;
  long sentAt;
  /** In-flight time charged in advance. */
  double charged;

  boolean out = true;
  boolean mayHaveRun;
  /** It counts as work of its upstream: not before the request's last byte. */
  boolean works;

  Attempt(Upstream upstream, long sentAt) {
    this.upstream = upstream;
    this.sentAt = sentAt;
  }
}
