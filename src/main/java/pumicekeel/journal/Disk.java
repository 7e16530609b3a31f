package pumicekeel.journal;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.List;

/** File system operations of the writer. Blocks. Tests use slow, full and failing implementations. */
interface Disk {

  /** A segment that is being written. */
  interface Segment extends Closeable {
    /** Writes all bytes; after a failure a part of them may have been written. */
    void write(ByteBuffer bytes) throws IOException;

    /** Returns once all bytes written survive a crash of the host. */
    void sync() throws IOException;

    @Override
    void close() throws IOException;
  }

  /** A segment on disk; its size may grow while it is written. */
  record Stored(String name, long bytes, long modifiedMillis) {}

  Segment create(String name) throws IOException;

  List<Stored> list() throws IOException;

  void delete(String name) throws IOException;
}
