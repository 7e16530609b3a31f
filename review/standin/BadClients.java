import java.io.IOException;
import java.util.Arrays;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients that stop in the middle of a request and stay: each sends the head and most of a body of 64 KiB, then nothing
 * more, and reads until it has its error or the connection ends. Then it comes back.
 */
final class BadClients {
  private static final int UNSENT_BYTES = 500;
  private static final long BACK_AFTER_MILLIS = 100;

  private final RunRecord record;
  private volatile boolean running = true;
  private final AtomicInteger errors = new AtomicInteger();
  private final AtomicInteger others = new AtomicInteger();

  BadClients(RunRecord record) {
    this.record = record;
  }

  /** Starts so many clients, one a millisecond. */
  void start(String address, int count, Load.Kind kind, String tenant) throws InterruptedException {
    for (int i = 0; i < count; i++) {
      int number = i;
      Threads.start(() -> run(address, number, kind, tenant));
      TimeUnit.MILLISECONDS.sleep(1);
    }
  }

  /** Lets each client end with its present connection. */
  void stop() {
    running = false;
  }

  String summary() {
    return "bad clients: " + errors + " had an error answer, " + others + " ended otherwise";
  }

  private void run(String address, int number, Load.Kind kind, String tenant) {
    for (int round = 0; running; round++) {
      byte[] whole = Load.bytes(kind, tenant, String.format("bad%05d%08x", number, round), "bad" + number);
      try (Client client = new Client(address)) {
        client.write(Arrays.copyOf(whole, whole.length - UNSENT_BYTES));
        Client.Result result = client.read(4_000);
        record.add("bad client " + number + " has "
            + (result.status() == 0 ? "no answer: " + result.reason() : "" + result.status()));
        (result.status() != 0 ? errors : others).incrementAndGet();
        TimeUnit.MILLISECONDS.sleep(BACK_AFTER_MILLIS);
      } catch (IOException e) {
        others.incrementAndGet();
        record.add("bad client " + number + ": " + e.getMessage());
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return;
      }
    }
  }
}
