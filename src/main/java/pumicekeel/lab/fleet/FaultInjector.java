package pumicekeel.lab.fleet;

import java.util.ArrayList;
import java.util.List;
import pumicekeel.Balancer.State;
import pumicekeel.lab.world.EventScheduler;
import pumicekeel.lab.world.FaultSpec;
import pumicekeel.lab.world.RandomStream;
import pumicekeel.lab.world.Server;

/** Schedules a world's faults on a fleet; the seed chooses which upstreams and balancers they hit. */
final class FaultInjector {

  private static final double SECOND = 1e9;

  /** The name decides the draws; a new one would change what a recorded seed plays. */
  private static final String RANDOM_STREAM = "troubles";

  /** A drained upstream ends when all have been told and have had their grace, and its successor needs so long to start. */
  private static final long GRACE = 2_500_000_000L;

  private static final long START = 1_000_000_000L;
  /** A balancer is away for so long at a restart: the next process needs this to its readiness. */
  private static final long BALANCER_START = 2_500_000_000L;

  private final FleetRun run;
  private final EventScheduler scheduler;
  private final RandomStream random;

  FaultInjector(FleetRun run, long seed) {
    this.run = run;
    scheduler = run.scheduler();
    random = new RandomStream(seed, RANDOM_STREAM);
  }

  void plan(List<FaultSpec> faults) {
    for (FaultSpec t : faults) {
      if (t instanceof FaultSpec.Crash c) {
        at(c.start(), () -> some(c.share()).forEach(s -> crash(s, c.downtime())));
      } else if (t instanceof FaultSpec.ZoneOutage z) {
        at(
            z.start(),
            () -> run.servers().stream()
                .filter(s -> s.zone.equals(Deployment.zone(z.zone())))
                .toList()
                .forEach(s -> crash(s, z.duration())));
      } else if (t instanceof FaultSpec.Slow s) {
        at(
            s.start(),
            () -> some(s.share()).forEach(one -> {
              one.slow(s.factor());
              in(s.duration(), () -> one.slow(1));
            }));
      } else if (t instanceof FaultSpec.Failing f) {
        at(
            f.start(),
            () -> some(f.share()).forEach(one -> {
              one.fail(f.errorShare());
              in(f.duration(), () -> one.fail(0));
            }));
      } else if (t instanceof FaultSpec.ResponseLoss m) {
        at(
            m.start(),
            () -> some(m.share()).forEach(one -> {
              one.loseResponses(true);
              in(m.duration(), () -> one.loseResponses(false));
            }));
      } else if (t instanceof FaultSpec.ListDelay l) {
        long usual = run.list().lateNanos();
        at(l.start(), () -> run.list().late((long) (l.delay() * SECOND)));
        at(l.end(), () -> run.list().late(usual));
      } else {
        planFleet(t);
      }
    }
  }

  private void planFleet(FaultSpec t) {
    if (t instanceof FaultSpec.Deploy d) {
      at(
          d.start(),
          () -> inGroups(
              some(d.share()),
              d.batchShare() * run.servers().size(),
              d.duration(),
              s -> drain(s, true)));
    } else if (t instanceof FaultSpec.Shrink s) {
      at(
          s.start(),
          () -> inGroups(some(1 - s.remainingShare()), 1, s.duration(), one -> drain(one, false)));
    } else if (t instanceof FaultSpec.Restart r) {
      at(
          r.start(),
          () -> inGroups(
              hosts(r.share()),
              Math.max(1, r.batchShare() * run.hosts().size()),
              r.duration(),
              h -> away(h, BALANCER_START)));
    } else if (t instanceof FaultSpec.BalancerCrash b) {
      at(b.start(), () -> hosts(b.share()).forEach(h -> away(h, (long) (b.downtime() * SECOND))));
    }
  }

  private void at(double second, Runnable what) {
    scheduler.at((long) (second * SECOND), what);
  }

  private void in(double seconds, Runnable what) {
    scheduler.in((long) (seconds * SECOND), what);
  }

  /** A part of the upstreams by chance, at least one where the part is not 0. */
  private List<Server> some(double part) {
    return part(run.servers().stream().filter(Server::up).toList(), part);
  }

  private List<Host> hosts(double part) {
    return part(run.hosts().stream().filter(Host::up).toList(), part);
  }

  private <T> List<T> part(List<T> of, double part) {
    List<T> all = new ArrayList<>(of);
    for (int i = all.size() - 1; i > 0; i--) {
      int j = random.below(i + 1);
      T t = all.get(i);
      all.set(i, all.get(j));
      all.set(j, t);
    }
    return all.subList(0, Math.min(all.size(), (int) Math.round(part * all.size())));
  }

  /** Evenly over the time, so many together. */
  private <T> void inGroups(
      List<T> all, double size, double lasts, java.util.function.Consumer<T> what) {
    int group = Math.max(1, (int) size);
    int groups = (all.size() + group - 1) / group;
    for (int g = 0; g < groups; g++) {
      List<T> these = List.copyOf(all.subList(g * group, Math.min(all.size(), (g + 1) * group)));
      in(lasts * g / Math.max(1, groups), () -> these.forEach(what));
    }
  }

  private void crash(Server s, double backAfter) {
    run.end(s);
    run.list().change(s, State.GONE);
    in(backAfter, () -> run.begin(s));
  }

  private void drain(Server s, boolean replaced) {
    run.list().change(s, State.DRAINING);
    scheduler.in(run.list().lateNanos() + GRACE, () -> {
      run.end(s);
      run.list().change(s, State.GONE);
      if (replaced) {
        scheduler.in(START, () -> run.replace(s));
      }
    });
  }

  private void away(Host host, long nanos) {
    if (host.up()) {
      host.crash();
      run.clients().down(host);
      scheduler.in(nanos, () -> {
        host.restart();
        run.clients().up(host);
      });
    }
  }
}
