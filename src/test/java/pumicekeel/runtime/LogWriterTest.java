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

/** The log's own thread. */
class LogWriterTest {

  /** A stream whose reader stands still until the latch opens. */
  private static PrintStream standing(CountDownLatch goesOn, OutputStream to) {
    return new PrintStream(
        new OutputStream() {
          @Override
          public void write(int b) throws java.io.IOException {
            try {
              goesOn.await();
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
  void aReaderThatStandsStillHoldsNobodyUpAndWhatIsLeftOutIsTold() {
    CountDownLatch goesOn = new CountDownLatch(1);
    ByteArrayOutputStream read = new ByteArrayOutputStream();
    PrintStream out = standing(goesOn, read);
    LogWriter log = new LogWriter(() -> out);
    for (int i = 0; i < 10_000; i++) {
      log.line("line " + i);
    }
    goesOn.countDown();
    log.flush(20_000);
    List<String> lines = read.toString().lines().toList();
    assertEquals("line 0", lines.get(0));
    assertTrue(
        lines.stream().anyMatch(l -> l.matches("log: \\d+ lines left out")), lines::toString);
  }
}
