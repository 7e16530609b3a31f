package pumicekeel.delivery.control;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.function.LongSupplier;
import pumicekeel.delivery.Candidate;
import pumicekeel.delivery.ConfigurationDelta;
import pumicekeel.delivery.ConfigurationDocument;
import pumicekeel.delivery.ConfigurationStore;
import pumicekeel.delivery.ConfigurationVersion;
import pumicekeel.delivery.StoredConfiguration;
import pumicekeel.delivery.VersionAcceptance;
import pumicekeel.delivery.client.VersionApplier;
import pumicekeel.delivery.control.PublishResult.Kind;
import pumicekeel.delivery.wire.DeliveryPaths.Publication;

/**
 * Decides what a control machine keeps: versions that a writer publishes and versions that peers have already. All on one thread, which
 * may block, so that two never decide at once. A version is handed on only after the store has it.
 */
final class VersionKeeper implements VersionApplier {

  private static final int MAX_LINES = 50;

  /** Hears of each version once it is kept. */
  @FunctionalInterface
  interface Listener {
    void kept(ConfigurationVersion version, ConfigurationDocument document);
  }

  private final ConfigurationStore store;
  private final TextCheck check;
  private final LongSupplier unixMillis;
  private final Listener listener;
  private ConfigurationVersion current = ConfigurationVersion.NONE;
  private String text = "";

  VersionKeeper(
      ConfigurationStore store, TextCheck check, LongSupplier unixMillis, Listener listener) {
    this.store = store;
    this.check = check;
    this.unixMillis = unixMillis;
    this.listener = listener;
  }

  /** Begins with what the store has. */
  void load() throws IOException {
    List<StoredConfiguration> newestFirst = store.load();
    for (int i = newestFirst.size() - 1; i >= 0; i--) {
      advance(newestFirst.get(i).version(), newestFirst.get(i).text());
    }
  }

  /** A writer publishes a version: checked whole, then kept, then handed on. */
  PublishResult publish(Publication publication, byte[] body) {
    ConfigurationVersion version = publication.version();
    if (!version.isOf(body)) {
      return result(
          Kind.FAULTY, List.of("the text that came is not the one of version " + version));
    }
    VersionAcceptance acceptance = VersionAcceptance.of(current, version);
    if (acceptance == VersionAcceptance.ALREADY_KEPT) {
      return result(Kind.ALREADY_KEPT, List.of());
    }
    if (!acceptance.isSuccess()) {
      return result(
          Kind.OUT_OF_ORDER,
          List.of(
              "version " + version + " does not follow " + current + ": " + acceptance.reason()));
    }
    String published = decode(body);
    List<String> faults = published == null ? List.of("expected UTF-8") : check.faults(published);
    if (!faults.isEmpty()) {
      return result(Kind.FAULTY, faults.subList(0, Math.min(MAX_LINES, faults.size())));
    }
    return publication.dryRun() ? result(Kind.WOULD_BE_KEPT, List.of()) : keep(version, published);
  }

  private PublishResult keep(ConfigurationVersion version, String published) {
    try {
      store.save(new StoredConfiguration(version, unixMillis.getAsLong(), published));
    } catch (IOException e) {
      return result(Kind.NOT_STORED, List.of("the version could not be stored: " + e));
    }
    advance(version, published);
    return result(Kind.KEPT, List.of());
  }

  /** The result of a publish that broke off; nothing was kept. */
  PublishResult failed(String why) {
    return result(Kind.FAULTY, List.of(why));
  }

  private PublishResult result(Kind kind, List<String> lines) {
    return new PublishResult(kind, current, lines);
  }

  private static String decode(byte[] body) {
    try {
      return StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(body)).toString();
    } catch (CharacterCodingException e) {
      return null;
    }
  }

  /** A version that a peer has: it was checked there, and by a newer build maybe, so only its order and its hash count. */
  @Override
  public Outcome apply(Candidate candidate) {
    if (!candidate.version().isNewerThan(current)) {
      return new Postponed("version " + current + " is kept already");
    }
    try {
      String whole = candidate.text(text);
      store.save(new StoredConfiguration(candidate.version(), unixMillis.getAsLong(), whole));
      advance(candidate.version(), whole);
      return new InForce();
    } catch (ConfigurationDelta.NotApplicableException e) {
      return new Damaged(e.getMessage());
    } catch (IOException e) {
      return new Postponed("the version could not be stored: " + e);
    }
  }

  private void advance(ConfigurationVersion version, String next) {
    current = version;
    text = next;
    listener.kept(version, ConfigurationDocument.parse(next));
  }
}
