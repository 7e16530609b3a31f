package pumicekeel.rig.soak;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import pumicekeel.mesh.Fault;
import pumicekeel.rig.soak.SoakPlan.Disturbance;
import pumicekeel.rig.soak.SoakUpstream.Behaviour;

/** What happens in a run beside failing calls: one thread for each kind, at moments that the seed chooses. */
final class SoakDisturbances {

  private static final long HOUR_NANOS = 3_600_000_000_000L;
  /** With what the signals take, under the 0.1 s within which a client's leaving has to be noticed: between that look and a write
   * nobody can guard against a longer one. */
  private static final int LONGEST_STAND_STILL_MILLIS = 70;

  private static final int CROWD = 90;

  private final SoakRun run;
  private final SoakPlan plan;
  private final List<Thread> threads = new ArrayList<>();
  private final long endAt;

  SoakDisturbances(SoakRun run) {
    this.run = run;
    plan = run.plan;
    endAt = System.nanoTime() + plan.seconds() * 1_000_000_000L;
  }

  /** One kind, played by a thread of its own with random numbers of its own. */
  private interface Play {
    void play(Random random) throws IOException, InterruptedException;
  }

  void start() {
    begin(Disturbance.RESTART, r -> {
      SoakRun.pause(r.nextInt(2_500));
      for (SoakBalancer balancer : run.balancers) {
        balancer.restart();
      }
    });
    if (!plan.has(Disturbance.RESTART)) {
      begin(Disturbance.KILL, r -> {
        SoakRun.pause(1_000 + r.nextInt(3_000));
        run.balancers.get(r.nextInt(run.balancers.size())).kill();
      });
    }
    begin(Disturbance.HANGUP, this::hangUp);
    begin(Disturbance.STAND_STILL, this::standStill);
    begin(Disturbance.UPSTREAM_TROUBLE, this::upstreamTrouble);
    begin(Disturbance.LEAVING_UPSTREAM, r -> {
      SoakRun.pause(r.nextInt(3_000));
      run.change(0, "terminating", 0);
    });
    begin(Disturbance.COLD_UPSTREAM, r -> {
      SoakRun.pause(1_000 + r.nextInt(2_000));
      run.cold.put("cold", System.nanoTime());
      run.add("cold", 2, System.currentTimeMillis());
    });
    begin(Disturbance.DISCOVERY_TROUBLE, this::discoveryTrouble);
    begin(Disturbance.RESETS, r -> {
      while (goesOn()) {
        SoakRun.pause(200 + r.nextInt(1_500));
        run.upstreams.get(r.nextInt(SoakRun.UPSTREAMS)).resetConnections();
      }
    });
    begin(Disturbance.WALL_CLOCK, r -> {
      while (goesOn()) {
        SoakRun.pause(500 + r.nextInt(2_000));
        long step = r.nextBoolean() ? HOUR_NANOS : 1_000_000_000L * r.nextInt(10);
        run.balancers
            .get(r.nextInt(run.balancers.size()))
            .faults()
            .wallClockAhead(r.nextBoolean() ? step : -step);
      }
    });
    begin(Disturbance.CROWD, r -> {
      while (goesOn()) {
        run.balancers.forEach(b -> b.clients().crowd(CROWD));
        SoakRun.pause(1_500 + r.nextInt(1_500));
      }
    });
  }

  private boolean goesOn() {
    return System.nanoTime() - endAt < 0;
  }

  private void begin(Disturbance kind, Play play) {
    if (!plan.has(kind)) {
      return;
    }
    Thread thread = new Thread(
        () -> {
          try {
            play.play(new Random(plan.seed() * 131 + kind.ordinal()));
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

  private void hangUp(Random random) throws IOException, InterruptedException {
    while (goesOn()) {
      SoakRun.pause(500 + random.nextInt(2_000));
      for (SoakBalancer balancer : run.balancers) {
        balancer.hangUp();
        SoakRun.pause(random.nextInt(40));
        balancer.hangUp();
      }
    }
  }

  private void standStill(Random random) throws IOException, InterruptedException {
    while (goesOn()) {
      SoakRun.pause(300 + random.nextInt(1_200));
      SoakBalancer one = run.balancers.get(random.nextInt(run.balancers.size()));
      one.signal("STOP");
      SoakRun.pause(random.nextInt(LONGEST_STAND_STILL_MILLIS));
      one.signal("CONT");
    }
  }

  private void upstreamTrouble(Random random) throws InterruptedException {
    Behaviour[] all = Behaviour.values();
    while (goesOn()) {
      SoakUpstream one = run.upstreams.get(random.nextInt(SoakRun.UPSTREAMS));
      one.behave(all[random.nextInt(all.length)]);
      one.delay(random.nextInt(80));
      SoakRun.pause(300 + random.nextInt(900));
      one.behave(Behaviour.SERVE);
      one.delay(4);
    }
  }

  private void discoveryTrouble(Random random) throws InterruptedException {
    while (goesOn()) {
      SoakRun.pause(300 + random.nextInt(900));
      SoakBalancer one = run.balancers.get(random.nextInt(run.balancers.size()));
      switch (random.nextInt(4)) {
        case 0 -> one.discoveryLink().reset();
        case 1 -> one.discoveryLink().faults(Fault.CUT, Fault.CUT);
        case 2 -> one.discoveryLink().faults(Fault.delayed(30_000), Fault.delayed(30_000));
        default -> one.discoveryLink().refuse(true);
      }
      SoakRun.pause(300 + random.nextInt(1_500));
      one.discoveryLink().faults(Fault.NONE, Fault.NONE);
      one.discoveryLink().refuse(false);
    }
  }

  /** Waits until all have played, and puts right what they left. */
  void awaitEnd() throws InterruptedException {
    for (Thread thread : threads) {
      thread.join(run.balancers.size() * SoakBalancer.longestRestart(plan.settings()));
    }
  }
}
