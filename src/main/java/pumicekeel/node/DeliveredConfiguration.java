package pumicekeel.node;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import pumicekeel.config.Configuration;
import pumicekeel.config.Operator;
import pumicekeel.delivery.Candidate;
import pumicekeel.delivery.ConfigurationDelta;
import pumicekeel.delivery.ConfigurationStore;
import pumicekeel.delivery.ConfigurationVersion;
import pumicekeel.delivery.FileConfigurationStore;
import pumicekeel.delivery.StoredConfiguration;
import pumicekeel.delivery.client.ConfigurationSubscriber;
import pumicekeel.delivery.client.VersionTaker;
import pumicekeel.runtime.Log;
import pumicekeel.runtime.Reactor;

/**
 * Follows the control machines and puts what they deliver in force, whole or not at all. The last version is kept on disk and counts at the
 * next start, whether or not a control machine answers; the operator file counts until the first one was delivered. Texts are checked on
 * the thread {@code reload}, like the operator file.
 */
final class DeliveredConfiguration implements VersionTaker {

  /** Faults that are told to the control machines and in the log; {@code check} shows all. */
  private static final int MOST_FAULTS = 3;

  /** Between two tries to keep the version in force on a disk that fails. */
  private static final long KEEP_AGAIN_MILLIS = 500;

  private final Operator local;
  private final ConfigurationStore store;
  private final Configuration platform;
  private Node node;
  private Executor worker;
  /** Tries that failed since a version was kept last; only on the worker. */
  private int keepTries;

  private Operator first;
  private String text = "";
  /** Written by the thread that takes versions; read by any. */
  private volatile ConfigurationVersion inForce = ConfigurationVersion.NONE;

  private DeliveredConfiguration(Configuration platform, Operator local, ConfigurationStore store) {
    this.platform = platform;
    this.local = local;
    this.store = store;
    first = local;
  }

  /** Reads what was kept; an IOException where the directory is no good. Blocks. */
  static DeliveredConfiguration open(Configuration platform, Operator local) throws IOException {
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
            Duration.ofMillis(Math.max(0, System.currentTimeMillis() - stored.takenAtMillis()));
        Log.line("configuration: version " + inForce + ", taken " + age.toSeconds()
            + " s ago, is in force until the control machines tell a newer one");
        return;
      }
      Log.line("configuration: the kept version " + stored.version() + " is no good here: "
          + firstOf(faults));
    }
    Log.line("configuration: no delivered version is kept, the operator file is in force");
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

  private static String firstOf(List<String> faults) {
    String shown = String.join("; ", faults.subList(0, Math.min(MOST_FAULTS, faults.size())));
    int more = faults.size() - MOST_FAULTS;
    return more > 0 ? shown + "; and " + more + " more" : shown;
  }

  /** What a start begins with: the newest version that was kept, or else the operator file. */
  Operator first() {
    return first;
  }

  /** The version in force; NONE while the operator file is. */
  ConfigurationVersion inForce() {
    return inForce;
  }

  /** Follows the control machines from now on; the worker checks texts and reloads. */
  ConfigurationSubscriber follow(Node started, Executor worker) {
    node = started;
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
    } catch (ConfigurationDelta.Refused e) {
      return new Damaged(e.getMessage());
    }
    DeliveredOperator.Result result = DeliveredOperator.read(next, local);
    if (result.operator() == null) {
      return refuse(candidate, firstOf(result.faults()));
    }
    try {
      node.reload(result.operator());
    } catch (IllegalArgumentException e) {
      return refuse(candidate, String.valueOf(e.getMessage()));
    } catch (IOException e) {
      Log.line("configuration: version " + candidate.version() + " has to wait: " + e.getMessage());
      return new Postponed(String.valueOf(e.getMessage()));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return new Postponed("the balancer ends");
    }
    text = next;
    inForce = candidate.version();
    Log.line("configuration: version " + inForce + " is in force");
    keep();
    return new InForce();
  }

  private Outcome refuse(Candidate candidate, String why) {
    Log.line("configuration: version " + candidate.version() + " is refused, "
        + (inForce.equals(ConfigurationVersion.NONE) ? "the operator file" : "version " + inForce)
        + " stays in force: " + why);
    return new Refused(why);
  }

  /** A version that is in force serves also where the disk does not take it: then the one before counts at the next start. */
  private void keep() {
    try {
      store.save(new StoredConfiguration(inForce, System.currentTimeMillis(), text));
      if (keepTries > 0) {
        Log.line("configuration: version " + inForce + " is kept now");
      }
      keepTries = 0;
    } catch (IOException e) {
      keepTries++;
      Log.caused("configuration: version " + inForce
          + " could not be kept for the next start, tried again: " + e);
      node.loop()
          .schedule(() -> worker.execute(this::keep), KEEP_AGAIN_MILLIS, TimeUnit.MILLISECONDS);
    }
  }
}
