package pumicekeel.delivery.client;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import pumicekeel.adapter.Fields;
import pumicekeel.delivery.Candidate;
import pumicekeel.delivery.ConfigurationDelta;
import pumicekeel.delivery.ConfigurationRequest;
import pumicekeel.delivery.ConfigurationVersion;
import pumicekeel.delivery.PartRequest;
import pumicekeel.delivery.ReplicaReport;
import pumicekeel.delivery.Reply;
import pumicekeel.delivery.StoredConfiguration;
import pumicekeel.delivery.Subscription;
import pumicekeel.delivery.wire.DeliveryPaths;
import pumicekeel.delivery.wire.ReplyFormat;
import pumicekeel.runtime.Addresses;

/** Calls of a writer and of operators to one control machine. Blocks: for commands, never for an event loop. */
public final class ControlApi {

  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);
  /** A publish is answered after the whole text has been checked. */
  private static final Duration PUBLISH_TIMEOUT = Duration.ofSeconds(60);
  /** All other calls are answered at once; a stalled machine must not delay the others. */
  private static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(5);
  /** Number of busy replies after which a fetch fails; a machine is busy while it serves its maximum number of snapshots. */
  private static final int MAX_BUSY_REPLIES = 10;

  /** A command is not a replica, so it has no name. */
  private static final String NO_NAME = "";

  /**
   * Reply of a control machine to a publish.
   *
   * @param accepted whether it keeps the version, or would keep it in a dry run
   * @param result result word of the reply
   * @param current the version that it keeps now
   * @param lines why it does not
   */
  public record Published(
      boolean accepted, String result, ConfigurationVersion current, List<String> lines) {}

  /** State of a control machine. */
  public record Status(ConfigurationVersion current, List<Replica> replicas) {}

  /** Last report of a subscriber and its age; {@code behind} counts versions and is null for another epoch. */
  public record Replica(ReplicaReport report, Long behind, long lastReportMillisAgo) {}

  private final InetSocketAddress address;
  private final HttpClient client = HttpClient.newBuilder()
      .version(HttpClient.Version.HTTP_1_1)
      .connectTimeout(CONNECT_TIMEOUT)
      .build();

  /** Creates a client; it connects with each call. */
  public ControlApi(InetSocketAddress address) {
    this.address = address;
  }

  /** Publishes a version; throws an IOException if there is no reply. */
  public Published publish(ConfigurationVersion version, boolean dryRun, String text)
      throws IOException, InterruptedException {
    String target = DeliveryPaths.target(new DeliveryPaths.Publication(version, dryRun));
    byte[] body = text.getBytes(StandardCharsets.UTF_8);
    HttpResponse<byte[]> response = send(request(target)
        .timeout(PUBLISH_TIMEOUT)
        .POST(HttpRequest.BodyPublishers.ofByteArray(body)));
    Fields fields = fields(response);
    List<String> lines = new ArrayList<>();
    ((List<?>) fields.values().get("lines")).forEach(l -> lines.add(String.valueOf(l)));
    return new Published(
        response.statusCode() == 200,
        fields.text("result"),
        ConfigurationVersion.parse(fields.text("version")),
        lines);
  }

  /** Returns which replica has which version, as reported to this machine. */
  public Status status() throws IOException, InterruptedException {
    HttpResponse<byte[]> response = send(request(DeliveryPaths.REPLICAS).GET());
    if (response.statusCode() != 200) {
      throw new IOException("answer " + response.statusCode());
    }
    Fields fields = fields(response);
    List<Replica> replicas = new ArrayList<>();
    for (Fields replica : fields.objects("replicas")) {
      replicas.add(replica(replica));
    }
    return new Status(ConfigurationVersion.parse(fields.text("version")), replicas);
  }

  private static Replica replica(Fields fields) {
    ReplicaReport report = new ReplicaReport(
        fields.text("name"),
        ConfigurationVersion.parse(fields.text("in-force")),
        ConfigurationVersion.parse(fields.text("refused")),
        fields.text("trouble"));
    Long behind = fields.has("behind") ? Long.valueOf(fields.integer("behind")) : null;
    return new Replica(report, behind, fields.integer("heard-ms-ago"));
  }

  /** Returns the version that the machine keeps now; null if it has none. */
  public StoredConfiguration fetch() throws IOException, InterruptedException {
    ConfigurationVersion current = status().current();
    if (current.equals(ConfigurationVersion.NONE)) {
      return null;
    }
    // A served snapshot may be some seconds old; naming the predecessor as known excludes older
    // ones.
    ConfigurationVersion before = new ConfigurationVersion(
        current.epoch(), current.sequence() - 1, ConfigurationVersion.NONE.hash());
    Subscription subscription =
        new Subscription(1, ConfigurationVersion.NONE, System.nanoTime(), System.nanoTime());
    int busy = 0;
    while (busy < MAX_BUSY_REPLIES) {
      Subscription.Step step = subscription.next(System.nanoTime());
      if (step instanceof Subscription.Wait wait) {
        TimeUnit.NANOSECONDS.sleep(wait.untilNanos() - System.nanoTime());
      } else if (step instanceof Subscription.Apply apply) {
        return stored(apply.candidate());
      } else {
        Reply reply = reply(step, before);
        if (reply instanceof Reply.Failed failed) {
          throw new IOException(failed.reason());
        }
        busy += reply instanceof Reply.Busy ? 1 : 0;
        subscription.replied(callOf(step), reply, System.nanoTime());
      }
    }
    throw new IOException("the control machine is busy with other snapshots");
  }

  private static long callOf(Subscription.Step step) {
    return step instanceof Subscription.Poll next
        ? next.call()
        : ((Subscription.FetchPart) step).call();
  }

  private Reply reply(Subscription.Step step, ConfigurationVersion known)
      throws IOException, InterruptedException {
    ReplicaReport report =
        new ReplicaReport(NO_NAME, ConfigurationVersion.NONE, ConfigurationVersion.NONE, "");
    String target = step instanceof Subscription.FetchPart next
        ? DeliveryPaths.target(new PartRequest(NO_NAME, next.version(), next.offset()))
        : DeliveryPaths.target(
            new ConfigurationRequest(report, ConfigurationVersion.NONE, known, 0));
    HttpResponse<byte[]> response = send(request(target).GET());
    return ReplyFormat.reply(
        response.statusCode(),
        name -> response.headers().firstValue(name).orElse(""),
        response.body());
  }

  private static StoredConfiguration stored(Candidate candidate) throws IOException {
    try {
      return new StoredConfiguration(
          candidate.version(), System.currentTimeMillis(), candidate.text(""));
    } catch (ConfigurationDelta.NotApplicableException e) {
      throw new IOException(e.getMessage(), e);
    }
  }

  private HttpRequest.Builder request(String target) {
    return HttpRequest.newBuilder(URI.create("http://" + Addresses.text(address) + target))
        .timeout(ANSWER_TIMEOUT);
  }

  private HttpResponse<byte[]> send(HttpRequest.Builder request)
      throws IOException, InterruptedException {
    return client.send(request.build(), HttpResponse.BodyHandlers.ofByteArray());
  }

  private static Fields fields(HttpResponse<byte[]> response) throws IOException {
    String text = new String(response.body(), StandardCharsets.UTF_8);
    if (!text.startsWith("{")) {
      throw new IOException("answer " + response.statusCode() + " " + text);
    }
    return Fields.parse("answer", text);
  }
}
