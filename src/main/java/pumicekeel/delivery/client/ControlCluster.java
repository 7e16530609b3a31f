package pumicekeel.delivery.client;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import pumicekeel.delivery.ConfigurationVersion;

/**
 * All control machines, as a writer and operators see them: asked at once, a majority decides. Blocks: for commands.
 */
public final class ControlCluster {

  /** A machine that was away catches up with its peers meanwhile. */
  private static final long CATCH_UP_NANOS = TimeUnit.SECONDS.toNanos(10);

  private static final long CATCH_UP_PERIOD_MILLIS = 250;

  /**
   * What one machine said.
   *
   * @param value null where it gave no answer
   * @param error why it did not; null where it did
   */
  public record Answer<T>(InetSocketAddress address, T value, String error) {}

  /**
   * What came of a publish.
   *
   * @param version that was published; null where it came to no try
   * @param refusal why it came to no try; null where it did
   */
  public record Publication(
      ConfigurationVersion version, String refusal, List<Answer<ControlApi.Published>> answers) {

    /** Whether a majority of all machines keeps the version. */
    public boolean isAcknowledged() {
      long accepted = answers.stream()
          .filter(a -> a.value() != null && a.value().accepted())
          .count();
      return accepted * 2 > answers.size();
    }
  }

  @FunctionalInterface
  private interface Call<T> {
    T on(ControlApi api) throws IOException, InterruptedException;
  }

  private final List<InetSocketAddress> addresses;

  /** Makes one of all control machines; the majority is counted of these. */
  public ControlCluster(List<InetSocketAddress> addresses) {
    this.addresses = List.copyOf(addresses);
  }

  /** What each machine knows. */
  public List<Answer<ControlApi.Status>> statuses() throws InterruptedException {
    return callAll(addresses, ControlApi::status);
  }

  /** The newest version that a machine keeps, of those that answered. */
  public static ConfigurationVersion newest(List<Answer<ControlApi.Status>> statuses) {
    ConfigurationVersion newest = ConfigurationVersion.NONE;
    for (Answer<ControlApi.Status> status : statuses) {
      if (status.value() != null) {
        newest = ConfigurationVersion.later(newest, status.value().current());
      }
    }
    return newest;
  }

  /**
   * Publishes a text as the version behind the newest one; the same text again is the same version, so that a publish that got no majority
   * can be repeated.
   */
  public Publication publish(long epoch, boolean dryRun, String text) throws InterruptedException {
    List<Answer<ControlApi.Status>> statuses = statuses();
    long reached = statuses.stream().filter(s -> s.value() != null).count();
    if (reached * 2 <= addresses.size()) {
      return new Publication(
          null,
          "only " + reached + " of " + addresses.size() + " control machines answer, no majority",
          List.of());
    }
    ConfigurationVersion newest = newest(statuses);
    if (epoch < newest.epoch()) {
      return new Publication(
          null, "epoch " + epoch + " is older than that of version " + newest, List.of());
    }
    ConfigurationVersion version = next(newest, epoch, text);
    return new Publication(version, null, publish(statuses, version, dryRun, text));
  }

  private static ConfigurationVersion next(ConfigurationVersion newest, long epoch, String text) {
    long sequence = epoch == newest.epoch() ? newest.sequence() : 0;
    ConfigurationVersion same = ConfigurationVersion.of(epoch, sequence, text);
    return same.equals(newest) ? same : new ConfigurationVersion(epoch, sequence + 1, same.hash());
  }

  /** Publishes to the machines that have told their status; one that is silent would only be waited for once more. */
  private static List<Answer<ControlApi.Published>> publish(
      List<Answer<ControlApi.Status>> statuses,
      ConfigurationVersion version,
      boolean dryRun,
      String text)
      throws InterruptedException {
    List<Answer<ControlApi.Published>> answers = new ArrayList<>(callAll(
        statuses.stream().filter(s -> s.value() != null).map(Answer::address).toList(),
        api -> api.publish(version, dryRun, text)));
    statuses.stream()
        .filter(s -> s.value() == null)
        .forEach(s -> answers.add(new Answer<>(s.address(), null, s.error())));
    return catchUp(answers, version, dryRun, text);
  }

  private static List<Answer<ControlApi.Published>> catchUp(
      List<Answer<ControlApi.Published>> first,
      ConfigurationVersion version,
      boolean dryRun,
      String text)
      throws InterruptedException {
    List<Answer<ControlApi.Published>> answers = first;
    long end = System.nanoTime() + CATCH_UP_NANOS;
    while (answers.stream().anyMatch(a -> isCatchingUp(a, version)) && System.nanoTime() < end) {
      TimeUnit.MILLISECONDS.sleep(CATCH_UP_PERIOD_MILLIS);
      answers = retryCatchingUp(answers, version, dryRun, text);
    }
    return answers;
  }

  /** Whether a machine lacks versions before this one, which its peers have. */
  private static boolean isCatchingUp(
      Answer<ControlApi.Published> answer, ConfigurationVersion version) {
    return answer.value() != null
        && !answer.value().accepted()
        && answer.value().result().equals("out_of_order")
        && version.isNewerThan(answer.value().current());
  }

  private static List<Answer<ControlApi.Published>> retryCatchingUp(
      List<Answer<ControlApi.Published>> answers,
      ConfigurationVersion version,
      boolean dryRun,
      String text)
      throws InterruptedException {
    List<Answer<ControlApi.Published>> out = new ArrayList<>();
    for (Answer<ControlApi.Published> answer : answers) {
      out.add(
          isCatchingUp(answer, version)
              ? callAll(List.of(answer.address()), api -> api.publish(version, dryRun, text))
                  .get(0)
              : answer);
    }
    return out;
  }

  /** Asks machines at once, so that one that is silent holds up no other. */
  private static <T> List<Answer<T>> callAll(List<InetSocketAddress> targets, Call<T> call)
      throws InterruptedException {
    ExecutorService threads = Executors.newFixedThreadPool(targets.size());
    try {
      List<Future<T>> pending = new ArrayList<>();
      for (InetSocketAddress address : targets) {
        pending.add(threads.submit(() -> call.on(new ControlApi(address))));
      }
      List<Answer<T>> answers = new ArrayList<>();
      for (int i = 0; i < targets.size(); i++) {
        answers.add(answerOf(targets.get(i), pending.get(i)));
      }
      return answers;
    } finally {
      threads.shutdownNow();
    }
  }

  private static <T> Answer<T> answerOf(InetSocketAddress address, Future<T> pending)
      throws InterruptedException {
    try {
      return new Answer<>(address, pending.get(), null);
    } catch (ExecutionException e) {
      String why = e.getCause().getMessage();
      return new Answer<>(
          address, null, why == null ? e.getCause().getClass().getSimpleName() : why);
    }
  }
}
