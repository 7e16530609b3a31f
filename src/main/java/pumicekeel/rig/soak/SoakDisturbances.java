package pumicekeel.rig.soak;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import pumicekeel.mesh.Fault;
import pumicekeel.rig.soak.SoakPlan.Disturbance;
import pumicekeel.rig.soak.SoakUpstream.Behaviour;

/** Runs the disturbances of a plan other than failing calls: one thread for each kind, at times derived from the seed. */
final class SoakDisturbances {

  private static final long HOUR_NANOS = 3_600_000_000_000L;
  /**
   * Together with the time that the signals take, less than the 0.1 s within which a client's disconnect has to be detected. The program
   * cannot guard against a longer suspension between its check for a disconnect and its next write.
   */
  private static final int MAX_SUSPENSION_MILLIS = 70;

  /** Idle connections that each balancer gets in one round of {@link Disturbance#CROWD}. */
  private static final int IDLE_CLIENTS = 90;

  /** Connections that stop half way in one round. */
  private static final int HALF_SENT_CLIENTS = 300;

  private static final long HOSTILE_ROUND_MILLIS = 2_000;
  private static final int MAX_LEAVE_PAUSE_MILLIS = 400;

  private final SoakRun run;
  private final SoakPlan plan;
  private final List<Thread> threads = new ArrayList<>();
  private final long endAt;

  SoakDisturbances(SoakRun run) {
    this.run = run;
    plan = run.plan;
    endAt = System.nanoTime() + plan.seconds() * 1_000_000_000L;
  }

  /** The steps of one kind of disturbance, run on its own thread with its own random numbers. */
  private interface Action {
    void play(Random random) throws IOException, InterruptedException;
  }

  void start() {
    startHostile();
    startIfPlanned(Disturbance.RESTART, r -> {
      SoakRun.pause(r.nextInt(2_500));
      for (SoakBalancer balancer : run.balancers) {
        balancer.restart();
      }
    });
    if (!plan.has(Disturbance.RESTART)) {
      startIfPlanned(Disturbance.KILL, r -> {
        SoakRun.pause(1_000 + r.nextInt(3_000));
        run.balancers.get(r.nextInt(run.balancers.size())).kill();
      });
    }
    startIfPlanned(Disturbance.HANGUP, this::sendHangups);
    startIfPlanned(Disturbance.STAND_STILL, this::suspendProcesses);
    startIfPlanned(Disturbance.UPSTREAM_TROUBLE, this::disturbUpstreams);
    startIfPlanned(Disturbance.LEAVING_UPSTREAM, r -> {
      SoakRun.pause(r.nextInt(3_000));
      run.changeStatus(0, "terminating", 0);
    });
    startIfPlanned(Disturbance.COLD_UPSTREAM, r -> {
      SoakRun.pause(1_000 + r.nextInt(2_000));
      run.cold.put("cold", System.nanoTime());
      run.addUpstream("cold", 2, System.currentTimeMillis());
    });
    startIfPlanned(Disturbance.DISCOVERY_TROUBLE, this::disturbDiscovery);
    startIfPlanned(Disturbance.RESETS, r -> {
      while (isRunning()) {
        SoakRun.pause(200 + r.nextInt(1_500));
        run.upstreams.get(r.nextInt(SoakRun.UPSTREAMS)).resetConnections();
      }
    });
    startIfPlanned(Disturbance.WALL_CLOCK, r -> {
      while (isRunning()) {
        SoakRun.pause(500 + r.nextInt(2_000));
        long step = r.nextBoolean() ? HOUR_NANOS : 1_000_000_000L * r.nextInt(10);
        run.balancers
            .get(r.nextInt(run.balancers.size()))
            .faults()
            .setWallClockOffset(r.nextBoolean() ? step : -step);
      }
    });
    startIfPlanned(Disturbance.CROWD, r -> {
      while (isRunning()) {
        run.balancers.forEach(b -> b.clients().openIdleConnections(IDLE_CLIENTS));
        SoakRun.pause(1_500 + r.nextInt(1_500));
      }
    });
  }

  private void startHostile() {
    startIfPlanned(Disturbance.HALF_SENT, r -> {
      while (isRunning()) {
        run.balancers.forEach(b -> b.hostileClients().stopHalfWay(HALF_SENT_CLIENTS));
        SoakRun.pause(HOSTILE_ROUND_MILLIS);
      }
    });
    startIfPlanned(Disturbance.FLOOD, r -> {
      while (isRunning()) {
        boolean sound = r.nextBoolean();
        run.balancers.forEach(b -> b.hostileClients().flood(sound, HOSTILE_ROUND_MILLIS));
        SoakRun.pause(HOSTILE_ROUND_MILLIS);
      }
    });
    startIfPlanned(Disturbance.PIPELINE_AND_LEAVE, r -> {
      while (isRunning()) {
        boolean reset = r.nextBoolean();
        run.balancers.forEach(b -> b.hostileClients().pipelineAndLeave(reset));
        SoakRun.pause(r.nextInt(MAX_LEAVE_PAUSE_MILLIS));
      }
    });
  }

  private boolean isRunning() {
    return System.nanoTime() - endAt < 0;
  }

  private void startIfPlanned(Disturbance kind, Action action) {
    if (!plan.has(kind)) {
      return;
    }
    Thread thread = new Thread(
        () -> {
          try {
            action.play(new Random(plan.seed() * 131 + kind.ordinal()));
          } catch (IOException e) {
            run.problems.add(kind + ": " + e);
          } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
          }
        },
        "soak " + kind);
    threads.add(thread);
    thread.start();
  }

  private void sendHangups(Random random) throws IOException, InterruptedException {
    while (isRunning()) {
      SoakRun.pause(500 + random.nextInt(2_000));
      for (SoakBalancer balancer : run.balancers) {
        balancer.sendHangup();
        SoakRun.pause(random.nextInt(40));
        balancer.sendHangup();
      }
    }
  }

  private void suspendProcesses(Random random) throws IOException, InterruptedException {
    while (isRunning()) {
      SoakRun.pause(300 + random.nextInt(1_200));
      SoakBalancer target = run.balancers.get(random.nextInt(run.balancers.size()));
      target.signal("STOP");
      SoakRun.pause(random.nextInt(MAX_SUSPENSION_MILLIS));
      target.signal("CONT");
    }
  }

  private void disturbUpstreams(Random random) throws InterruptedException {
    Behaviour[] behaviours = Behaviour.values();
    while (isRunning()) {
      SoakUpstream target = run.upstreams.get(random.nextInt(SoakRun.UPSTREAMS));
      target.setBehaviour(behaviours[random.nextInt(behaviours.length)]);
      target.setDelay(random.nextInt(80));
      SoakRun.pause(300 + random.nextInt(900));
      target.setBehaviour(Behaviour.SERVE);
      target.setDelay(4);
    }
  }

  private void disturbDiscovery(Random random) throws InterruptedException {
    while (isRunning()) {
      SoakRun.pause(300 + random.nextInt(900));
      SoakBalancer target = run.balancers.get(random.nextInt(run.balancers.size()));
      switch (random.nextInt(4)) {
        case 0 -> target.discoveryLink().reset();
        case 1 -> target.discoveryLink().faults(Fault.CUT, Fault.CUT);
        case 2 -> target.discoveryLink().faults(Fault.delayed(30_000), Fault.delayed(30_000));
        default -> target.discoveryLink().refuse(true);
      }
      SoakRun.pause(300 + random.nextInt(1_500));
      target.discoveryLink().faults(Fault.NONE, Fault.NONE);
      target.discoveryLink().refuse(false);
    }
  }

  /** Waits for each disturbance to end, at most as long as restarts of all balancers take. */
  void awaitEnd() throws InterruptedException {
    for (Thread thread : threads) {
      thread.join(run.balancers.size() * SoakBalancer.maxRestartMillis(plan.settings()));
    }
  }
}
