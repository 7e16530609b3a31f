package pumicekeel.journal;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.concurrent.Semaphore;
import pumicekeel.Balancer.DedupScope;
import pumicekeel.Balancer.Effect;
import pumicekeel.Balancer.Status;

/** Measures the cost of the journal alone, for the measuring command. */
public final class JournalCost {

  private static final int MAX_UNCONFIRMED = 2_000;

  private JournalCost() {}

  /** Writes this amount, then reads it as a query and as a start do; returns the figures as text. */
  public static String measure(Path folder, int mebibytes)
      throws IOException, InterruptedException {
    long targetBytes = (long) mebibytes << 20;
    JournalWriter.Settings settings = new JournalWriter.Settings(
        Durability.PROCESS, true, 64L << 20, Long.MAX_VALUE / 2, Long.MAX_VALUE / 2);
    Semaphore permits = new Semaphore(MAX_UNCONFIRMED);
    long records = 0;
    long start = System.nanoTime();
    try (Journal journal = Journal.open(folder.resolve("j"), "cost", settings, Runnable::run)) {
      for (long i = 0; records * 150 < targetBytes; i++) {
        String id = Long.toHexString(i * 0x9e3779b97f4a7c15L);
        permits.acquire();
        while (!journal
            .writer()
            .appendIntent(
                new Entry.Intent(
                    id,
                    "key-" + id,
                    "quote-issue",
                    Effect.KEYED,
                    DedupScope.CELL,
                    2_000_000_000L,
                    "steppe-auto",
                    "quotes|platform",
                    0,
                    "s-5be2a07c",
                    "10.1.0.18:5000",
                    "a",
                    3,
                    System.currentTimeMillis(),
                    System.nanoTime()),
                success -> permits.release())) {
          Thread.onSpinWait();
        }
        journal.writer().append(new Entry.Ended(id, 0, Status.SERVED, System.currentTimeMillis()));
        records += 2;
      }
    }
    double seconds = (System.nanoTime() - start) / 1e9;
    long bytes = FolderDisk.list(folder.resolve("j")).stream()
        .mapToLong(Disk.Stored::bytes)
        .sum();
    double plainWriteSeconds = plainSeconds(folder.resolve("plain"), bytes);
    long queryStart = System.nanoTime();
    History history = new History(e -> e.id().equals("9e3779b97f4a7c15"));
    history.read(folder.resolve("j"));
    double querySeconds = (System.nanoTime() - queryStart) / 1e9;
    long openStart = System.nanoTime();
    Journal.open(folder.resolve("j"), "cost", settings, Runnable::run).close();
    double openSeconds = (System.nanoTime() - openStart) / 1e9;
    Runtime vm = Runtime.getRuntime();
    return String.format(
        "%d records, %.0f MiB in %.2f s: %.0f records/s, %.0f MiB/s; plain sequential write %.0f MiB/s%n"
            + "query over all of it %.2f s, %d found; a start with it %.2f s; heap in use %.0f MiB%n",
        records,
        bytes / 1048576.0,
        seconds,
        records / seconds,
        bytes / 1048576.0 / seconds,
        bytes / 1048576.0 / plainWriteSeconds,
        querySeconds,
        history.requests().size(),
        openSeconds,
        (vm.totalMemory() - vm.freeMemory()) / 1048576.0);
  }

  private static double plainSeconds(Path file, long bytes) throws IOException {
    ByteBuffer block = ByteBuffer.allocateDirect(64 << 10);
    long start = System.nanoTime();
    try (FileChannel channel =
        FileChannel.open(file, StandardOpenOption.CREATE_NEW, StandardOpenOption.WRITE)) {
      for (long done = 0; done < bytes; done += block.capacity()) {
        channel.write(block.clear());
      }
    }
    return (System.nanoTime() - start) / 1e9;
  }
}
