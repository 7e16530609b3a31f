package pumicekeel.rig.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.SplittableRandom;
import java.util.function.DoubleUnaryOperator;
import org.junit.jupiter.api.Test;
import pumicekeel.rig.scale.Slope.Shape;

class SlopeTest {

  private static final double[] SIZES = {50, 50, 50, 150, 150, 150, 350, 350, 350, 590, 590, 590};

  /** Fits the values of a curve with uniform relative noise of at most {@code noisePercent}, from a fixed seed. */
  private static Slope fit(DoubleUnaryOperator curve, double noisePercent) {
    SplittableRandom random = new SplittableRandom(1);
    double[] values = new double[SIZES.length];
    for (int i = 0; i < SIZES.length; i++) {
      double noise = 1 + noisePercent / 100 * (2 * random.nextDouble() - 1);
      values[i] = curve.applyAsDouble(SIZES[i]) * noise;
    }
    return Slope.fit(SIZES, values);
  }

  @Test
  void linearValuesAreFittedWithinTheirIntervals() {
    Slope slope = fit(size -> 1_000 + 20 * size, 3);
    assertEquals(Shape.LINEAR, slope.shape());
    assertTrue(Math.abs(slope.perUnit() - 20) <= slope.perUnitError(), slope::toString);
    assertTrue(slope.perUnitError() < 2, slope::toString);
    Slope.Projection projection = slope.at(1_000);
    assertTrue(Math.abs(projection.value() - 21_000) <= projection.error(), projection::toString);
    assertEquals(590, slope.largestSize());
  }

  @Test
  void intervalWidensBeyondTheLargestSize() {
    Slope slope = fit(size -> 1_000 + 20 * size, 3);
    assertTrue(slope.at(2_000).error() > 2 * slope.at(590).error());
  }

  @Test
  void squareIsSuperlinear() {
    assertEquals(Shape.SUPERLINEAR, fit(size -> size * size, 3).shape());
  }

  @Test
  void smallQuadraticTermBesideALinearOneIsDetected() {
    assertEquals(
        Shape.SUPERLINEAR, fit(size -> 100 * size + 0.1 * size * size, 2).shape());
  }

  @Test
  void squareRootIsSublinear() {
    assertEquals(Shape.SUBLINEAR, fit(Math::sqrt, 3).shape());
  }

  @Test
  void noiseAloneIsConstant() {
    assertEquals(Shape.CONSTANT, fit(size -> 300, 5).shape());
  }

  @Test
  void valuesWithoutNoiseAreFitted() {
    assertEquals(Shape.LINEAR, fit(size -> 3 * size, 0).shape());
    assertEquals(Shape.CONSTANT, fit(size -> 3, 0).shape());
  }

  @Test
  void tooFewSamplesAreRejected() {
    assertThrows(IllegalArgumentException.class, () -> Slope.of(List.of(), "state-bytes"));
  }
}
