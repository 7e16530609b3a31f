package pumicekeel.fleet;

import java.io.IOException;
import java.net.SocketAddress;
import java.net.UnixDomainSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** Asks an instance at its admin endpoint whether it is up, and for its view of the fleet. Blocks, so not on the daemon's thread. */
final class InstanceAdminClient {

  /**
   * What an instance said.
   *
   * @param answered whether it said anything: its loop turns
   * @param up whether it takes clients
   * @param view what it holds of the fleet, JSON; null where it holds nothing or was not asked
   */
  record InstanceStatus(boolean answered, boolean up, String view) {}

  /** A query may not keep the others waiting: a hung instance takes connections, by the kernel, and says nothing. */
  private static final long QUERY_TIMEOUT_MILLIS = 250;
  /** A view names members; beyond this it is none. */
  private static final int MAX_ANSWER_BYTES = 8 << 10;

  private static final String YES = "YES";

  private final Settings settings;
  private final RunDirectory run;
  private final ScheduledExecutorService guard =
      Executors.newSingleThreadScheduledExecutor(work -> {
        Thread thread = new Thread(work, "look-guard");
        thread.setDaemon(true);
        return thread;
      });

  InstanceAdminClient(Settings settings, RunDirectory run) {
    this.settings = settings;
    this.run = run;
  }

  /** Asks whether it is up, and for its view where that is wanted. */
  InstanceStatus query(int instance, boolean wantsView) {
    Path path = RunDirectory.door(run.path(), instance);
    if (!settings.oneAddress() && !Files.exists(path)) {
      // One that an earlier build's daemon started.
      String head = ask(
          settings.addressOf(instance),
          "GET /up HTTP/1.1\r\nHost: fleet\r\nConnection: close\r\n\r\n");
      return new InstanceStatus(!head.isEmpty(), head.startsWith("HTTP/1.1 200"), null);
    }
    SocketAddress door =
        settings.oneAddress() ? settings.addressOf(instance) : UnixDomainSocketAddress.of(path);
    String ready = ask(door, "readyz\n");
    String view = wantsView && !ready.isEmpty() ? ask(door, "peers\n") : "";
    return new InstanceStatus(
        !ready.isEmpty(),
        ready.startsWith(YES),
        view.startsWith(YES + " {") ? view.substring(YES.length()).strip() : null);
  }

  /** The answer, as far as it came in time; empty for none. */
  private String ask(SocketAddress at, String call) {
    ByteBuffer in = ByteBuffer.allocate(MAX_ANSWER_BYTES);
    try (SocketChannel channel = SocketChannel.open(
        at instanceof UnixDomainSocketAddress
            ? java.net.StandardProtocolFamily.UNIX
            : java.net.StandardProtocolFamily.INET)) {
      Future<?> late = guard.schedule(
          () -> {
            channel.close();
            return null;
          },
          QUERY_TIMEOUT_MILLIS,
          TimeUnit.MILLISECONDS);
      channel.connect(at);
      channel.write(ByteBuffer.wrap(call.getBytes(StandardCharsets.US_ASCII)));
      while (in.hasRemaining() && channel.read(in) >= 0) {
        // It closes behind its answer.
      }
      late.cancel(false);
    } catch (IOException | java.util.concurrent.RejectedExecutionException e) {
      // Not there, cut off as too late, or the daemon's own end.
      return "";
    }
    return new String(in.array(), 0, in.position(), StandardCharsets.US_ASCII);
  }

  void close() {
    guard.shutdownNow();
  }
}
