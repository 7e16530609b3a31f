package pumicekeel.node;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import pumicekeel.config.Configuration;
import pumicekeel.config.OperatorConfiguration;
import pumicekeel.delivery.Candidate;
import pumicekeel.delivery.ConfigurationDelta;
import pumicekeel.delivery.ConfigurationStore;
import pumicekeel.delivery.ConfigurationVersion;
import pumicekeel.delivery.FileConfigurationStore;
import pumicekeel.delivery.StoredConfiguration;
import pumicekeel.delivery.client.ConfigurationSubscriber;
import pumicekeel.delivery.client.VersionApplier;
import pumicekeel.runtime.Log;
import pumicekeel.runtime.Reactor;

/**
 * Subscribes to the control machines and applies each delivered configuration as a whole or not at all. The last applied version is stored
 * on disk and used at the next start, whether or not a control machine answers; until the first delivery the operator file is in force.
 * Texts are checked on the thread {@code reload}, like the operator file.
 */
final class DeliveredConfiguration implements VersionApplier {

  /** Limit on the faults reported to the control machines and in the log; {@code check} shows all. */
  private static final int MAX_SHOWN_FAULTS = 3;

  /** Interval between attempts to store the version in force on a failing disk. */
  private static final long STORE_RETRY_MILLIS = 500;

  private final OperatorConfiguration local;
  private final ConfigurationStore store;
  private final Configuration platform;
  private Node node;
  private Executor worker;
  /** Failed attempts since a version was last stored; worker thread only. */
  private int failedStores;

  private OperatorConfiguration first;
  private String text = "";
  /** Written by the thread that applies versions; read by any thread. */
  private volatile ConfigurationVersion inForce = ConfigurationVersion.NONE;

  private DeliveredConfiguration(
      Configuration platform, OperatorConfiguration local, ConfigurationStore store) {
    this.platform = platform;
    this.local = local;
    this.store = store;
    first = local;
  }

  /** Reads the stored versions; throws IOException if the directory is not usable. Blocks. */
  static DeliveredConfiguration open(Configuration platform, OperatorConfiguration local)
      throws IOException {
    DeliveredConfiguration delivered = new DeliveredConfiguration(
        platform, local, FileConfigurationStore.shared(local.control().directory(), Log::line));
    delivered.load();
    return delivered;
  }

  private void load() throws IOException {
    for (StoredConfiguration stored : store.load()) {
      List<String> faults = startFaults(stored);
      if (faults.isEmpty()) {
        text = stored.text();
        inForce = stored.version();
        Duration age =
            Duration.ofMillis(Math.max(0, System.currentTimeMillis() - stored.storedAtMillis()));
        Log.line("configuration: version " + inForce + ", stored " + age.toSeconds()
            + " s ago, is in force until the control machines deliver a newer one");
        return;
      }
      Log.line("configuration: stored version " + stored.version()
          + " is not valid for this process: " + summarize(faults));
    }
    Log.line("configuration: no delivered version is stored, the operator file is in force");
  }

  private List<String> startFaults(StoredConfiguration stored) {
    DeliveredOperator.Result result = DeliveredOperator.read(stored.text(), local);
    if (result.operator() == null) {
      return result.faults();
    }
    try {
      Node.check(platform, result.operator());
      first = result.operator();
      return List.of();
    } catch (IllegalArgumentException e) {
      return List.of(String.valueOf(e.getMessage()));
    }
  }

  private static String summarize(List<String> faults) {
    String summary =
        String.join("; ", faults.subList(0, Math.min(MAX_SHOWN_FAULTS, faults.size())));
    int more = faults.size() - MAX_SHOWN_FAULTS;
    return more > 0 ? summary + "; and " + more + " more" : summary;
  }

  /** Returns the operator to start with: the newest valid stored version, or else the operator file. */
  OperatorConfiguration first() {
    return first;
  }

  /** Returns the version in force; NONE while the operator file is in force. */
  ConfigurationVersion inForce() {
    return inForce;
  }

  /** Subscribes to the control machines; the worker checks texts and reloads the node. */
  ConfigurationSubscriber follow(Node startedNode, Executor worker) {
    node = startedNode;
    this.worker = worker;
    ConfigurationSubscriber subscriber = new ConfigurationSubscriber(
        Reactor.of(node.loop()),
        platform.name(),
        local.control().addresses(),
        inForce,
        platform.seed() ^ platform.name().hashCode(),
        worker,
        this);
    subscriber.start();
    return subscriber;
  }

  @Override
  public Outcome take(Candidate candidate) {
    String next;
    try {
      next = candidate.text(text);
    } catch (ConfigurationDelta.NotApplicableException e) {
      return new Damaged(e.getMessage());
    }
    DeliveredOperator.Result result = DeliveredOperator.read(next, local);
    if (result.operator() == null) {
      return refuse(candidate, summarize(result.faults()));
    }
    try {
      node.reload(result.operator());
    } catch (IllegalArgumentException e) {
      return refuse(candidate, String.valueOf(e.getMessage()));
    } catch (IOException e) {
      Log.line(
          "configuration: version " + candidate.version() + " is postponed: " + e.getMessage());
      return new Postponed(String.valueOf(e.getMessage()));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return new Postponed("the balancer ends");
    }
    text = next;
    inForce = candidate.version();
    Log.line("configuration: version " + inForce + " is in force");
    storeInForce();
    return new InForce();
  }

  private Outcome refuse(Candidate candidate, String reason) {
    Log.line("configuration: version " + candidate.version() + " is refused, "
        + (inForce.equals(ConfigurationVersion.NONE) ? "the operator file" : "version " + inForce)
        + " stays in force: " + reason);
    return new Refused(reason);
  }

  /** Stores the version in force. It stays in force if the disk fails; the next start then uses the version stored before. */
  private void storeInForce() {
    try {
      store.save(new StoredConfiguration(inForce, System.currentTimeMillis(), text));
      if (failedStores > 0) {
        Log.line("configuration: version " + inForce + " is now stored");
      }
      failedStores = 0;
    } catch (IOException e) {
      failedStores++;
      Log.rateLimited("configuration: version " + inForce
          + " could not be stored for the next start, retrying: " + e);
      node.loop()
          .schedule(
              () -> worker.execute(this::storeInForce), STORE_RETRY_MILLIS, TimeUnit.MILLISECONDS);
    }
  }
}
