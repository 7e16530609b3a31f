package pumicekeel.front.jsonrpc;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Some thousands of the inputs that the command {@code fuzz} plays by the million; its seeds are fixed here. */
class CallFuzzTest {

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void everyCallEndsOnceWhateverComesAndHoweverItIsCut(long seed) {
    CallFuzz fuzz = new CallFuzz(seed);
    assertTrue(fuzz.run(0, 3_000, i -> {}), () -> fuzz.failure());
  }
}
