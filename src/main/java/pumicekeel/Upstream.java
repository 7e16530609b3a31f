package pumicekeel;

/** What a balancer knows of an upstream. */
final class Upstream {
  final long id;
  final Window window;
  /** In-flight time over the long window of bounded load. */
  final Window busy;
  /** What a cold upstream may still get from this instance: its part where others of the process send to it. */
  final TokenBucket cold = new TokenBucket() {
    @Override
    double fill(long now, double perSecond, double most) {
      int sharers = listed.sharers();
      return super.fill(now, perSecond / sharers, Math.max(1, most / sharers));
    }
  };

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
