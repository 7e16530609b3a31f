package pumicekeel.fleet;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Decides on the actions for the instances of a fleet: starts, restarts after crashes, rolling restarts and reloads, and the stop. No I/O;
 * times are readings of one clock in nanoseconds. Each call returns the actions to carry out, in order.
 */
public final class Supervisor {

  /**
   * State of an instance. WAITING: it crashed and is started again after a delay. GIVEN_UP: it crashed too often and stays down until a
   * rolling restart.
   */
  public enum State {
    DOWN,
    STARTING,
    READY,
    STOPPING,
    WAITING,
    GIVEN_UP
  }

  /** An action to carry out. */
  public sealed interface Action permits Start, Terminate, Kill, Hangup, LogLine {}

  /** Starts a process for an instance. */
  public record Start(int instance) implements Action {}

  /** Terminates an instance (SIGTERM). */
  public record Terminate(int instance) implements Action {}

  /** Kills an instance (SIGKILL). */
  public record Kill(int instance) implements Action {}

  /** Makes an instance reload its files (SIGHUP). */
  public record Hangup(int instance) implements Action {}

  /** Writes a line to the log. */
  public record LogLine(String text) implements Action {}

  /** A rolling operation on all instances. */
  public enum Work {
    NONE,
    RESTART,
    RELOAD
  }

  private static final class Instance {
    private State state = State.DOWN;
    private long since;
    private long restartAt;
    private boolean killed;
    /** Restarted or reloaded by the current work, which a crash of it therefore halts. */
    private boolean updated;

    private long respondedAt;
    /** Killed because it did not respond, and not ready again yet. */
    private boolean hung;

    private final ArrayDeque<Long> crashes = new ArrayDeque<>();
  }

  /** A daemon whose last tick is more than the hang limit divided by this ago counts as suspended. */
  private static final int SUSPENDED_DIVISOR = 4;

  private final Limits limits;
  private final List<Instance> instances = new ArrayList<>();
  private final ArrayDeque<Integer> remaining = new ArrayDeque<>();
  private final Set<Integer> inProgress = new LinkedHashSet<>();
  private List<Action> actions = new ArrayList<>();
  private Work work = Work.NONE;
  private String halted;
  private boolean stopping;
  private long tickedAt;

  public Supervisor(int count, Limits limits) {
    if (count < 1 || limits.maxUnavailable() < 1) {
      throw new IllegalArgumentException(
          "expected at least one instance and one that may be unavailable");
    }
    this.limits = limits;
    for (int i = 0; i < count; i++) {
      instances.add(new Instance());
    }
  }

  // Current state

  public int size() {
    return instances.size();
  }

  public State stateOf(int instance) {
    return instances.get(instance).state;
  }

  /** Returns how long an instance has been in its state. */
  public long inStateFor(int instance, long now) {
    return now - instances.get(instance).since;
  }

  /** Returns the number of crashes of an instance within the crash window. */
  public int crashesOf(int instance) {
    return instances.get(instance).crashes.size();
  }

  public Work work() {
    return work;
  }

  /** Returns the number of instances on which the current work is not finished. */
  public int workLeft() {
    return remaining.size() + inProgress.size();
  }

  /** Returns why the last work was halted, or null if it was not. */
  public String halted() {
    return halted;
  }

  /** Returns whether all instances are down after a stop. */
  public boolean isStopped() {
    return stopping && instances.stream().allMatch(i -> i.state == State.DOWN);
  }

  private List<Action> drainActions() {
    List<Action> drained = actions;
    actions = new ArrayList<>();
    return drained;
  }

  private void setState(int i, State state, long now) {
    instances.get(i).state = state;
    instances.get(i).since = now;
  }

  // Events

  /** Starts every instance that is down. */
  public List<Action> start(long now) {
    for (int i = 0; i < size(); i++) {
      if (stateOf(i) == State.DOWN) {
        startInstance(i, now);
      }
    }
    return drainActions();
  }

  /** Adopts a process started by an earlier daemon; it counts as starting until it reports that it is ready. */
  public List<Action> adopted(int i, long now) {
    setState(i, State.STARTING, now);
    actions.add(new LogLine("instance " + i + " is running already: adopted"));
    return drainActions();
  }

  private void startInstance(int i, long now) {
    instances.get(i).killed = false;
    setState(i, State.STARTING, now);
    actions.add(new Start(i));
  }

  /** Handles the report of an instance that it is ready. */
  public List<Action> ready(int i, long now) {
    if (stateOf(i) == State.STARTING) {
      setState(i, State.READY, now);
      instances.get(i).respondedAt = now;
      instances.get(i).hung = false;
      actions.add(new LogLine("instance " + i + " is ready"));
    }
    return drainActions();
  }

  /** Records that an instance responded, whatever the response: its event loop runs. */
  public void responded(int i, long now) {
    instances.get(i).respondedAt = now;
  }

  /** Returns how long a ready instance has not responded; 0 for one that is not ready. */
  public long silentFor(int i, long now) {
    return stateOf(i) == State.READY ? now - instances.get(i).respondedAt : 0;
  }

  /**
   * Kills ready instances that do not respond, at most as many at once as may be unavailable: if more are silent, the machine may be the
   * cause, and instances that still work must not be killed. Silence while this daemon itself was suspended does not count.
   */
  private void killHung(long now) {
    boolean suspended = now - tickedAt > limits.hangNanos() / SUSPENDED_DIVISOR;
    tickedAt = now;
    if (limits.hangNanos() == 0) {
      return;
    }
    long hungCount = instances.stream().filter(it -> it.hung).count();
    for (int i = 0; i < size(); i++) {
      Instance it = instances.get(i);
      it.respondedAt = suspended ? now : it.respondedAt;
      if (silentFor(i, now) > limits.hangNanos()
          && !it.hung
          && hungCount < limits.maxUnavailable()) {
        it.hung = true;
        hungCount++;
        actions.add(new LogLine("instance " + i + " has not responded for "
            + silentFor(i, now) / 1_000_000 + " ms: killed"));
        actions.add(new Kill(i));
      }
    }
  }

  /** Handles the exit of an instance's process, or the failure to start it. */
  public List<Action> exited(int i, int status, long now) {
    Instance it = instances.get(i);
    State was = it.state;
    if (was == State.STOPPING && stopping) {
      setState(i, State.DOWN, now);
    } else if (was == State.STOPPING) {
      startInstance(i, now);
      it.updated = true;
    } else if (was == State.STARTING || was == State.READY) {
      handleCrash(i, it, status, now);
    }
    return drainActions();
  }

  private void handleCrash(int i, Instance it, int status, long now) {
    actions.add(new LogLine("instance " + i + " ended with " + status + " while "
        + (it.state == State.READY ? "ready" : "starting")));
    if (stopping) {
      setState(i, State.DOWN, now);
      return;
    }
    if (work != Work.NONE && (it.updated || inProgress.contains(i))) {
      halt("instance " + i + " ended with " + status + " after it was "
          + (work == Work.RESTART ? "restarted" : "reloaded"));
    }
    it.crashes.addLast(now);
    dropOldCrashes(it, now);
    if (it.crashes.size() > limits.maxCrashes()) {
      setState(i, State.GIVEN_UP, now);
      it.hung = false;
      actions.add(new LogLine("instance " + i + " stays down: " + it.crashes.size() + " crashes"));
      return;
    }
    long delay = Math.min(
        limits.maxBackoffNanos(), limits.backoffNanos() << Math.min(20, it.crashes.size() - 1));
    it.restartAt = now + delay;
    setState(i, State.WAITING, now);
  }

  private void dropOldCrashes(Instance it, long now) {
    while (!it.crashes.isEmpty() && now - it.crashes.peekFirst() > limits.crashWindowNanos()) {
      it.crashes.removeFirst();
    }
  }

  /** Handles the passing of time. */
  public List<Action> tick(long now) {
    killHung(now);
    for (int i = 0; i < size(); i++) {
      Instance it = instances.get(i);
      long inState = now - it.since;
      if (it.state == State.STARTING && inState > limits.readyNanos() && !it.killed) {
        it.killed = true;
        actions.add(new LogLine("instance " + i + " did not become ready in time"));
        actions.add(new Kill(i));
      } else if (it.state == State.STOPPING && inState > limits.stopNanos() && !it.killed) {
        it.killed = true;
        actions.add(new Kill(i));
      } else if (it.state == State.WAITING && now - it.restartAt >= 0) {
        startInstance(i, now);
      }
      dropOldCrashes(it, now);
    }
    if (work != Work.NONE) {
      continueWork(now);
    }
    if (stopping) {
      terminateNext(now);
    }
    return drainActions();
  }

  // Rolling work

  /** Begins a rolling restart or reload; returns null, or why it cannot begin. */
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
    inProgress.clear();
    remaining.clear();
    for (int i = 0; i < size(); i++) {
      instances.get(i).updated = false;
      remaining.add(i);
    }
    return null;
  }

  private void continueWork(long now) {
    inProgress.removeIf(
        i -> stateOf(i) == State.READY && now - instances.get(i).since >= limits.watchNanos());
    for (int i : inProgress) {
      if (stateOf(i) == State.STARTING && now - instances.get(i).since > limits.readyNanos()) {
        halt("instance " + i + " did not become ready after its restart");
        return;
      }
    }
    while (!remaining.isEmpty() && inProgress.size() < limits.maxUnavailable() && othersReady()) {
      int i = remaining.poll();
      if (work == Work.RELOAD && stateOf(i) != State.READY) {
        // Given up since the work began: it reads the new file when it is started again.
        continue;
      }
      inProgress.add(i);
      Instance it = instances.get(i);
      if (work == Work.RELOAD) {
        it.updated = true;
        setState(i, State.READY, now);
        actions.add(new Hangup(i));
      } else if (it.state == State.GIVEN_UP) {
        it.crashes.clear();
        it.hung = false;
        it.updated = true;
        startInstance(i, now);
      } else {
        it.killed = false;
        setState(i, State.STOPPING, now);
        actions.add(new Terminate(i));
      }
    }
    if (remaining.isEmpty() && inProgress.isEmpty()) {
      actions.add(
          new LogLine("rolling " + work.name().toLowerCase(java.util.Locale.ROOT) + " is done"));
      work = Work.NONE;
    }
  }

  /** Returns whether all instances outside the current work are ready or given up: a crash of another instance delays the work. */
  private boolean othersReady() {
    for (int i = 0; i < size(); i++) {
      if (!inProgress.contains(i) && stateOf(i) != State.READY && stateOf(i) != State.GIVEN_UP) {
        return false;
      }
    }
    return true;
  }

  private void halt(String why) {
    halted = why;
    actions.add(new LogLine("rolling " + work.name().toLowerCase(java.util.Locale.ROOT)
        + " halted with " + remaining.size() + " remaining: " + why));
    work = Work.NONE;
    remaining.clear();
    inProgress.clear();
  }

  // Stop

  /** Terminates all instances, the last one first, at most as many at once as may be unavailable. */
  public List<Action> stop(long now) {
    if (!stopping) {
      if (work != Work.NONE) {
        halt("the fleet is being stopped");
      }
      stopping = true;
      for (int i = 0; i < size(); i++) {
        if (stateOf(i) == State.WAITING || stateOf(i) == State.GIVEN_UP) {
          setState(i, State.DOWN, now);
        }
      }
      terminateNext(now);
    }
    return drainActions();
  }

  private void terminateNext(long now) {
    long ending = instances.stream().filter(i -> i.state == State.STOPPING).count();
    for (int i = size() - 1; i >= 0 && ending < limits.maxUnavailable(); i--) {
      if (stateOf(i) == State.READY || stateOf(i) == State.STARTING) {
        instances.get(i).killed = false;
        setState(i, State.STOPPING, now);
        actions.add(new Terminate(i));
        ending++;
      }
    }
  }
}
