package pumicekeel.front.jsonrpc;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** A few thousand inputs of the fuzzer with fixed seeds; the command {@code fuzz} runs millions. */
class CallFuzzTest {

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void everyCallEndsOnceForAnyInputAndReadBoundaries(long seed) {
    CallFuzz fuzz = new CallFuzz(seed);
    assertTrue(fuzz.run(0, 3_000, i -> {}), () -> fuzz.failure());
  }
}
