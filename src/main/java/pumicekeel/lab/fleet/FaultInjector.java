package pumicekeel.lab.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import pumicekeel.Balancer.State;
import pumicekeel.lab.world.EventScheduler;
import pumicekeel.lab.world.FaultSpec;
import pumicekeel.lab.world.RandomStream;
import pumicekeel.lab.world.Server;

/** Schedules a world's faults on a fleet. The seed selects the upstreams and balancers that they affect. */
final class FaultInjector {

  private static final double SECOND = 1e9;

  /** Purpose of the random stream. It determines the draws: another name would change the runs of recorded seeds. */
  private static final String RANDOM_STREAM = "troubles";

  /** Time from when every balancer knows of a drain until the upstream ends: its drain grace, and some more. */
  private static final long DRAIN_NANOS = 2_500_000_000L;

  /** Start-up time of an upstream's replacement. */
  private static final long UPSTREAM_START_NANOS = 1_000_000_000L;

  /** Downtime of a balancer at a restart: the time that the next process needs until it is ready. */
  private static final long BALANCER_RESTART_NANOS = 2_500_000_000L;

  private final FleetRun run;
  private final EventScheduler scheduler;
  private final RandomStream random;

  FaultInjector(FleetRun run, long seed) {
    this.run = run;
    scheduler = run.scheduler();
    random = new RandomStream(seed, RANDOM_STREAM);
  }

  /** Schedules all faults of a world. */
  void schedule(List<FaultSpec> faults) {
    for (FaultSpec fault : faults) {
      if (fault instanceof FaultSpec.Crash crash) {
        at(
            crash.start(),
            () -> randomServers(crash.share()).forEach(server -> crash(server, crash.downtime())));
      } else if (fault instanceof FaultSpec.ZoneOutage outage) {
        at(
            outage.start(),
            () -> run.servers().stream()
                .filter(server -> server.zone.equals(Deployment.zone(outage.zone())))
                .toList()
                .forEach(server -> crash(server, outage.duration())));
      } else if (fault instanceof FaultSpec.Slow slow) {
        at(
            slow.start(),
            () -> randomServers(slow.share()).forEach(server -> {
              server.slow(slow.factor());
              in(slow.duration(), () -> server.slow(1));
            }));
      } else if (fault instanceof FaultSpec.Failing failing) {
        at(
            failing.start(),
            () -> randomServers(failing.share()).forEach(server -> {
              server.fail(failing.errorShare());
              in(failing.duration(), () -> server.fail(0));
            }));
      } else if (fault instanceof FaultSpec.ResponseLoss loss) {
        at(
            loss.start(),
            () -> randomServers(loss.share()).forEach(server -> {
              server.loseResponses(true);
              in(loss.duration(), () -> server.loseResponses(false));
            }));
      } else if (fault instanceof FaultSpec.ListDelay listDelay) {
        long usualDelay = run.discovery().maxDelayNanos();
        at(
            listDelay.start(),
            () -> run.discovery().setMaxDelay((long) (listDelay.delay() * SECOND)));
        at(listDelay.end(), () -> run.discovery().setMaxDelay(usualDelay));
      } else {
        scheduleFleetChange(fault);
      }
    }
  }

  private void scheduleFleetChange(FaultSpec fault) {
    if (fault instanceof FaultSpec.Deploy deploy) {
      at(
          deploy.start(),
          () -> inBatches(
              randomServers(deploy.share()),
              deploy.batchShare() * run.servers().size(),
              deploy.duration(),
              server -> drain(server, true)));
    } else if (fault instanceof FaultSpec.Shrink shrink) {
      at(
          shrink.start(),
          () -> inBatches(
              randomServers(1 - shrink.remainingShare()),
              1,
              shrink.duration(),
              server -> drain(server, false)));
    } else if (fault instanceof FaultSpec.Restart restart) {
      at(
          restart.start(),
          () -> inBatches(
              randomHosts(restart.share()),
              Math.max(1, restart.batchShare() * run.hosts().size()),
              restart.duration(),
              host -> takeDown(host, BALANCER_RESTART_NANOS)));
    } else if (fault instanceof FaultSpec.BalancerCrash crash) {
      at(
          crash.start(),
          () -> randomHosts(crash.share())
              .forEach(host -> takeDown(host, (long) (crash.downtime() * SECOND))));
    }
  }

  private void at(double seconds, Runnable action) {
    scheduler.at((long) (seconds * SECOND), action);
  }

  private void in(double seconds, Runnable action) {
    scheduler.in((long) (seconds * SECOND), action);
  }

  /** Returns a random share of the upstreams that are up. */
  private List<Server> randomServers(double share) {
    return randomShare(run.servers().stream().filter(Server::up).toList(), share);
  }

  private List<Host> randomHosts(double share) {
    return randomShare(run.hosts().stream().filter(Host::up).toList(), share);
  }

  private <T> List<T> randomShare(List<T> items, double share) {
    List<T> shuffled = new ArrayList<>(items);
    for (int i = shuffled.size() - 1; i > 0; i--) {
      int j = random.below(i + 1);
      T item = shuffled.get(i);
      shuffled.set(i, shuffled.get(j));
      shuffled.set(j, item);
    }
    return shuffled.subList(
        0, Math.min(shuffled.size(), (int) Math.round(share * shuffled.size())));
  }

  /** Applies an action to batches that are distributed evenly over a duration in seconds. */
  private <T> void inBatches(List<T> items, double batchSize, double duration, Consumer<T> action) {
    int size = Math.max(1, (int) batchSize);
    int batches = (items.size() + size - 1) / size;
    for (int i = 0; i < batches; i++) {
      List<T> batch = List.copyOf(items.subList(i * size, Math.min(items.size(), (i + 1) * size)));
      in(duration * i / Math.max(1, batches), () -> batch.forEach(action));
    }
  }

  private void crash(Server server, double downtime) {
    run.crash(server);
    run.discovery().change(server, State.GONE);
    in(downtime, () -> run.restart(server));
  }

  private void drain(Server server, boolean replace) {
    run.discovery().change(server, State.DRAINING);
    scheduler.in(run.discovery().maxDelayNanos() + DRAIN_NANOS, () -> {
      run.crash(server);
      run.discovery().change(server, State.GONE);
      if (replace) {
        scheduler.in(UPSTREAM_START_NANOS, () -> run.replace(server));
      }
    });
  }

  private void takeDown(Host host, long downtimeNanos) {
    if (host.up()) {
      host.crash();
      run.clients().balancerDown(host);
      scheduler.in(downtimeNanos, () -> {
        host.restart();
        run.clients().balancerUp(host);
      });
    }
  }
}
