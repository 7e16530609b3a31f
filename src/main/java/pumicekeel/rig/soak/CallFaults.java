package pumicekeel.rig.soak;

import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteOrder;
import java.nio.MappedByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Injects system call failures into child processes through a preloaded library. Its source is a resource of this package; the C
 * compiler {@code cc} builds it at first use. One instance controls one running process at a time through a memory-mapped page.
 */
public final class CallFaults implements Closeable {

  private static final String SOURCE = "call_faults.c";
  private static final int SLOT_BYTES = 32;
  private static final int INJECTED_OFFSET = 8;
  private static final int ARGUMENT_OFFSET = 24;
  private static final long BUILD_TIMEOUT_SECONDS = 60;
  private static Path library;

  private final Path page;
  private final Path folder;
  private final long seed;
  private final MappedByteBuffer slots;

  /** Creates an injector with this seed; file faults affect only files below {@code folder}. */
  public CallFaults(Path folder, long seed) throws IOException, InterruptedException {
    build();
    this.folder = folder;
    this.seed = seed;
    // Outside the folder, else the file faults would affect the page itself.
    page = Files.createTempFile("call-faults", ".page");
    int bytes = SLOT_BYTES * CallKind.values().length;
    Files.write(page, new byte[bytes]);
    try (FileChannel file =
        FileChannel.open(page, StandardOpenOption.READ, StandardOpenOption.WRITE)) {
      slots = file.map(FileChannel.MapMode.READ_WRITE, 0, bytes);
    }
    slots.order(ByteOrder.nativeOrder());
  }

  private static synchronized Path build() throws IOException, InterruptedException {
    if (library != null) {
      return library;
    }
    Path directory = Files.createTempDirectory("call-faults");
    Path source = directory.resolve(SOURCE);
    try (InputStream resource = CallFaults.class.getResourceAsStream(SOURCE)) {
      Files.copy(resource, source);
    }
    Path output = directory.resolve("call_faults.so");
    Process compiler = new ProcessBuilder(
            "cc", "-shared", "-fPIC", "-O2", "-o", output.toString(), source.toString(), "-ldl")
        .redirectErrorStream(true)
        .start();
    String compilerOutput = new String(compiler.getInputStream().readAllBytes());
    if (!compiler.waitFor(BUILD_TIMEOUT_SECONDS, TimeUnit.SECONDS) || compiler.exitValue() != 0) {
      throw new IOException("cc failed to build " + SOURCE + ": " + compilerOutput);
    }
    library = output;
    return output;
  }

  /** Adds the variables that load and configure the library to the environment of a process to be started. */
  public void addTo(Map<String, String> environment) {
    environment.put("LD_PRELOAD", library.toString());
    environment.put("CALL_FAULTS_PAGE", page.toString());
    environment.put("CALL_FAULTS_FOLDER", folder.toString());
    environment.put("CALL_FAULTS_SEED", Long.toString(seed));
  }

  /** Sets how many calls of this kind fail from now on, per thousand; 0 for none. */
  public void setRate(CallKind kind, int perMille) {
    slots.putInt(kind.ordinal() * SLOT_BYTES, perMille);
  }

  /** Sets the offset of the wall clock from the true time; negative if it is behind. */
  public void setWallClockOffset(long nanos) {
    slots.putLong(CallKind.WALL_CLOCK.ordinal() * SLOT_BYTES + ARGUMENT_OFFSET, nanos);
  }

  /** Stops all call failures; the offset of the wall clock stays. */
  public void stop() {
    for (CallKind kind : CallKind.values()) {
      setRate(kind, 0);
    }
  }

  /** Returns how many failures of this kind have been injected so far. */
  public long injected(CallKind kind) {
    return slots.getLong(kind.ordinal() * SLOT_BYTES + INJECTED_OFFSET);
  }

  /** Returns the failures injected so far, for all kinds. */
  public Map<CallKind, Long> injected() {
    Map<CallKind, Long> all = new EnumMap<>(CallKind.class);
    for (CallKind kind : CallKind.values()) {
      all.put(kind, injected(kind));
    }
    return all;
  }

  @Override
  public void close() throws IOException {
    Files.deleteIfExists(page);
  }
}
