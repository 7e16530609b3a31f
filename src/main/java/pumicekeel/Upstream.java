package pumicekeel;

/** The state that a balancer keeps about an upstream. */
final class Upstream {
  final long id;
  final Window window;
  /** In-flight time over the long window of bounded load. */
  final Window inFlightTime;
  /** The sends that a cold upstream may still get from this instance, its part if instances of the process share it. */
  final TokenBucket coldBudget = new TokenBucket() {
    @Override
    double fill(long now, double perSecond, double capacity) {
      int sharers = listed.sharers();
      return super.fill(now, perSecond / sharers, Math.max(1, capacity / sharers));
    }
  };

  Balancer.ListedUpstream listed;
  long started;
  long firstServed;
  long lastAnswerAt;
  int inFlight;
  /** Sum of the loads of the attempts in flight, in mean requests. */
  double load;

  int failures;
  int ejections;
  long ejectedUntil;
  /** Whether an attempt in flight tests it after an ejection; no other is sent until its outcome. */
  boolean onProbation;
  /** The number of the last ring walk that visited it. */
  long lastWalk;

  Upstream(long id, Window window, Window inFlightTime) {
    this.id = id;
    this.window = window;
    this.inFlightTime = inFlightTime;
  }
}
