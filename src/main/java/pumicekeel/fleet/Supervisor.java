package pumicekeel.fleet;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Decides what is done with the instances of a fleet: starts, restarts after crashes, rolling restarts and reloads, the stop.
 * No I/O; times are readings of one clock in nanoseconds. Each call hands over what is to be done, in order.
 */
public final class Supervisor {

  /** Where an instance is. */
  public enum State {
    DOWN,
    STARTING,
    READY,
    STOPPING,
    WAITING,
    GIVEN_UP
  }

  /** What is to be done. */
  public sealed interface Action permits Start, Terminate, Kill, Hangup, Say {}

  /** Start a process for this instance. */
  public record Start(int instance) implements Action {}

  /** Ask it to end (SIGTERM). */
  public record Terminate(int instance) implements Action {}

  /** End it (SIGKILL). */
  public record Kill(int instance) implements Action {}

  /** Have it read its files again (SIGHUP). */
  public record Hangup(int instance) implements Action {}

  /** A line for the log. */
  public record Say(String text) implements Action {}

  /** What goes through all instances, one after the other. */
  public enum Work {
    NONE,
    RESTART,
    RELOAD
  }

  private static final class Instance {
    private State state = State.DOWN;
    private long since;
    private long waitsUntil;
    private boolean killed;
    /** Restarted by the work that goes on, so a crash of it halts that. */
    private boolean fresh;

    private long heardAt;
    /** Killed since it answered nothing, and not ready again. */
    private boolean hung;

    private final ArrayDeque<Long> crashes = new ArrayDeque<>();
  }

  /** A daemon that did not come to look for this part of the bound on silence has slept. */
  private static final int SLEPT_PART = 4;

  private final Limits limits;
  private final List<Instance> instances = new ArrayList<>();
  private final ArrayDeque<Integer> left = new ArrayDeque<>();
  private final Set<Integer> away = new LinkedHashSet<>();
  private List<Action> out = new ArrayList<>();
  private Work work = Work.NONE;
  private String halted;
  private boolean stopping;
  private long tickedAt;

  public Supervisor(int count, Limits limits) {
    if (count < 1 || limits.mostAway() < 1) {
      throw new IllegalArgumentException("expected at least one instance and one that may be away");
    }
    this.limits = limits;
    for (int i = 0; i < count; i++) {
      instances.add(new Instance());
    }
  }

  // What is known

  public int size() {
    return instances.size();
  }

  public State stateOf(int instance) {
    return instances.get(instance).state;
  }

  /** How long it has been there. */
  public long inStateFor(int instance, long now) {
    return now - instances.get(instance).since;
  }

  /** Crashes that still count. */
  public int crashesOf(int instance) {
    return instances.get(instance).crashes.size();
  }

  public Work work() {
    return work;
  }

  /** Instances that the work has still to come to. */
  public int workLeft() {
    return left.size() + away.size();
  }

  /** Why the last work was halted; null where it was not. */
  public String halted() {
    return halted;
  }

  /** Everything is down after a stop. */
  public boolean over() {
    return stopping && instances.stream().allMatch(i -> i.state == State.DOWN);
  }

  private List<Action> done() {
    List<Action> done = out;
    out = new ArrayList<>();
    return done;
  }

  private void to(int i, State state, long now) {
    instances.get(i).state = state;
    instances.get(i).since = now;
  }

  // What happens

  /** Starts every instance that is down. */
  public List<Action> start(long now) {
    for (int i = 0; i < size(); i++) {
      if (stateOf(i) == State.DOWN) {
        begin(i, now);
      }
    }
    return done();
  }

  /** A process of an earlier daemon was found for it: it is taken on as one that has to say that it is ready. */
  public List<Action> adopted(int i, long now) {
    to(i, State.STARTING, now);
    out.add(new Say("instance " + i + " runs already: taken over"));
    return done();
  }

  private void begin(int i, long now) {
    instances.get(i).killed = false;
    to(i, State.STARTING, now);
    out.add(new Start(i));
  }

  /** It says that it is ready. */
  public List<Action> ready(int i, long now) {
    if (stateOf(i) == State.STARTING) {
      to(i, State.READY, now);
      instances.get(i).heardAt = now;
      instances.get(i).hung = false;
      out.add(new Say("instance " + i + " is ready"));
    }
    return done();
  }

  /** It has answered something, whatever: its loop turns. */
  public void heard(int i, long now) {
    instances.get(i).heardAt = now;
  }

  /** How long a ready one has answered nothing. */
  public long silentFor(int i, long now) {
    return stateOf(i) == State.READY ? now - instances.get(i).heardAt : 0;
  }

  /**
   * One that is ready and answers nothing is ended, as many at once as may be away: where more are silent, the machine may be at
   * fault, and what still moves is not to be killed. Silence while this daemon itself slept is no one's.
   */
  private void endHung(long now) {
    boolean slept = now - tickedAt > limits.hangNanos() / SLEPT_PART;
    tickedAt = now;
    if (limits.hangNanos() == 0) {
      return;
    }
    long ending = instances.stream().filter(it -> it.hung).count();
    for (int i = 0; i < size(); i++) {
      Instance it = instances.get(i);
      it.heardAt = slept ? now : it.heardAt;
      if (silentFor(i, now) > limits.hangNanos() && !it.hung && ending < limits.mostAway()) {
        it.hung = true;
        ending++;
        out.add(new Say("instance " + i + " has answered nothing for "
            + silentFor(i, now) / 1_000_000 + " ms: killed"));
        out.add(new Kill(i));
      }
    }
  }

  /** Its process has ended, or could not be started. */
  public List<Action> exited(int i, int status, long now) {
    Instance it = instances.get(i);
    State was = it.state;
    if (was == State.STOPPING && stopping) {
      to(i, State.DOWN, now);
    } else if (was == State.STOPPING) {
      begin(i, now);
      it.fresh = true;
    } else if (was == State.STARTING || was == State.READY) {
      crashed(i, it, status, now);
    }
    return done();
  }

  private void crashed(int i, Instance it, int status, long now) {
    out.add(new Say("instance " + i + " ended with " + status + " while "
        + (it.state == State.READY ? "ready" : "starting")));
    if (stopping) {
      to(i, State.DOWN, now);
      return;
    }
    if (work != Work.NONE && (it.fresh || away.contains(i))) {
      halt("instance " + i + " ended with " + status + " after it was "
          + (work == Work.RESTART ? "restarted" : "reloaded"));
    }
    it.crashes.addLast(now);
    forgetOldCrashes(it, now);
    if (it.crashes.size() > limits.mostCrashes()) {
      to(i, State.GIVEN_UP, now);
      it.hung = false;
      out.add(new Say("instance " + i + " is left down: " + it.crashes.size() + " crashes"));
      return;
    }
    long wait = Math.min(
        limits.backoffMostNanos(), limits.backoffNanos() << Math.min(20, it.crashes.size() - 1));
    it.waitsUntil = now + wait;
    to(i, State.WAITING, now);
  }

  private void forgetOldCrashes(Instance it, long now) {
    while (!it.crashes.isEmpty() && now - it.crashes.peekFirst() > limits.crashWindowNanos()) {
      it.crashes.removeFirst();
    }
  }

  /** Time has passed. */
  public List<Action> tick(long now) {
    endHung(now);
    for (int i = 0; i < size(); i++) {
      Instance it = instances.get(i);
      long been = now - it.since;
      if (it.state == State.STARTING && been > limits.readyNanos() && !it.killed) {
        it.killed = true;
        out.add(new Say("instance " + i + " did not become ready in time"));
        out.add(new Kill(i));
      } else if (it.state == State.STOPPING && been > limits.stopNanos() && !it.killed) {
        it.killed = true;
        out.add(new Kill(i));
      } else if (it.state == State.WAITING && now - it.waitsUntil >= 0) {
        begin(i, now);
      }
      forgetOldCrashes(it, now);
    }
    if (work != Work.NONE) {
      goOn(now);
    }
    if (stopping) {
      stopSome(now);
    }
    return done();
  }

  // Work through all instances

  /** Begins a rolling restart or reload; null where it has begun, else why not. */
  public String begin(Work next) {
    if (stopping) {
      return "the fleet is being stopped";
    }
    if (work != Work.NONE) {
      return "a rolling " + work.name().toLowerCase(java.util.Locale.ROOT) + " is under way";
    }
    for (int i = 0; i < size(); i++) {
      if (stateOf(i) != State.READY && (next == Work.RELOAD || stateOf(i) != State.GIVEN_UP)) {
        return "instance " + i + " is not ready";
      }
    }
    work = next;
    halted = null;
    away.clear();
    left.clear();
    for (int i = 0; i < size(); i++) {
      instances.get(i).fresh = false;
      left.add(i);
    }
    return null;
  }

  private void goOn(long now) {
    away.removeIf(
        i -> stateOf(i) == State.READY && now - instances.get(i).since >= limits.watchNanos());
    for (int i : away) {
      if (stateOf(i) == State.STARTING && now - instances.get(i).since > limits.readyNanos()) {
        halt("instance " + i + " did not become ready after its restart");
        return;
      }
    }
    while (!left.isEmpty() && away.size() < limits.mostAway() && othersReady()) {
      int i = left.poll();
      if (work == Work.RELOAD && stateOf(i) != State.READY) {
        // Given up since the work began: it reads the file when it is started again.
        continue;
      }
      away.add(i);
      Instance it = instances.get(i);
      if (work == Work.RELOAD) {
        it.fresh = true;
        to(i, State.READY, now);
        out.add(new Hangup(i));
      } else if (it.state == State.GIVEN_UP) {
        it.crashes.clear();
        it.hung = false;
        it.fresh = true;
        begin(i, now);
      } else {
        it.killed = false;
        to(i, State.STOPPING, now);
        out.add(new Terminate(i));
      }
    }
    if (left.isEmpty() && away.isEmpty()) {
      out.add(new Say("rolling " + work.name().toLowerCase(java.util.Locale.ROOT) + " is done"));
      work = Work.NONE;
    }
  }

  /** Nobody beside those that are away on purpose is missing: a crash elsewhere makes the work wait. */
  private boolean othersReady() {
    for (int i = 0; i < size(); i++) {
      if (!away.contains(i) && stateOf(i) != State.READY && stateOf(i) != State.GIVEN_UP) {
        return false;
      }
    }
    return true;
  }

  private void halt(String why) {
    halted = why;
    out.add(new Say("rolling " + work.name().toLowerCase(java.util.Locale.ROOT) + " halted with "
        + left.size() + " to go: " + why));
    work = Work.NONE;
    left.clear();
    away.clear();
  }

  // The stop

  /** Ends all instances, the last first, so many at once as may be away. */
  public List<Action> stop(long now) {
    if (!stopping) {
      if (work != Work.NONE) {
        halt("the fleet is being stopped");
      }
      stopping = true;
      for (int i = 0; i < size(); i++) {
        if (stateOf(i) == State.WAITING || stateOf(i) == State.GIVEN_UP) {
          to(i, State.DOWN, now);
        }
      }
      stopSome(now);
    }
    return done();
  }

  private void stopSome(long now) {
    long ending = instances.stream().filter(i -> i.state == State.STOPPING).count();
    for (int i = size() - 1; i >= 0 && ending < limits.mostAway(); i--) {
      if (stateOf(i) == State.READY || stateOf(i) == State.STARTING) {
        instances.get(i).killed = false;
        to(i, State.STOPPING, now);
        out.add(new Terminate(i));
        ending++;
      }
    }
  }
}
