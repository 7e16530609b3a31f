package pumicekeel.delivery;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/** Writes a whole file durably. Blocks. Tests use an implementation whose disk is full. */
interface DurableWriter {

  /** Returns once the bytes are written and synced; after a failure a part may have been written. */
  void write(Path file, ByteBuffer bytes) throws IOException;

  /** Writes to the file system. */
  DurableWriter SYSTEM = (file, bytes) -> {
    try (FileChannel channel = FileChannel.open(
        file,
        StandardOpenOption.CREATE,
        StandardOpenOption.TRUNCATE_EXISTING,
        StandardOpenOption.WRITE)) {
      while (bytes.hasRemaining()) {
        channel.write(bytes);
      }
      channel.force(true);
    }
  };
}
