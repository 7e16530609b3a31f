package pumicekeel;

/** What a balancer knows of an upstream. */
final class Upstream {
  final long id;
  final Window window;
  /** In-flight time over the long window of bounded load. */
  final Window busy;
  final TokenBucket cold = new TokenBucket();
  Balancer.Listed listed;
  long started;
  long firstServed;
  long heardAt;
  int inFlight;
  double load;
  int failures;
  int ejections;
  long ejectedUntil;
  boolean onTrial;
  long visit;

  Upstream(long id, Window window, Window busy) {
    this.id = id;
    this.window = window;
    this.busy = busy;
  }
}
