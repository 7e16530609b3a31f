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

  private int failing(int times, Throwable error) throws IOException {
    calls++;
    if (calls <= times) {
      if (error instanceof Error fatal) {
        throw fatal;
      }
      throw (IOException) error;
    }
    return calls;
  }

  private int callWithRetry(int times, Throwable error, long maxMillis)
      throws IOException, InterruptedException {
    return Retry.call("a test", maxMillis, () -> failing(times, error));
  }

  @Test
  void temporaryFailureIsRetried() throws Exception {
    assertEquals(4, callWithRetry(3, new IOException("Too many open files"), 60_000));
    calls = 0;
    assertEquals(
        2, callWithRetry(1, new OutOfMemoryError("unable to create native thread"), 60_000));
    calls = 0;
    assertEquals(2, callWithRetry(1, new IOException("/x: Input/output error"), 60_000));
  }

  @Test
  void permanentOrUnknownFailureIsNotRetried() {
    for (IOException e : new IOException[] {
      new NoSuchFileException("/x"),
      new BindException("Address already in use"),
      new IOException("line 3: expected a number")
    }) {
      calls = 0;
      assertEquals(e, assertThrows(IOException.class, () -> callWithRetry(1, e, 60_000)));
      assertEquals(1, calls);
    }
  }

  @Test
  void lastErrorIsThrownOnceTheTimeIsUp() {
    assertThrows(
        IOException.class,
        () -> callWithRetry(1_000_000, new IOException("Cannot allocate memory"), 50));
  }
}
