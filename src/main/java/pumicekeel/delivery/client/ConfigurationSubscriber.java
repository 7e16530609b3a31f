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

/** Carries a {@link Subscription} out: calls on the event loop, versions taken on another thread. */
public final class ConfigurationSubscriber {

  /** Beyond the wait that the control machine was asked for. */
  private static final long REPLY_TIMEOUT_MILLIS = 3_000;
  /** Control machines that are silent for this long are told of in the log; each call takes less. */
  private static final long SILENCE_NANOS = TimeUnit.SECONDS.toNanos(30);

  private final Reactor on;
  private final String name;
  private final List<InetSocketAddress> addresses;
  private final Executor worker;
  private final VersionTaker taker;
  private final Subscription subscription;
  private ScheduledFuture<?> wakeUp;
  private boolean closed;
  private boolean silent;

  /**
   * Makes one that asks nobody yet.
   *
   * @param held the version in force, or NONE
   * @param worker runs the taker; may block
   */
  public ConfigurationSubscriber(
      Reactor on,
      String name,
      List<InetSocketAddress> addresses,
      ConfigurationVersion held,
      long seed,
      Executor worker,
      VersionTaker taker) {
    this.on = on;
    this.name = name;
    this.addresses = List.copyOf(addresses);
    this.worker = worker;
    this.taker = taker;
    subscription = new Subscription(addresses.size(), held, seed, on.clock().now());
  }

  /** Begins to follow the control machines; for any thread. */
  public void start() {
    on.loop().execute(this::run);
  }

  /** Asks nobody any more; for any thread. */
  public void close() {
    on.loop().execute(() -> closed = true);
  }

  /** A newer version has been put in force in another way; only on the loop. */
  public void superseded(ConfigurationVersion version) {
    subscription.superseded(version, now());
    run();
  }

  private long now() {
    return on.clock().now();
  }

  private void run() {
    if (closed) {
      return;
    }
    tellOfSilence();
    Subscription.Step step = subscription.next(now());
    if (step instanceof Subscription.Rest rest) {
      wakeAt(rest.untilNanos());
    } else if (step instanceof Subscription.Ask ask) {
      ConfigurationRequest request =
          new ConfigurationRequest(report(), ask.held(), ask.known(), ask.waitMillis());
      call(ask.server(), DeliveryPaths.target(request), ask.waitMillis(), ask.call());
    } else if (step instanceof Subscription.AskPart ask) {
      PartRequest request = new PartRequest(name, ask.version(), ask.offset());
      call(ask.server(), DeliveryPaths.target(request), 0, ask.call());
    } else if (step instanceof Subscription.Take take) {
      take(take.call(), take.candidate());
    }
  }

  private void wakeAt(long nanos) {
    if (wakeUp != null) {
      wakeUp.cancel(false);
    }
    wakeUp = on.loop().schedule(this::run, nanos - now(), TimeUnit.NANOSECONDS);
  }

  private ReplicaReport report() {
    return new ReplicaReport(
        name, subscription.held(), subscription.refused(), subscription.trouble());
  }

  private void call(int server, String target, long waitMillis, long call) {
    ControlCall.begin(
        on, addresses.get(server), target, waitMillis + REPLY_TIMEOUT_MILLIS, reply -> {
          if (reply instanceof Reply.Failed failed) {
            Log.caused("configuration: " + failed.reason());
          }
          subscription.replied(call, reply, now());
          run();
        });
  }

  private void take(long call, Candidate candidate) {
    try {
      worker.execute(() -> {
        VersionTaker.Outcome outcome = outcomeOf(candidate);
        on.loop().execute(() -> ended(call, outcome));
      });
    } catch (RejectedExecutionException e) {
      closed = true;
    }
  }

  /** A defect in the taker, or a text that is too much for the memory, must not end the subscription. */
  private VersionTaker.Outcome outcomeOf(Candidate candidate) {
    try {
      return taker.take(candidate);
    } catch (RuntimeException e) {
      return new VersionTaker.Refused(e.toString());
    } catch (Error e) {
      Log.line("configuration: version " + candidate.version() + " could not be taken: " + e);
      return new VersionTaker.Postponed(e.toString());
    }
  }

  private void ended(long call, VersionTaker.Outcome outcome) {
    if (outcome instanceof VersionTaker.InForce) {
      subscription.taken(call, now());
    } else if (outcome instanceof VersionTaker.Damaged damaged) {
      subscription.damaged(call, damaged.reason(), now());
    } else if (outcome instanceof VersionTaker.Refused refused) {
      subscription.refused(call, refused.reason(), now());
    } else if (outcome instanceof VersionTaker.Postponed postponed) {
      subscription.postponed(call, postponed.reason(), now());
    }
    run();
  }

  /** One line when nobody has answered for a while, and one when somebody does again. */
  private void tellOfSilence() {
    long quiet = now() - subscription.heardAt();
    if (!silent && quiet > SILENCE_NANOS) {
      silent = true;
      Log.line("configuration: no control machine answers since "
          + TimeUnit.NANOSECONDS.toSeconds(quiet) + " s; version " + subscription.held()
          + " stays in force");
    } else if (silent && quiet < SILENCE_NANOS) {
      silent = false;
      Log.line("configuration: control machines answer again");
    }
  }
}
