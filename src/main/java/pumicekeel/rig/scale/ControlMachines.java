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

/** Real control machines in processes of their own, each a peer of the others. */
final class ControlMachines implements Closeable {

  static final long HEAP_BYTES = 256L << 20;
  private static final List<String> FLAGS =
      List.of("-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xmx" + HEAP_BYTES);
  private static final String READY = "control machine at ";

  private final Path folder;
  private final List<InetSocketAddress> addresses;
  private final List<ChildProcess> machines = new ArrayList<>();

  private ControlMachines(Path folder, List<InetSocketAddress> addresses) {
    this.folder = folder;
    this.addresses = addresses;
  }

  /** Starts so many and waits until all listen. */
  static ControlMachines start(int count, Deadline deadline)
      throws RefusedException, TimeoutException, InterruptedException, IOException {
    ControlMachines all =
        new ControlMachines(Files.createTempDirectory("scale"), freeAddresses(count));
    try {
      for (int i = 0; i < count; i++) {
        all.machines.add(all.startMachine(i));
      }
      all.awaitReady(deadline);
      return all;
    } catch (RefusedException | TimeoutException | InterruptedException | IOException e) {
      all.close();
      throw e;
    }
  }

  private ChildProcess startMachine(int number) throws IOException {
    String peers = addresses.stream().map(Addresses::text).collect(Collectors.joining(","));
    List<String> arguments = List.of(
        "control",
        "serve",
        "--listen",
        Addresses.text(addresses.get(number)),
        "--directory",
        folder.resolve("control-" + number).toString(),
        "--peers",
        peers);
    return ChildProcess.start(FLAGS, Map.of(), arguments);
  }

  private void awaitReady(Deadline deadline)
      throws RefusedException, TimeoutException, InterruptedException {
    for (ChildProcess machine : machines) {
      deadline.await(
          "a control machine listens",
          () -> !machine.isRunning()
              || machine.lines().stream().anyMatch(line -> line.startsWith(READY)));
      if (!machine.isRunning()) {
        throw new RefusedException("control serve ended: " + machine.firstLine());
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

  /** Processor time of all of them so far, in microseconds; the system's grain is 10 ms a machine. */
  double processorMicros() {
    return machines.stream()
        .mapToDouble(machine -> machine.processorTime().toNanos() / 1e3)
        .sum();
  }

  /** The largest resident set that one of them has had. */
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
      // A temporary folder that stays behind spoils nothing.
    }
  }
}
