package pumicekeel.pool;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** A flood of tasks in one pool must not delay another pool's tasks. */
class FairQueueTest {

  private final StringBuilder done = new StringBuilder();
  private long clock;
  private final FairQueue fairQueue = new FairQueue();
  private final FairQueue.PoolQueue a = fairQueue.queue(10_000);
  private final FairQueue.PoolQueue b = fairQueue.queue(2);

  private Runnable task(String name) {
    return () -> {
      done.append(name);
      clock += 10;
    };
  }

  @Test
  void taskBehindAFloodRunsNextButOne() {
    for (int i = 0; i < 1_000; i++) {
      a.offer(task("a"));
    }
    b.offer(task("b"));
    fairQueue.run(45, () -> clock);
    assertEquals("abaaa", done.toString());
    assertEquals(996, a.waiting());
    b.offer(task("b"));
    fairQueue.run(15, () -> clock);
    assertEquals("abaaaab", done.toString());
  }

  @Test
  void eachQueueRunsOneTaskHoweverShortTheQuantum() {
    a.offer(task("a"));
    a.offer(task("a"));
    b.offer(task("b"));
    fairQueue.run(0, () -> clock);
    assertEquals("ab", done.toString());
    assertFalse(fairQueue.isIdle());
    fairQueue.run(0, () -> clock);
    assertTrue(fairQueue.isIdle());
  }

  @Test
  void fullQueueRejectsAndTasksMayEnqueueMore() {
    assertTrue(b.offer(() -> b.offer(task("c"))));
    assertTrue(b.offer(task("b")));
    assertFalse(b.offer(task("b")));
    fairQueue.run(1_000, () -> clock);
    assertEquals("bc", done.toString());
    assertTrue(fairQueue.isIdle());
  }
}
