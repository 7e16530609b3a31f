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
 * Makes system calls of child processes fail by a preloaded library, whose source is a resource of this package and which the C
 * compiler {@code cc} builds at first use. One instance controls one process at a time, while that runs, through a mapped page.
 */
public final class CallFaults implements Closeable {

  private static final String SOURCE = "call_faults.c";
  private static final int SLOT_BYTES = 32;
  private static final int INJECTED_AT = 8;
  private static final int ARGUMENT_AT = 24;
  private static final long BUILD_SECONDS = 60;
  private static Path library;

  private final Path page;
  private final Path folder;
  private final long seed;
  private final MappedByteBuffer slots;

  /** Faults by this seed; those of files strike only below {@code folder}, which also holds the control page. */
  public CallFaults(Path folder, long seed) throws IOException, InterruptedException {
    build();
    this.folder = folder;
    this.seed = seed;
    // Beside the folder, or the faults would strike the page itself.
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
    Path built = Files.createTempDirectory("call-faults");
    Path source = built.resolve(SOURCE);
    try (InputStream from = CallFaults.class.getResourceAsStream(SOURCE)) {
      Files.copy(from, source);
    }
    Path made = built.resolve("call_faults.so");
    Process compiler = new ProcessBuilder(
            "cc", "-shared", "-fPIC", "-O2", "-o", made.toString(), source.toString(), "-ldl")
        .redirectErrorStream(true)
        .start();
    String said = new String(compiler.getInputStream().readAllBytes());
    if (!compiler.waitFor(BUILD_SECONDS, TimeUnit.SECONDS) || compiler.exitValue() != 0) {
      throw new IOException("cc could not build " + SOURCE + ": " + said);
    }
    library = made;
    return made;
  }

  /** Loads the library into a process that is to be started with this environment. */
  public void into(Map<String, String> environment) {
    environment.put("LD_PRELOAD", library.toString());
    environment.put("CALL_FAULTS_PAGE", page.toString());
    environment.put("CALL_FAULTS_FOLDER", folder.toString());
    environment.put("CALL_FAULTS_SEED", Long.toString(seed));
  }

  /** Calls of this kind fail from now on, so many in a thousand; 0 for none. */
  public void rate(CallKind kind, int perMille) {
    slots.putInt(kind.ordinal() * SLOT_BYTES, perMille);
  }

  /** The wall clock is ahead by so much from now on; negative for behind. */
  public void wallClockAhead(long nanos) {
    slots.putLong(CallKind.WALL_CLOCK.ordinal() * SLOT_BYTES + ARGUMENT_AT, nanos);
  }

  /** No call fails any more; the wall clock stays as it is. */
  public void stop() {
    for (CallKind kind : CallKind.values()) {
      rate(kind, 0);
    }
  }

  /** How many calls of this kind were made to fail so far. */
  public long injected(CallKind kind) {
    return slots.getLong(kind.ordinal() * SLOT_BYTES + INJECTED_AT);
  }

  /** The same of all kinds. */
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
