package pumicekeel.delivery;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;

/** Writes a whole file so that it survives the host; tests have one whose disk is full. Blocks. */
interface DurableWriter {

  /** Returns once the file holds the bytes and the disk has them; where it fails, a part may have been written. */
  void write(Path file, ByteBuffer bytes) throws IOException;

  /** The system's files. */
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
