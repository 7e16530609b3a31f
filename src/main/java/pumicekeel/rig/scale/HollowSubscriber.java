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
 * A hollow balancer's subscription to the control machines. It accepts each version completely or not at all, but does not parse it;
 * {@link ConfigurationScenario} measures the cost of parsing.
 */
final class HollowSubscriber {

  /**
   * Texts of the versions, one copy shared by all subscribers of this process: one copy per balancer would not fit into the heap, and
   * applying each delta once per balancer would load this machine, which would distort the measurement of the protocol.
   */
  static final class Texts {
    private final Map<ConfigurationVersion, String> byVersion = new ConcurrentHashMap<>();

    private String textOf(Candidate candidate, ConfigurationVersion base)
        throws ConfigurationDelta.NotApplicableException {
      synchronized (this) {
        String text = byVersion.get(candidate.version());
        if (text == null) {
          text = candidate.text(byVersion.getOrDefault(base, ""));
          byVersion.put(candidate.version(), text);
        }
        return text;
      }
    }
  }

  private final Texts texts;
  private final ConfigurationSubscriber subscriber;
  /** Written by the worker, read by the thread that measures. */
  private volatile ConfigurationVersion versionInForce = ConfigurationVersion.NONE;

  private volatile long inForceSince;

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
        this::apply);
  }

  private VersionApplier.Outcome apply(Candidate candidate) {
    try {
      texts.textOf(candidate, versionInForce);
    } catch (ConfigurationDelta.NotApplicableException e) {
      return new VersionApplier.Damaged(e.getMessage());
    }
    inForceSince = System.nanoTime();
    versionInForce = candidate.version();
    return new VersionApplier.InForce();
  }

  void start() {
    subscriber.start();
  }

  /** Returns the version in force. */
  ConfigurationVersion versionInForce() {
    return versionInForce;
  }

  /** Returns when the version came into force, by System.nanoTime. */
  long inForceSince() {
    return inForceSince;
  }

  void close() {
    subscriber.close();
  }
}
