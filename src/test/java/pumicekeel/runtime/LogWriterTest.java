package pumicekeel.runtime;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Tests the thread that writes the log. */
class LogWriterTest {

  /** Returns a stream whose reader is stalled until the latch opens. */
  private static PrintStream stalled(CountDownLatch resume, OutputStream to) {
    return new PrintStream(
        new OutputStream() {
          @Override
          public void write(int b) throws java.io.IOException {
            try {
              resume.await();
            } catch (InterruptedException e) {
              Thread.currentThread().interrupt();
            }
            to.write(b);
          }
        },
        true);
  }

  @Test
  @Timeout(30)
  void stalledReaderDelaysNoOtherThreadAndDiscardedLinesAreCounted() {
    CountDownLatch resume = new CountDownLatch(1);
    ByteArrayOutputStream read = new ByteArrayOutputStream();
    PrintStream out = stalled(resume, read);
    LogWriter log = new LogWriter(() -> out);
    for (int i = 0; i < 10_000; i++) {
      log.line("line " + i);
    }
    resume.countDown();
    log.flush(20_000);
    List<String> lines = read.toString().lines().toList();
    assertEquals("line 0", lines.get(0));
    assertTrue(
        lines.stream().anyMatch(l -> l.matches("log: \\d+ lines left out")), lines::toString);
  }
}
