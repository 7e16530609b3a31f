package pumicekeel.pool;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import org.junit.jupiter.api.Test;

/** Repeats of keyed requests must reach the pool that may have run the first one. */
class KeyAffinityTest {

  private final KeyAffinity keyAffinity = new KeyAffinity(3);

  @Test
  void entryLastsForItsWindowAndEachRequestExtendsIt() {
    keyAffinity.recordAccepted("k", "a", 0, 100);
    assertEquals("a", keyAffinity.poolOf("k", 99));
    assertNull(keyAffinity.poolOf("k", 100));
    keyAffinity.recordAccepted("k", "a", 50, 100);
    assertEquals("a", keyAffinity.poolOf("k", 149));
    keyAffinity.recordAccepted("k", "a", 60, 10);
    assertEquals("a", keyAffinity.poolOf("k", 149), "a shorter window does not shorten the entry");
    for (int i = 0; i < 3; i++) {
      keyAffinity.recordNotRun("k");
    }
    assertNull(keyAffinity.poolOf("k", 61), "none of the three ran");
  }

  /** Of two requests of one key the first is refused, the second may have run: the key keeps its pool. */
  @Test
  void requestThatDidNotRunKeepsAKeyThatAnotherMayHaveRun() {
    keyAffinity.recordAccepted("k", "a", 0, 100);
    keyAffinity.recordAccepted("k", "a", 10, 100);
    keyAffinity.recordNotRun("k");
    assertEquals("a", keyAffinity.poolOf("k", 50));
    keyAffinity.recordNotRun("k");
    assertNull(keyAffinity.poolOf("k", 50));
  }

  @Test
  void tableIsBoundedAndTheOldestEntryIsEvictedFirst() {
    for (int i = 0; i < 5; i++) {
      keyAffinity.recordAccepted("k" + i, "a", i, 1_000);
    }
    assertEquals(3, keyAffinity.size());
    assertNull(keyAffinity.poolOf("k1", 5));
    assertEquals("a", keyAffinity.poolOf("k2", 5));
    assertEquals(2, keyAffinity.evicted());
    keyAffinity.recordAccepted("late", "a", 5_000, 10);
    assertEquals(1, keyAffinity.size(), "expired entries are removed first");
    assertEquals(2, keyAffinity.evicted());
  }
}
