package pumicekeel;

/** A token bucket whose rate and capacity may change between refills. */
class TokenBucket {
  double tokens;
  long filledAt;

  /** Adds the tokens earned since the last call, up to the capacity; returns the tokens in the bucket. */
  double fill(long now, double perSecond, double capacity) {
    tokens = Math.min(capacity, tokens + perSecond * (now - filledAt) / 1e9);
    filledAt = now;
    return tokens;
  }
}
