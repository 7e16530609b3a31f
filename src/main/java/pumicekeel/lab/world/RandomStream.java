package pumicekeel.lab.world;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Random numbers from a seed and a purpose. Each purpose has a stream of its own, so that two policies under one seed meet the same arrivals,
 * sizes and faults whatever they do: figures can be compared pair by pair.
 */
public final class RandomStream {

  private final UniformRandomProvider random;
  private final ZigguratSampler.Exponential exponential;
  private final ZigguratSampler.NormalizedGaussian gaussian;

  /** The stream of this seed and purpose; the same two always give the same numbers. */
  public RandomStream(long seed, String purpose) {
    random = RandomSource.XO_RO_SHI_RO_128_PP.create(
        new long[] {seed * 0x9e3779b97f4a7c15L + 1, purpose.hashCode() * 0x100000001L ^ seed});
    exponential = ZigguratSampler.Exponential.of(random);
    gaussian = ZigguratSampler.NormalizedGaussian.of(random);
    for (int i = 0; i < 16; i++) {
      // Seeds that differ in a bit give streams that resemble each other at first.
      random.nextLong();
    }
  }

  /** The generator itself, for samplers of other distributions. */
  public UniformRandomProvider source() {
    return random;
  }

  /** Uniform in [0, 1). */
  public double uniform() {
    return random.nextDouble();
  }

  /** Uniform between two bounds. */
  public double between(double least, double most) {
    return least + (most - least) * random.nextDouble();
  }

  /** Uniform from 0 to {@code bound - 1}. */
  public int below(int bound) {
    return random.nextInt(bound);
  }

  /** Any 64 bits. */
  public long next() {
    return random.nextLong();
  }

  /** Exponential of mean 1. */
  public double exponential() {
    return exponential.sample();
  }

  /** Lognormal of mean 1; {@code sigma} is the deviation of its logarithm. */
  public double lognormal(double sigma) {
    return Math.exp(sigma * gaussian.sample() - sigma * sigma / 2);
  }
}
