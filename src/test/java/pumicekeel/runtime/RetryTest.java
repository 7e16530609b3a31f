package pumicekeel.runtime;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.net.BindException;
import java.nio.file.NoSuchFileException;
import org.junit.jupiter.api.Test;

/** Tests which failures are retried. */
class RetryTest {

  private int calls;

  private int failing(int times, Throwable how) throws IOException {
    calls++;
    if (calls <= times) {
      if (how instanceof Error error) {
        throw error;
      }
      throw (IOException) how;
    }
    return calls;
  }

  private int tryIt(int times, Throwable how, long mostMillis)
      throws IOException, InterruptedException {
    return Retry.call("a test", mostMillis, () -> failing(times, how));
  }

  @Test
  void temporaryFailureIsRetried() throws Exception {
    assertEquals(4, tryIt(3, new IOException("Too many open files"), 60_000));
    calls = 0;
    assertEquals(2, tryIt(1, new OutOfMemoryError("unable to create native thread"), 60_000));
    calls = 0;
    assertEquals(2, tryIt(1, new IOException("/x: Input/output error"), 60_000));
  }

  @Test
  void permanentOrUnknownFailureIsNotRetried() {
    for (IOException e : new IOException[] {
      new NoSuchFileException("/x"),
      new BindException("Address already in use"),
      new IOException("line 3: expected a number")
    }) {
      calls = 0;
      assertEquals(e, assertThrows(IOException.class, () -> tryIt(1, e, 60_000)));
      assertEquals(1, calls);
    }
  }

  @Test
  void lastErrorIsThrownOnceTheTimeIsUp() {
    assertThrows(
        IOException.class, () -> tryIt(1_000_000, new IOException("Cannot allocate memory"), 50));
  }
}
