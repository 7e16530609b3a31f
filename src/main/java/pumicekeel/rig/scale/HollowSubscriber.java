package pumicekeel.rig.scale;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import pumicekeel.delivery.Candidate;
import pumicekeel.delivery.ConfigurationDelta;
import pumicekeel.delivery.ConfigurationVersion;
import pumicekeel.delivery.client.ConfigurationSubscriber;
import pumicekeel.delivery.client.VersionApplier;
import pumicekeel.runtime.Clock;
import pumicekeel.runtime.Reactor;
import pumicekeel.runtime.Sockets;

/**
 * A hollow balancer's subscription to the control machines. It takes each version whole or not at all, but reads nothing of it; what
 * reading costs is measured by {@link ConfigurationScenario}.
 */
final class HollowSubscriber {

  /**
   * Texts of versions. The subscribers of this process hold one copy together: as many copies as balancers do not fit one heap, and
   * as many times the work of a delta would be the machine's time and not the protocol's.
   */
  static final class Texts {
    private final Map<ConfigurationVersion, String> byVersion = new ConcurrentHashMap<>();

    private String of(Candidate candidate, ConfigurationVersion held)
        throws ConfigurationDelta.NotApplicableException {
      synchronized (this) {
        String known = byVersion.get(candidate.version());
        if (known == null) {
          known = candidate.text(byVersion.getOrDefault(held, ""));
          byVersion.put(candidate.version(), known);
        }
        return known;
      }
    }
  }

  private final Texts texts;
  private final ConfigurationSubscriber subscriber;
  /** Written by the worker, read by the run. */
  private volatile ConfigurationVersion held = ConfigurationVersion.NONE;

  private volatile long heldAt;

  HollowSubscriber(
      EventLoop loop,
      Sockets sockets,
      String name,
      List<InetSocketAddress> machines,
      Texts texts,
      Executor worker,
      long seed) {
    this.texts = texts;
    subscriber = new ConfigurationSubscriber(
        new Reactor(loop, new Clock(), sockets),
        name,
        machines,
        ConfigurationVersion.NONE,
        seed,
        worker,
        this::take);
  }

  private VersionApplier.Outcome take(Candidate candidate) {
    try {
      texts.of(candidate, held);
    } catch (ConfigurationDelta.NotApplicableException e) {
      return new VersionApplier.Damaged(e.getMessage());
    }
    heldAt = System.nanoTime();
    held = candidate.version();
    return new VersionApplier.InForce();
  }

  void start() {
    subscriber.start();
  }

  /** The version in force. */
  ConfigurationVersion held() {
    return held;
  }

  /** When it came into force, by System.nanoTime. */
  long heldAt() {
    return heldAt;
  }

  void close() {
    subscriber.close();
  }
}
