package pumicekeel.delivery.client;

import io.netty.util.concurrent.ScheduledFuture;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import pumicekeel.delivery.Candidate;
import pumicekeel.delivery.ConfigurationRequest;
import pumicekeel.delivery.ConfigurationVersion;
import pumicekeel.delivery.PartRequest;
import pumicekeel.delivery.ReplicaReport;
import pumicekeel.delivery.Reply;
import pumicekeel.delivery.Subscription;
import pumicekeel.delivery.wire.DeliveryPaths;
import pumicekeel.runtime.Log;
import pumicekeel.runtime.Reactor;

/** Runs a {@link Subscription}: calls on the event loop, versions applied on another thread. */
public final class ConfigurationSubscriber {

  /** Time-out in addition to the wait requested from the control machine. */
  private static final long REPLY_TIMEOUT_MILLIS = 3_000;
  /** Silence of all control machines is logged after this time; each call takes less. */
  private static final long SILENCE_LOG_NANOS = TimeUnit.SECONDS.toNanos(30);

  private final Reactor reactor;
  private final String name;
  private final List<InetSocketAddress> addresses;
  private final Executor worker;
  private final VersionApplier applier;
  private final Subscription subscription;
  private ScheduledFuture<?> wakeUp;
  private boolean closed;
  private boolean silent;

  /**
   * Creates a subscriber that has not been started.
   *
   * @param held the version in force, or NONE
   * @param worker runs the applier; may block
   */
  public ConfigurationSubscriber(
      Reactor reactor,
      String name,
      List<InetSocketAddress> addresses,
      ConfigurationVersion held,
      long seed,
      Executor worker,
      VersionApplier applier) {
    this.reactor = reactor;
    this.name = name;
    this.addresses = List.copyOf(addresses);
    this.worker = worker;
    this.applier = applier;
    subscription =
        new Subscription(addresses.size(), held, seed, reactor.clock().now());
  }

  /** Starts to poll the control machines. Thread-safe. */
  public void start() {
    reactor.loop().execute(this::run);
  }

  /** Stops polling. Thread-safe. */
  public void close() {
    reactor.loop().execute(() -> closed = true);
  }

  /** Reports that a newer version was put in force by other means; called on the loop only. */
  public void superseded(ConfigurationVersion version) {
    subscription.superseded(version, now());
    run();
  }

  private long now() {
    return reactor.clock().now();
  }

  private void run() {
    if (closed) {
      return;
    }
    logSilence();
    Subscription.Step step = subscription.next(now());
    if (step instanceof Subscription.Wait wait) {
      wakeAt(wait.untilNanos());
    } else if (step instanceof Subscription.Poll next) {
      ConfigurationRequest request =
          new ConfigurationRequest(report(), next.held(), next.known(), next.waitMillis());
      call(next.server(), DeliveryPaths.target(request), next.waitMillis(), next.call());
    } else if (step instanceof Subscription.FetchPart next) {
      PartRequest request = new PartRequest(name, next.version(), next.offset());
      call(next.server(), DeliveryPaths.target(request), 0, next.call());
    } else if (step instanceof Subscription.Apply apply) {
      apply(apply.call(), apply.candidate());
    }
  }

  private void wakeAt(long nanos) {
    if (wakeUp != null) {
      wakeUp.cancel(false);
    }
    wakeUp = reactor.loop().schedule(this::run, nanos - now(), TimeUnit.NANOSECONDS);
  }

  private ReplicaReport report() {
    return new ReplicaReport(
        name, subscription.held(), subscription.refused(), subscription.trouble());
  }

  private void call(int server, String target, long waitMillis, long call) {
    ControlCall.start(
        reactor, addresses.get(server), target, waitMillis + REPLY_TIMEOUT_MILLIS, reply -> {
          if (reply instanceof Reply.Failed failed) {
            Log.rateLimited("configuration: " + failed.reason());
          }
          subscription.replied(call, reply, now());
          run();
        });
  }

  private void apply(long call, Candidate candidate) {
    try {
      worker.execute(() -> {
        VersionApplier.Outcome outcome = outcomeOf(candidate);
        reactor.loop().execute(() -> finishApply(call, outcome));
      });
    } catch (RejectedExecutionException e) {
      closed = true;
    }
  }

  /** A defect in the applier, or a text that exceeds the memory, must not end the subscription. */
  private VersionApplier.Outcome outcomeOf(Candidate candidate) {
    try {
      return applier.take(candidate);
    } catch (RuntimeException e) {
      return new VersionApplier.Refused(e.toString());
    } catch (Error e) {
      Log.line("configuration: version " + candidate.version() + " could not be applied: " + e);
      return new VersionApplier.Postponed(e.toString());
    }
  }

  private void finishApply(long call, VersionApplier.Outcome outcome) {
    if (outcome instanceof VersionApplier.InForce) {
      subscription.applied(call, now());
    } else if (outcome instanceof VersionApplier.Damaged damaged) {
      subscription.damaged(call, damaged.reason(), now());
    } else if (outcome instanceof VersionApplier.Refused refused) {
      subscription.refused(call, refused.reason(), now());
    } else if (outcome instanceof VersionApplier.Postponed postponed) {
      subscription.postponed(call, postponed.reason(), now());
    }
    run();
  }

  /** Logs once when no control machine has replied for a while, and once when one replies again. */
  private void logSilence() {
    long silentNanos = now() - subscription.lastReplyAt();
    if (!silent && silentNanos > SILENCE_LOG_NANOS) {
      silent = true;
      Log.line("configuration: no control machine has replied for "
          + TimeUnit.NANOSECONDS.toSeconds(silentNanos) + " s; version " + subscription.held()
          + " stays in force");
    } else if (silent && silentNanos < SILENCE_LOG_NANOS) {
      silent = false;
      Log.line("configuration: control machines reply again");
    }
  }
}
