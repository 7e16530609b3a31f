package pumicekeel.lab.world;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import pumicekeel.Balancer.Effect;
import pumicekeel.Balancer.Status;

/**
 * One upstream: a fixed number of slots in front of cores that all requests in work share evenly (processor sharing; with as many
 * slots as cores it is the plain M/M/c queue). A request takes work on a core and then waits for others, holding its slot. What was
 * begun runs to its end, whoever still wants it.
 *
 * <p>Assumptions: the cores share evenly and at no cost up to four requests a core, beyond it at {@code thrash} (BENCH: "holding too
 * many makes it less efficient"); capacity of a cold one rises evenly with time (BENCH); a key met lately saves a stated part of the
 * work (BRIEF); repeats of a key are dropped by the servers of a cell for the class's time, at no work (BRIEF).
 */
public final class Server {

  /** Who sent a request. */
  public interface Sender {

    /** It begins to run. */
    void begins();

    /** It has ended; {@code work} is what was done for it, at the yardstick's speed. */
    void ended(Status status, double work);
  }

  /** A request as an upstream sees it. {@code work} at the yardstick's speed, before what a remembered key saves. */
  public record Job(
      String key,
      String effectKey,
      Effect effect,
      long dedupNanos,
      double work,
      long waitNanos,
      Sender sender) {}

  private static final class Running implements Comparable<Running> {
    private final Job job;
    private final double until;
    private final long order;
    private final double work;

    private Running(Job job, double until, double work, long order) {
      this.job = job;
      this.until = until;
      this.work = work;
      this.order = order;
    }

    @Override
    public int compareTo(Running other) {
      return until != other.until
          ? Double.compare(until, other.until)
          : Long.compare(order, other.order);
    }
  }

  /** What all servers of a cell remember together: when a keyed request first ran, and of which effect. */
  public static final class Cell {
    private final Map<String, Long> ran = new HashMap<>();

    /** Whether it ran here within the time that it is remembered for. */
    private boolean drops(String key, long now, long window) {
      Long at = ran.get(key);
      return at != null && now - at <= window;
    }
  }

  /** A cold server's speed is looked at so often. */
  private static final long WARMING_STEP = 100_000_000L;

  private static final int FREE_PER_CORE = 4;

  public final long id;
  public final String zone;
  public final int cellNumber;
  private final ServerSpec spec;
  private final Cell cell;
  private final EventScheduler scheduler;
  private final PriorityQueue<Running> running = new PriorityQueue<>();
  private final ArrayDeque<Job> waiting = new ArrayDeque<>();
  private final LinkedHashMap<String, Long> keys;
  /** Jobs that have a slot and have done their work, or wait on others. */
  private final List<Job> holding = new ArrayList<>();

  private double served;
  private long servedAt;
  private long order;
  private EventScheduler.Timer next;
  private long startedAt;
  private boolean up = true;
  private boolean mute;
  private double slowness = 1;
  private double failing;
  private int connections;
  private int life;
  private double workDone;

  public Server(
      long id,
      String zone,
      int cellNumber,
      ServerSpec spec,
      Cell cell,
      EventScheduler scheduler,
      long startedAt) {
    this.id = id;
    this.zone = zone;
    this.cellNumber = cellNumber;
    this.spec = spec;
    this.cell = cell;
    this.scheduler = scheduler;
    this.startedAt = startedAt;
    servedAt = scheduler.now();
    int most = spec.keys();
    keys = new LinkedHashMap<>(16, 0.75f, true) {
      private static final long serialVersionUID = 1L;

      @Override
      protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
        return size() > most;
      }
    };
  }

  // What is known of it

  public ServerSpec spec() {
    return spec;
  }

  public boolean up() {
    return up;
  }

  /** When it was started; negative for long ago. */
  public long startedAt() {
    return startedAt;
  }

  /** Requests that it holds, waiting ones too. */
  public int held() {
    return running.size() + holding.size() + waiting.size();
  }

  /** Work that it has done, in the yardstick's nanoseconds. */
  public double workDone() {
    return workDone;
  }

  /** The part of its capacity that it has by being warm. */
  public double warmth(long now) {
    return startedAt < 0 || spec.warmNanos() == 0
        ? 1
        : Math.min(
            1, spec.coldFrom() + (1 - spec.coldFrom()) * (now - startedAt) / spec.warmNanos());
  }

  // What happens to it

  /** It ends without a word: what it holds is reset, and nothing more gets through. */
  public void crash() {
    if (!up) {
      return;
    }
    advance();
    up = false;
    life++;
    List<Job> lost = new ArrayList<>(holding);
    running.forEach(r -> lost.add(r.job));
    lost.addAll(waiting);
    holding.clear();
    running.clear();
    waiting.clear();
    keys.clear();
    connections = 0;
    reschedule();
    lost.stream().filter(j -> j != null).forEach(j -> j.sender().ended(Status.RESET, 0));
  }

  /** It is back, cold. */
  public void restart() {
    up = true;
    startedAt = scheduler.now();
    slowness = 1;
    failing = 0;
    servedAt = scheduler.now();
  }

  /** From now on each of its cores is so many times slower. */
  public void slow(double times) {
    advance();
    slowness = times;
    reschedule();
  }

  /** From now on this part of its requests ends at once in an error, having run. */
  public void fail(double part) {
    failing = part;
  }

  /** From now on nothing of what it says is heard, or all is again; it works on. */
  public void mute(boolean silent) {
    mute = silent;
  }

  /** A new connection; false where it takes no more. */
  public boolean connect() {
    if (!up || connections >= spec.connections()) {
      return false;
    }
    connections++;
    if (spec.handshakeNanos() > 0) {
      advance();
      running.add(
          new Running(null, served + spec.handshakeNanos(), spec.handshakeNanos(), order++));
      reschedule();
    }
    return true;
  }

  public void disconnect() {
    connections = Math.max(0, connections - 1);
  }

  /** A request arrives; the reply says how it ended, at once for one that is turned away. */
  public void submit(Job job, RandomStream random) {
    if (!up) {
      job.sender().ended(Status.RESET, 0);
    } else if (running.size() + holding.size() >= spec.slots()) {
      if (waiting.size() >= spec.queue()) {
        job.sender().ended(Status.FULL, 0);
      } else {
        waiting.add(job);
      }
    } else if (failing > 0 && random.uniform() < failing) {
      note(job);
      int of = life;
      scheduler.in(1_000_000L, () -> {
        if (of == life) {
          reply(job, Status.ERROR, 0);
        }
      });
    } else {
      begin(job);
    }
  }

  private void begin(Job job) {
    advance();
    run(job);
    reschedule();
  }

  private void run(Job job) {
    boolean repeat = job.effect() == Effect.KEYED
        && cell.drops(job.effectKey(), scheduler.now(), job.dedupNanos());
    note(job);
    double work = repeat ? 0 : job.work() * (1 - (knows(job.key()) ? spec.keySaving() : 0));
    running.add(new Running(job, served + work, work, order++));
  }

  private void note(Job job) {
    job.sender().begins();
    if (job.effect() == Effect.KEYED) {
      cell.ran.putIfAbsent(job.effectKey(), scheduler.now());
    }
  }

  private boolean knows(String key) {
    if (key == null || spec.keys() == 0) {
      return false;
    }
    Long at = keys.put(key, scheduler.now());
    return at != null && scheduler.now() - at <= spec.keyMemoryNanos();
  }

  private void reply(Job job, Status status, double work) {
    if (!mute) {
      job.sender().ended(status, work);
    }
  }

  // Sharing the cores

  /** Work that each request gets done in a second of time. */
  private double rate() {
    int in = running.size();
    if (in == 0 || !up) {
      return 0;
    }
    double crowd = Math.max(0, in + holding.size() - FREE_PER_CORE * spec.cores());
    return spec.speed()
        * warmth(scheduler.now())
        / slowness
        * Math.min(1, spec.cores() / (double) in)
        / (1 + spec.thrash() * crowd);
  }

  private double ratedAt;

  /** Books the work that was done since the last change. */
  private void advance() {
    long now = scheduler.now();
    double done = (now - servedAt) * ratedAt;
    served += done;
    workDone += done * running.size();
    servedAt = now;
  }

  private void reschedule() {
    if (next != null) {
      next.cancel();
      next = null;
    }
    ratedAt = rate();
    if (running.isEmpty() || ratedAt == 0) {
      return;
    }
    long takes = (long) Math.ceil(Math.max(0, running.peek().until - served) / ratedAt);
    boolean warming = warmth(scheduler.now()) < 1;
    next = scheduler.in(warming ? Math.min(takes, WARMING_STEP) : takes, this::step);
  }

  private void step() {
    next = null;
    advance();
    // The grain of a nanosecond, so that one that is due is not left for another round.
    double grain = Math.max(1e-6, served * 1e-12) + ratedAt;
    while (!running.isEmpty() && running.peek().until <= served + grain) {
      Running done = running.poll();
      if (done.job != null) {
        afterWork(done.job, done.work);
      }
    }
    reschedule();
  }

  private void afterWork(Job job, double work) {
    if (job.waitNanos() == 0) {
      leave(job, work);
      return;
    }
    holding.add(job);
    int of = life;
    scheduler.in(job.waitNanos(), () -> {
      if (of == life) {
        advance();
        holding.remove(job);
        leave(job, work);
        reschedule();
      }
    });
  }

  /** Its slot is free again; the next one that waits takes it. */
  private void leave(Job job, double work) {
    if (!waiting.isEmpty()) {
      run(waiting.poll());
    }
    reply(job, Status.SERVED, work);
  }
}
