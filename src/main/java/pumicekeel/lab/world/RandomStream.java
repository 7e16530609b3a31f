package pumicekeel.lab.world;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import org.apache.commons.rng.simple.RandomSource;

/**
 * A stream of random numbers determined by a seed and a purpose. Each purpose has its own stream, so that two policies with the same seed
 * get the same arrivals, sizes and faults whatever they do, and their figures can be compared pair by pair.
 */
public final class RandomStream {

  private final UniformRandomProvider random;
  private final ZigguratSampler.Exponential exponential;
  private final ZigguratSampler.NormalizedGaussian gaussian;

  /** Creates the stream for a seed and a purpose; the same two always give the same numbers. */
  public RandomStream(long seed, String purpose) {
    random = RandomSource.XO_RO_SHI_RO_128_PP.create(
        new long[] {seed * 0x9e3779b97f4a7c15L + 1, purpose.hashCode() * 0x100000001L ^ seed});
    exponential = ZigguratSampler.Exponential.of(random);
    gaussian = ZigguratSampler.NormalizedGaussian.of(random);
    for (int i = 0; i < 16; i++) {
      // The first numbers of streams whose seeds differ in one bit are similar.
      random.nextLong();
    }
  }

  /** Returns the underlying generator, for samplers of other distributions. */
  public UniformRandomProvider source() {
    return random;
  }

  /** Returns a number uniform in [0, 1). */
  public double uniform() {
    return random.nextDouble();
  }

  /** Returns a number uniform in [{@code min}, {@code max}). */
  public double between(double min, double max) {
    return min + (max - min) * random.nextDouble();
  }

  /** Returns an integer uniform from 0 to {@code bound - 1}. */
  public int below(int bound) {
    return random.nextInt(bound);
  }

  /** Returns 64 random bits. */
  public long next() {
    return random.nextLong();
  }

  /** Returns an exponentially distributed number with mean 1. */
  public double exponential() {
    return exponential.sample();
  }

  /** Returns a log-normally distributed number with mean 1; {@code sigma} is the standard deviation of its logarithm. */
  public double lognormal(double sigma) {
    return Math.exp(sigma * gaussian.sample() - sigma * sigma / 2);
  }
}
