package pumicekeel.delivery.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import pumicekeel.delivery.Candidate;
import pumicekeel.delivery.ConfigurationStore;
import pumicekeel.delivery.ConfigurationVersion;
import pumicekeel.delivery.StoredConfiguration;
import pumicekeel.delivery.client.VersionApplier;
import pumicekeel.delivery.control.PublishResult.Kind;
import pumicekeel.delivery.wire.DeliveryPaths.Publication;

/** What a control machine keeps of what writers and peers bring. */
class VersionKeeperTest {

  /** A store in memory whose disk may be full. */
  private static final class MemoryStore implements ConfigurationStore {
    private final List<StoredConfiguration> stored = new ArrayList<>();
    private boolean full;

    @Override
    public List<StoredConfiguration> load() {
      return List.copyOf(stored);
    }

    @Override
    public void save(StoredConfiguration configuration) throws IOException {
      if (full) {
        throw new IOException("No space left on device");
      }
      stored.add(0, configuration);
    }
  }

  private final MemoryStore store = new MemoryStore();
  private final List<ConfigurationVersion> kept = new ArrayList<>();
  private VersionKeeper keeper = keeper();

  private VersionKeeper keeper() {
    return new VersionKeeper(
        store,
        text -> text.contains("bad") ? List.of("1: bad: expected no such key") : List.of(),
        () -> 0,
        (version, document) -> kept.add(version));
  }

  private Kind publish(long epoch, long sequence, String text) {
    return publish(epoch, sequence, text, false);
  }

  private Kind publish(long epoch, long sequence, String text, boolean dryRun) {
    ConfigurationVersion version = ConfigurationVersion.of(epoch, sequence, text);
    byte[] body = text.getBytes(StandardCharsets.UTF_8);
    return keeper.publish(new Publication(version, dryRun), body).kind();
  }

  @Test
  void writerOfTheOlderEpochIsRefused() {
    assertEquals(Kind.KEPT, publish(1, 1, "a"));
    assertEquals(Kind.KEPT, publish(2, 1, "b"));
    assertEquals(Kind.OUT_OF_ORDER, publish(1, 2, "c"));
    assertEquals(Kind.KEPT, publish(2, 2, "d"));
    assertEquals(Kind.ALREADY_KEPT, publish(2, 2, "d"));
    assertEquals(Kind.OUT_OF_ORDER, publish(2, 2, "e"));
    assertEquals(3, kept.size());
  }

  @Test
  void versionThatIsNotStoredIsNotAnnouncedAndMayBePublishedAgain() throws IOException {
    publish(1, 1, "a");
    store.full = true;
    assertEquals(Kind.NOT_STORED, publish(1, 2, "b"));
    assertEquals(1, kept.size());
    store.full = false;
    assertEquals(Kind.KEPT, publish(1, 2, "b"));
    kept.clear();
    keeper = keeper();
    keeper.load();
    assertEquals(
        List.of("a", "b"), kept.stream().map(v -> v.sequence() == 1 ? "a" : "b").toList());
    assertEquals(Kind.OUT_OF_ORDER, publish(1, 2, "c"));
  }

  @Test
  void faultyTextAndTextOfAnotherVersionAreRefused() {
    assertEquals(Kind.FAULTY, publish(1, 1, "bad = 1"));
    byte[] other = "x".getBytes(StandardCharsets.UTF_8);
    Publication cut = new Publication(ConfigurationVersion.of(1, 1, "xy"), false);
    assertEquals(Kind.FAULTY, keeper.publish(cut, other).kind());
    assertEquals(Kind.WOULD_BE_KEPT, publish(1, 1, "a", true));
    assertEquals(List.of(), kept);
  }

  @Test
  void versionsOfPeersAreAppliedOnlyIfNewerAndIntact() {
    publish(1, 1, "a");
    ConfigurationVersion four = ConfigurationVersion.of(1, 4, "d");
    Candidate whole = new Candidate.Snapshot(four, "d".getBytes(StandardCharsets.UTF_8));
    Candidate cut = new Candidate.Snapshot(four, new byte[0]);
    assertInstanceOf(VersionApplier.Damaged.class, keeper.apply(cut));
    assertInstanceOf(VersionApplier.InForce.class, keeper.apply(whole));
    assertInstanceOf(VersionApplier.Postponed.class, keeper.apply(whole));
    assertEquals(four, kept.get(1));
  }
}
