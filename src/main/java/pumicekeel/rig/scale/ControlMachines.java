package pumicekeel.rig.scale;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeoutException;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import pumicekeel.runtime.Addresses;

/** Control machine processes that are peers of each other. */
final class ControlMachines implements Closeable {

  /** Maximum heap of each process. */
  static final long HEAP_BYTES = 256L << 20;

  private static final List<String> JVM_FLAGS =
      List.of("-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xmx" + HEAP_BYTES);
  private static final String READY_PREFIX = "control machine at ";

  private final Path folder;
  private final List<InetSocketAddress> addresses;
  private final List<ChildProcess> machines = new ArrayList<>();

  private ControlMachines(Path folder, List<InetSocketAddress> addresses) {
    this.folder = folder;
    this.addresses = addresses;
  }

  /**
   * Starts a number of control machines and waits until all listen.
   *
   * @throws RefusedException if one of them exits before it listens
   */
  static ControlMachines start(int count, Deadline deadline)
      throws RefusedException, TimeoutException, InterruptedException, IOException {
    ControlMachines started =
        new ControlMachines(Files.createTempDirectory("scale"), freeAddresses(count));
    try {
      for (int i = 0; i < count; i++) {
        started.machines.add(started.startMachine(i));
      }
      started.awaitReady(deadline);
      return started;
    } catch (RefusedException | TimeoutException | InterruptedException | IOException e) {
      started.close();
      throw e;
    }
  }

  private ChildProcess startMachine(int index) throws IOException {
    String peers = addresses.stream().map(Addresses::text).collect(Collectors.joining(","));
    List<String> arguments = List.of(
        "control",
        "serve",
        "--listen",
        Addresses.text(addresses.get(index)),
        "--directory",
        folder.resolve("control-" + index).toString(),
        "--peers",
        peers);
    return ChildProcess.start(JVM_FLAGS, Map.of(), arguments);
  }

  private void awaitReady(Deadline deadline)
      throws RefusedException, TimeoutException, InterruptedException {
    for (ChildProcess machine : machines) {
      deadline.await(
          "a control machine listens",
          () -> !machine.isRunning()
              || machine.lines().stream().anyMatch(line -> line.startsWith(READY_PREFIX)));
      if (!machine.isRunning()) {
        throw new RefusedException("control serve exited: " + machine.firstLine());
      }
    }
  }

  private static List<InetSocketAddress> freeAddresses(int count) throws IOException {
    List<ServerSocket> sockets = new ArrayList<>();
    try {
      for (int i = 0; i < count; i++) {
        sockets.add(new ServerSocket(0, 1, InetAddress.getLoopbackAddress()));
      }
      return sockets.stream()
          .map(s -> new InetSocketAddress(s.getInetAddress(), s.getLocalPort()))
          .toList();
    } finally {
      for (ServerSocket socket : sockets) {
        socket.close();
      }
    }
  }

  List<InetSocketAddress> addresses() {
    return addresses;
  }

  /** Returns the processor time used so far by all machines, in microseconds; the kernel counts each machine's in steps of 10 ms. */
  double processorMicros() {
    return machines.stream()
        .mapToDouble(machine -> machine.processorTime().toNanos() / 1e3)
        .sum();
  }

  /** Returns the largest peak resident set size of any machine, in bytes. */
  long peakBytes() throws IOException {
    long largest = 0;
    for (ChildProcess machine : machines) {
      largest = Math.max(largest, machine.peakBytes());
    }
    return largest;
  }

  @Override
  public void close() {
    machines.forEach(ChildProcess::close);
    try (Stream<Path> files = Files.walk(folder)) {
      for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
        Files.delete(file);
      }
    } catch (IOException e) {
      // A temporary folder that cannot be deleted does not affect the results.
    }
  }
}
