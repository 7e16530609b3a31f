package pumicekeel.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import pumicekeel.journal.FaultyJournal;
import pumicekeel.journal.KeyMemory;
import pumicekeel.standin.StandInUpstream;
import pumicekeel.standin.StandInUpstream.Mode;

/** A journal disk that stalls or fails: keyed requests are refused at once, none is sent unrecorded, others are served. */
class JournalFailureTest {

  private final TestServices t = new TestServices();
  private FaultyJournal journal;
  private StandInUpstream q;

  private void start(boolean refuses, long maxWaitMillis) throws Exception {
    q = t.upstream("q", 0);
    t.start("[sources.s]\nstatic = " + t.list("q")
        + "\n[pools.p]\nsource = \"s\"\n[[routes]]\npool = \"p\"\n");
    journal = new FaultyJournal(t.node.loop(), refuses);
    AttemptJournal log = new AttemptJournal(
        t.node.loop(),
        t.node.servicePools().clock(),
        journal.writer,
        new KeyMemory(KeyMemory.MAX_ENTRIES),
        TimeUnit.MILLISECONDS.toNanos(maxWaitMillis));
    t.onLoop(() -> {
      t.node.servicePools().journal(log);
      return null;
    });
  }

  @AfterEach
  void stop() throws Exception {
    journal.stall(false);
    journal.writer.close();
    t.close();
  }

  private TestClient.Reply call(String text) throws Exception {
    try (TestClient client = new TestClient(t.address)) {
      return client.call(text);
    }
  }

  @Test
  void stalledDiskRefusesSoonAndHoldsNoRequest() throws Exception {
    start(true, 50);
    assertEquals("1", call(ServicePoolsTest.issue("1", "k1", "h")).body());
    journal.stall(true);
    // Each attempt of the module waits at most 50 ms for the journal, far less than the deadline of
    // 5 s.
    long before = System.nanoTime();
    TestClient.Reply reply = call(ServicePoolsTest.issue("2", "k2", "h"));
    assertTrue(reply.status() == 429 || reply.status() == 503, "status " + reply.status());
    assertTrue(System.nanoTime() - before < TimeUnit.SECONDS.toNanos(4), "not held");
    assertEquals(
        "3",
        call(ServicePoolsTest.lookup("3", "h", "")).body(),
        "a request that is not journalled is served");
    journal.stall(false);
    TestNode.until(() -> {
      try {
        return call(ServicePoolsTest.issue(
                    "4-" + System.nanoTime(), "k4-" + System.nanoTime(), "h"))
                .status()
            == 200;
      } catch (Exception e) {
        throw new AssertionError(e);
      }
    });
    assertTrue(
        q.received().stream().noneMatch(s -> s.id().equals("2")),
        "never sent, as the refusal promises");
  }

  @Test
  void failingDiskRefusesAtOnceWithTheTimeOfTheNextAttempt() throws Exception {
    start(true, 5_000);
    journal.fail(true);
    call(ServicePoolsTest.issue("1", "k1", "h"));
    TestNode.until(() -> journal.writer.retryDelayNanos() > 0);
    TestClient.Reply reply = call(ServicePoolsTest.issue("2", "k2", "h"));
    assertEquals(429, reply.status());
    assertTrue(reply.head().contains("retry-after: 0."), reply.head());
    assertEquals("3", call(ServicePoolsTest.lookup("3", "h", "")).body());
    assertTrue(q.received().stream().noneMatch(s -> s.key() != null));
    journal.fail(false);
    TestNode.until(() -> {
      try {
        return call(ServicePoolsTest.issue(
                    "4-" + System.nanoTime(), "k4-" + System.nanoTime(), "h"))
                .status()
            == 200;
      } catch (Exception e) {
        throw new AssertionError(e);
      }
    });
  }

  @Test
  void operatorMayAllowSendingWithoutARecord() throws Exception {
    start(false, 50);
    journal.fail(true);
    assertEquals("1", call(ServicePoolsTest.issue("1", "k1", "h")).body());
    journal.fail(false);
    journal.stall(true);
    assertEquals("2", call(ServicePoolsTest.issue("2", "k2", "h")).body());
  }

  /** A key that may have run in this process ties its repeats to the group, until an upstream reports that it did not run. */
  @Test
  void repeatInTheSameProcessStaysInTheGroup() throws Exception {
    q = t.upstream("q0", 0);
    t.upstream("q1", 0);
    t.start("[sources.s]\nstatic = " + t.list("q0", "q1")
        + "\n[pools.p]\nsource = \"s\"\n[[routes]]\npool = \"p\"\n");
    journal = new FaultyJournal(t.node.loop(), true);
    AttemptJournal log = new AttemptJournal(
        t.node.loop(),
        t.node.servicePools().clock(),
        journal.writer,
        new KeyMemory(KeyMemory.MAX_ENTRIES),
        TimeUnit.SECONDS.toNanos(5));
    t.onLoop(() -> {
      t.node.servicePools().journal(log);
      return null;
    });
    t.upstreams.values().forEach(u -> u.mode(Mode.RESET));
    assertEquals(502, call(ServicePoolsTest.issue("1", "k1", "h")).status());
    String upstream = seenAt("1");
    t.upstreams.values().forEach(u -> u.mode(Mode.SERVE));
    for (int i = 0; i < 6; i++) {
      int status = call(ServicePoolsTest.issue("r" + i, "k1", "h")
              .replace("Key: k\r", "Key: s" + i + "\r"))
          .status();
      assertTrue(status == 200 || status == 502, "status " + status);
      assertTrue(status == 502 || seenAt("r" + i).equals(upstream), "repeat " + i);
    }
    t.upstreams.values().forEach(u -> u.mode(Mode.FULL));
    assertEquals(429, call(ServicePoolsTest.issue("2", "k2", "h")).status());
    t.upstreams.values().forEach(u -> u.mode(Mode.SERVE));
    assertEquals(200, call(ServicePoolsTest.issue("3", "k2", "h")).status());
  }

  private String seenAt(String id) {
    return t.upstreams.entrySet().stream()
        .filter(u -> u.getValue().received().stream().anyMatch(s -> s.id().equals(id)))
        .map(java.util.Map.Entry::getKey)
        .findFirst()
        .orElse("nowhere");
  }
}
