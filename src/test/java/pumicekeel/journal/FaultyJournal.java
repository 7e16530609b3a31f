package pumicekeel.journal;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executor;

/** A journal writer on a disk that tests of other packages can make fail or stall. */
public final class FaultyJournal {

  private volatile boolean stalls;
  private volatile boolean fails;
  public final JournalWriter writer;

  public FaultyJournal(Executor loop, boolean refuses) throws IOException {
    Disk disk = new Disk() {
      @Override
      public Segment create(String name) throws IOException {
        check();
        return new Segment() {
          @Override
          public void write(ByteBuffer bytes) throws IOException {
            check();
            bytes.position(bytes.limit());
          }

          @Override
          public void sync() throws IOException {
            check();
          }

          @Override
          public void close() {
            // Holds no resources.
          }
        };
      }

      @Override
      public List<Stored> list() {
        return new ArrayList<>();
      }

      @Override
      public void delete(String name) {
        throw new AssertionError("nothing to delete");
      }
    };
    writer = new JournalWriter(
        disk,
        new JournalWriter.Settings(Durability.HOST, refuses, 1 << 20, 1 << 30, 1 << 30),
        new Entry.Boot(1, 2, "n0", "b", Durability.HOST, refuses),
        7,
        loop,
        System::currentTimeMillis);
    writer.start();
  }

  private void check() throws IOException {
    while (stalls) {
      java.util.concurrent.locks.LockSupport.parkNanos(1_000_000);
    }
    if (fails) {
      throw new IOException("Input/output error");
    }
  }

  /** Blocks all disk operations until it is called with false. */
  public void stall(boolean now) {
    stalls = now;
  }

  public void fail(boolean now) {
    fails = now;
  }
}
