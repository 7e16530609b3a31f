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

/** Queries the admin endpoint of an instance for its readiness and its view of the fleet. Blocks, so not for the daemon's thread. */
final class InstanceAdminClient {

  /**
   * Status of an instance.
   *
   * @param responded whether it responded at all, so that its event loop runs
   * @param up whether it accepts clients
   * @param view its view of the fleet as JSON; null if it has none or was not queried for it
   */
  record InstanceStatus(boolean responded, boolean up, String view) {}

  /** Bounds the delay of other queries: the kernel accepts connections for a hung instance, which then sends nothing. */
  private static final long QUERY_TIMEOUT_MILLIS = 250;
  /** Maximum size of a response; a longer view is cut off. */
  private static final int MAX_RESPONSE_BYTES = 8 << 10;

  private static final String YES = "YES";

  private final Settings settings;
  private final RunDirectory run;
  private final ScheduledExecutorService timeouts =
      Executors.newSingleThreadScheduledExecutor(work -> {
        Thread thread = new Thread(work, "look-guard");
        thread.setDaemon(true);
        return thread;
      });

  InstanceAdminClient(Settings settings, RunDirectory run) {
    this.settings = settings;
    this.run = run;
  }

  /** Queries an instance for its readiness and, if wanted, its view of the fleet. */
  InstanceStatus query(int instance, boolean wantsView) {
    Path path = RunDirectory.adminSocket(run.path(), instance);
    if (!settings.oneAddress() && !Files.exists(path)) {
      // Started by the daemon of an earlier build, which gave instances no admin socket.
      String head = send(
          settings.addressOf(instance),
          "GET /up HTTP/1.1\r\nHost: fleet\r\nConnection: close\r\n\r\n");
      return new InstanceStatus(!head.isEmpty(), head.startsWith("HTTP/1.1 200"), null);
    }
    SocketAddress endpoint =
        settings.oneAddress() ? settings.addressOf(instance) : UnixDomainSocketAddress.of(path);
    String ready = send(endpoint, "readyz\n");
    String view = wantsView && !ready.isEmpty() ? send(endpoint, "peers\n") : "";
    return new InstanceStatus(
        !ready.isEmpty(),
        ready.startsWith(YES),
        view.startsWith(YES + " {") ? view.substring(YES.length()).strip() : null);
  }

  /** Sends a request and returns the part of the response received in time; empty if there is none. */
  private String send(SocketAddress endpoint, String request) {
    ByteBuffer in = ByteBuffer.allocate(MAX_RESPONSE_BYTES);
    try (SocketChannel channel = SocketChannel.open(
        endpoint instanceof UnixDomainSocketAddress
            ? java.net.StandardProtocolFamily.UNIX
            : java.net.StandardProtocolFamily.INET)) {
      Future<?> timeout = timeouts.schedule(
          () -> {
            channel.close();
            return null;
          },
          QUERY_TIMEOUT_MILLIS,
          TimeUnit.MILLISECONDS);
      channel.connect(endpoint);
      channel.write(ByteBuffer.wrap(request.getBytes(StandardCharsets.US_ASCII)));
      while (in.hasRemaining() && channel.read(in) >= 0) {
        // The instance closes the connection after its response.
      }
      timeout.cancel(false);
    } catch (IOException | java.util.concurrent.RejectedExecutionException e) {
      // Not reachable, timed out, or the daemon is closing.
      return "";
    }
    return new String(in.array(), 0, in.position(), StandardCharsets.US_ASCII);
  }

  void close() {
    timeouts.shutdownNow();
  }
}
