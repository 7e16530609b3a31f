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
 * Model of one upstream: a fixed number of slots in front of cores that all running requests share evenly (processor sharing; with as
 * many slots as cores it is the plain M/M/c queue). A request does its work on a core and then waits for other systems while it holds
 * its slot. A started request runs to its end even if nobody waits for it any more.
 *
 * <p>Assumptions: sharing a core costs nothing up to four requests per core and {@code contentionCost} for each one beyond (the operators'
 * simulator: holding too many requests makes an upstream less efficient); the capacity of a cold upstream rises linearly with time (the
 * operators' simulator); a recently used session key saves a fixed share of the work, and the servers of a cell drop repeats of an
 * idempotency key within the class's dedup window without any work (both from the operators' requirements).
 */
public final class Server {

  /** Receives the progress of a request. */
  public interface JobListener {

    /** The request starts to run. */
    void onStart();

    /** The request has ended; {@code work} was done for it, in nanoseconds on a core of the reference speed. */
    void onEnd(Status status, double work);
  }

  /**
   * A request as an upstream sees it.
   *
   * @param work in nanoseconds on a core of the reference speed, without the saving of a remembered session key
   * @param waitNanos time in which the request waits for other systems after its work
   */
  public record Job(
      String sessionKey,
      String idempotencyKey,
      Effect effect,
      long dedupWindowNanos,
      double work,
      long waitNanos,
      JobListener listener) {}

  /** A request that does its work, or the work of a new connection's handshake if {@code job} is null. */
  private static final class RunningJob implements Comparable<RunningJob> {
    private final Job job;
    private final double finishAtService;
    private final long order;
    private final double work;

    private RunningJob(Job job, double finishAtService, double work, long order) {
      this.job = job;
      this.finishAtService = finishAtService;
      this.work = work;
      this.order = order;
    }

    @Override
    public int compareTo(RunningJob other) {
      return finishAtService != other.finishAtService
          ? Double.compare(finishAtService, other.finishAtService)
          : Long.compare(order, other.order);
    }
  }

  /** State that all servers of a cell share: when each keyed request first ran. */
  public static final class Cell {
    private final Map<String, Long> firstRunAt = new HashMap<>();

    /** Returns whether the request has run in this cell within the dedup window. */
    private boolean isDuplicate(String idempotencyKey, long now, long window) {
      Long ranAt = firstRunAt.get(idempotencyKey);
      return ranAt != null && now - ranAt <= window;
    }
  }

  /** Interval at which the speed of a cold server is recalculated. */
  private static final long WARM_UP_STEP_NANOS = 100_000_000L;

  /** Requests per core that share the cores without {@code contentionCost}. */
  private static final int EFFICIENT_JOBS_PER_CORE = 4;

  /** Identifies the upstream in lists. */
  public final long id;

  /** Name of the zone that it runs in. */
  public final String zone;

  /** Number of its cell; the servers of a cell drop each other's repeats. */
  public final int cellNumber;

  private final ServerSpec spec;
  private final Cell cell;
  private final EventScheduler scheduler;
  private final PriorityQueue<RunningJob> running = new PriorityQueue<>();
  private final ArrayDeque<Job> queued = new ArrayDeque<>();
  private final LinkedHashMap<String, Long> keyLastUsedAt;
  /** Jobs that have done their work and hold their slot while they wait for other systems. */
  private final List<Job> inExternalWait = new ArrayList<>();

  /** Work that a job running since the beginning would have got; a job is done when this reaches its {@code finishAtService}. */
  private double attainedService;

  private long advancedAt;
  private long nextOrder;
  private EventScheduler.Timer nextStep;
  private long startedAt;
  private boolean up = true;
  private boolean responsesLost;
  private double slowdown = 1;
  private double failureShare;
  private int connections;
  private int incarnation;
  private double workDone;

  /** Creates a server; a negative {@code startedAt} means that it is warm. */
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
    advancedAt = scheduler.now();
    int maxKeys = spec.maxKeys();
    keyLastUsedAt = new LinkedHashMap<>(16, 0.75f, true) {
      private static final long serialVersionUID = 1L;

      @Override
      protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
        return size() > maxKeys;
      }
    };
  }

  // State

  /** Returns the properties of this server. */
  public ServerSpec spec() {
    return spec;
  }

  /** Returns whether the process runs. */
  public boolean up() {
    return up;
  }

  /** Returns the time of the last start; negative if it was long before the run, so that the server is warm. */
  public long startedAt() {
    return startedAt;
  }

  /** Returns the number of requests that it holds, including queued ones. */
  public int held() {
    return running.size() + inExternalWait.size() + queued.size();
  }

  /** Returns the work that it has done, in nanoseconds on a core of the reference speed. */
  public double workDone() {
    return workDone;
  }

  /** Returns the share of its full capacity that it has reached since its start. */
  public double warmth(long now) {
    return startedAt < 0 || spec.warmUpNanos() == 0
        ? 1
        : Math.min(
            1, spec.coldFrom() + (1 - spec.coldFrom()) * (now - startedAt) / spec.warmUpNanos());
  }

  // Faults and requests

  /** Crashes: all requests that it holds are reset, and new ones too. */
  public void crash() {
    if (!up) {
      return;
    }
    advance();
    up = false;
    incarnation++;
    List<Job> lost = new ArrayList<>(inExternalWait);
    running.forEach(runningJob -> lost.add(runningJob.job));
    lost.addAll(queued);
    inExternalWait.clear();
    running.clear();
    queued.clear();
    keyLastUsedAt.clear();
    connections = 0;
    reschedule();
    lost.stream().filter(job -> job != null).forEach(job -> job.listener().onEnd(Status.RESET, 0));
  }

  /** Starts again, cold. */
  public void restart() {
    up = true;
    startedAt = scheduler.now();
    slowdown = 1;
    failureShare = 0;
    advancedAt = scheduler.now();
  }

  /** Makes each core slower by a factor from now on; 1 is the normal speed. */
  public void slow(double factor) {
    advance();
    slowdown = factor;
    reschedule();
  }

  /** Makes a share of the requests end in an error from now on, 1 ms after they start to run. */
  public void fail(double share) {
    failureShare = share;
  }

  /** Sets whether responses are lost from now on. Requests still arrive and run. */
  public void loseResponses(boolean lost) {
    responsesLost = lost;
  }

  /** Opens a connection. Returns false if the server is down or has reached its limit. */
  public boolean connect() {
    if (!up || connections >= spec.maxConnections()) {
      return false;
    }
    connections++;
    if (spec.handshakeWorkNanos() > 0) {
      advance();
      running.add(new RunningJob(
          null,
          attainedService + spec.handshakeWorkNanos(),
          spec.handshakeWorkNanos(),
          nextOrder++));
      reschedule();
    }
    return true;
  }

  /** Closes a connection. */
  public void disconnect() {
    connections = Math.max(0, connections - 1);
  }

  /** Accepts a request. The job's listener is told how it ends, within this call if the request is rejected or reset. */
  public void submit(Job job, RandomStream random) {
    if (!up) {
      job.listener().onEnd(Status.RESET, 0);
    } else if (running.size() + inExternalWait.size() >= spec.slots()) {
      if (queued.size() >= spec.queueLength()) {
        job.listener().onEnd(Status.FULL, 0);
      } else {
        queued.add(job);
      }
    } else if (failureShare > 0 && random.uniform() < failureShare) {
      recordStart(job);
      int ownIncarnation = incarnation;
      scheduler.in(1_000_000L, () -> {
        if (ownIncarnation == incarnation) {
          respond(job, Status.ERROR, 0);
        }
      });
    } else {
      start(job);
    }
  }

  private void start(Job job) {
    advance();
    execute(job);
    reschedule();
  }

  private void execute(Job job) {
    boolean duplicate = job.effect() == Effect.KEYED
        && cell.isDuplicate(job.idempotencyKey(), scheduler.now(), job.dedupWindowNanos());
    recordStart(job);
    double work =
        duplicate ? 0 : job.work() * (1 - (remembers(job.sessionKey()) ? spec.keyHitSaving() : 0));
    running.add(new RunningJob(job, attainedService + work, work, nextOrder++));
  }

  private void recordStart(Job job) {
    job.listener().onStart();
    if (job.effect() == Effect.KEYED) {
      cell.firstRunAt.putIfAbsent(job.idempotencyKey(), scheduler.now());
    }
  }

  private boolean remembers(String sessionKey) {
    if (sessionKey == null || spec.maxKeys() == 0) {
      return false;
    }
    Long lastUsedAt = keyLastUsedAt.put(sessionKey, scheduler.now());
    return lastUsedAt != null && scheduler.now() - lastUsedAt <= spec.keyRetentionNanos();
  }

  private void respond(Job job, Status status, double work) {
    if (!responsesLost) {
      job.listener().onEnd(status, work);
    }
  }

  // Processor sharing

  /** Returns the work that each running request gets per nanosecond. */
  private double currentRate() {
    int runningJobs = running.size();
    if (runningJobs == 0 || !up) {
      return 0;
    }
    double excessJobs =
        Math.max(0, runningJobs + inExternalWait.size() - EFFICIENT_JOBS_PER_CORE * spec.cores());
    return spec.speed()
        * warmth(scheduler.now())
        / slowdown
        * Math.min(1, spec.cores() / (double) runningJobs)
        / (1 + spec.contentionCost() * excessJobs);
  }

  private double ratePerJob;

  /** Accounts for the work done since the last change. */
  private void advance() {
    long now = scheduler.now();
    double done = (now - advancedAt) * ratePerJob;
    attainedService += done;
    workDone += done * running.size();
    advancedAt = now;
  }

  private void reschedule() {
    if (nextStep != null) {
      nextStep.cancel();
      nextStep = null;
    }
    ratePerJob = currentRate();
    if (running.isEmpty() || ratePerJob == 0) {
      return;
    }
    long untilNextNanos = (long)
        Math.ceil(Math.max(0, running.peek().finishAtService - attainedService) / ratePerJob);
    boolean warmingUp = warmth(scheduler.now()) < 1;
    nextStep = scheduler.in(
        warmingUp ? Math.min(untilNextNanos, WARM_UP_STEP_NANOS) : untilNextNanos,
        this::completeDueJobs);
  }

  private void completeDueJobs() {
    nextStep = null;
    advance();
    // Time has a resolution of 1 ns: without the tolerance a due job could be left for another
    // step.
    double tolerance = Math.max(1e-6, attainedService * 1e-12) + ratePerJob;
    while (!running.isEmpty() && running.peek().finishAtService <= attainedService + tolerance) {
      RunningJob done = running.poll();
      if (done.job != null) {
        finishWork(done.job, done.work);
      }
    }
    reschedule();
  }

  private void finishWork(Job job, double work) {
    if (job.waitNanos() == 0) {
      complete(job, work);
      return;
    }
    inExternalWait.add(job);
    int ownIncarnation = incarnation;
    scheduler.in(job.waitNanos(), () -> {
      if (ownIncarnation == incarnation) {
        advance();
        inExternalWait.remove(job);
        complete(job, work);
        reschedule();
      }
    });
  }

  /** Ends a request and gives its slot to the next queued one. */
  private void complete(Job job, double work) {
    if (!queued.isEmpty()) {
      execute(queued.poll());
    }
    respond(job, Status.SERVED, work);
  }
}
