package pumicekeel.delivery.control;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.TreeMap;
import pumicekeel.delivery.Candidate;
import pumicekeel.delivery.ConfigurationDelta;
import pumicekeel.delivery.ConfigurationDocument;
import pumicekeel.delivery.ConfigurationRequest;
import pumicekeel.delivery.ConfigurationVersion;
import pumicekeel.delivery.PartRequest;
import pumicekeel.delivery.ReplicaReport;
import pumicekeel.delivery.Reply;
import pumicekeel.delivery.Subscription;

/** Control machines and subscribers in virtual time, with a network that drops, duplicates and delays replies at random. */
final class DeliverySimulation {

  static final long NANOS_PER_MS = 1_000_000L;
  private static final long TIMEOUT_NANOS = 5_500 * NANOS_PER_MS;

  /** A control machine that may be down, with the calls that wait there for a newer version. */
  final class Machine {
    final ControlState state = new ControlState(random.nextLong());
    final TreeMap<Long, Integer> callsPerTenthSecond = new TreeMap<>();
    final List<Runnable> heldCalls = new ArrayList<>();
    boolean up = true;
    int maxSnapshotsInProgress;

    void advance(ConfigurationVersion version, String text) {
      state.advance(version, ConfigurationDocument.parse(text));
      List<Runnable> released = new ArrayList<>(heldCalls);
      heldCalls.clear();
      released.forEach(Runnable::run);
    }

    private void call(Replica from, Object request, long call, boolean wasHeld) {
      if (!wasHeld) {
        callsPerTenthSecond.merge(now / (100 * NANOS_PER_MS), 1, Integer::sum);
      }
      Reply reply = !up
          ? new Reply.Failed("down")
          : request instanceof PartRequest part
              ? state.answer(part, now)
              : state.answer((ConfigurationRequest) request, now);
      maxSnapshotsInProgress = Math.max(maxSnapshotsInProgress, state.snapshotsInProgress());
      if (reply != null) {
        send(from, call, reply);
        return;
      }
      Runnable release = () -> call(from, request, call, true);
      heldCalls.add(release);
      schedule(now + ((ConfigurationRequest) request).waitMillis() * NANOS_PER_MS, () -> {
        if (heldCalls.remove(release)) {
          send(from, call, new Reply.Unchanged());
        }
      });
    }
  }

  /** A subscriber and the versions that it applied, in order. */
  final class Replica {
    final String name;
    final Subscription subscription;
    final List<ConfigurationVersion> applied = new ArrayList<>();
    String text;
    long lastAppliedAt;
    int partCalls;
    boolean supportsAllKeys = true;

    private Replica(String name, ConfigurationVersion held, String text) {
      this.name = name;
      this.text = text;
      subscription = new Subscription(machines.size(), held, random.nextLong(), now);
      run();
    }

    private void run() {
      Subscription.Step step = subscription.next(now);
      if (step instanceof Subscription.Wait wait) {
        schedule(wait.untilNanos(), this::run);
      } else if (step instanceof Subscription.Poll next) {
        ReplicaReport report = new ReplicaReport(
            name, subscription.held(), subscription.refused(), subscription.trouble());
        Object request =
            new ConfigurationRequest(report, next.held(), next.known(), next.waitMillis());
        call(next.server(), request, next.call());
      } else if (step instanceof Subscription.FetchPart next) {
        partCalls++;
        call(next.server(), new PartRequest(name, next.version(), next.offset()), next.call());
      } else if (step instanceof Subscription.Apply apply) {
        schedule(now + 20 * NANOS_PER_MS, () -> apply(apply.call(), apply.candidate()));
      }
    }

    private void call(int server, Object request, long call) {
      schedule(now + latency(), () -> machines.get(server).call(this, request, call, false));
      schedule(now + TIMEOUT_NANOS, () -> replied(call, new Reply.Failed("silent")));
    }

    private void replied(long call, Reply reply) {
      subscription.replied(call, reply, now);
      run();
    }

    private void apply(long call, Candidate candidate) {
      try {
        String next = candidate.text(text);
        if (!supportsAllKeys && next.contains("unknown-key")) {
          subscription.refused(call, "unknown-key: expected a known key", now);
        } else {
          text = next;
          applied.add(candidate.version());
          lastAppliedAt = now;
          subscription.applied(call, now);
        }
      } catch (ConfigurationDelta.NotApplicableException e) {
        subscription.damaged(call, e.getMessage(), now);
      }
      run();
    }
  }

  private record Event(long at, long order, Runnable task) {}

  final SplittableRandom random;
  final List<Machine> machines = new ArrayList<>();
  final List<Replica> replicas = new ArrayList<>();
  private final PriorityQueue<Event> events = new PriorityQueue<>(
      java.util.Comparator.comparingLong(Event::at).thenComparingLong(Event::order));
  long now = 1_000 * NANOS_PER_MS;
  /** Percentage of replies that are lost. */
  int lostPercent;
  /** Percentage of replies that arrive a second time, later. */
  int duplicatedPercent;

  long maxLatencyNanos = 10 * NANOS_PER_MS;
  private long order;

  DeliverySimulation(int machineCount, long seed) {
    System.out.println("seed " + seed);
    random = new SplittableRandom(seed);
    for (int i = 0; i < machineCount; i++) {
      machines.add(new Machine());
    }
  }

  DeliverySimulation replicas(int count, ConfigurationVersion held, String text) {
    for (int i = 0; i < count; i++) {
      replicas.add(new Replica("n" + i, held, text));
    }
    return this;
  }

  void schedule(long time, Runnable task) {
    events.add(new Event(time, order++, task));
  }

  void runFor(long nanos) {
    long end = now + nanos;
    while (!events.isEmpty() && events.peek().at() <= end) {
      Event next = events.poll();
      now = Math.max(now, next.at());
      next.task().run();
    }
    now = end;
  }

  /** Publishes to all machines that are up. */
  ConfigurationVersion publish(long epoch, long sequence, String text) {
    ConfigurationVersion version = ConfigurationVersion.of(epoch, sequence, text);
    machines.stream().filter(m -> m.up).forEach(m -> m.advance(version, text));
    return version;
  }

  private void send(Replica to, long call, Reply reply) {
    if (random.nextInt(100) >= lostPercent) {
      schedule(now + latency(), () -> to.replied(call, reply));
    }
    if (random.nextInt(100) < duplicatedPercent) {
      schedule(now + 100 * latency(), () -> to.replied(call, reply));
    }
  }

  private long latency() {
    return NANOS_PER_MS + random.nextLong(maxLatencyNanos);
  }
}
