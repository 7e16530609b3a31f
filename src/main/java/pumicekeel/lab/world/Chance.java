package pumicekeel.lab.world;

import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Chance by a seed and a purpose. Each purpose has a stream of its own, so that two policies under one seed meet the same arrivals,
 * sizes and troubles whatever they do: figures can be compared pair by pair.
 */
public final class Chance {

  private final UniformRandomProvider random;
  private final ZigguratSampler.Exponential exponential;
  private final ZigguratSampler.NormalizedGaussian gaussian;

  public Chance(long seed, String purpose) {
    random = RandomSource.XO_RO_SHI_RO_128_PP.create(
        new long[] {seed * 0x9e3779b97f4a7c15L + 1, purpose.hashCode() * 0x100000001L ^ seed});
    exponential = ZigguratSampler.Exponential.of(random);
    gaussian = ZigguratSampler.NormalizedGaussian.of(random);
    for (int i = 0; i < 16; i++) {
      // Seeds that differ in a bit give streams that resemble each other at first.
      random.nextLong();
    }
  }

  public UniformRandomProvider source() {
    return random;
  }

  public double uniform() {
    return random.nextDouble();
  }

  public double between(double least, double most) {
    return least + (most - least) * random.nextDouble();
  }

  public int below(int bound) {
    return random.nextInt(bound);
  }

  public long next() {
    return random.nextLong();
  }

  /** Of mean 1. */
  public double exponential() {
    return exponential.sample();
  }

  /** Of mean 1; sigma is that of its logarithm. */
  public double lognormal(double sigma) {
    return Math.exp(sigma * gaussian.sample() - sigma * sigma / 2);
  }
}
