import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Clients in front of one or more balancers: requests at a steady rate by seed, each on a kept connection that is free or
 * on a new one, no retries. A request that crosses the end of a kept connection is sent once more on a new one, as the
 * protocol page has it.
 */
final class Load {

  /** A class of requests: its share of the traffic, its method's effect, the client's time and the hint. */
  record Kind(String name, double share, boolean keyed, int millis, int hintMicros, int bodyBytes) {}

  /** A request and how it ended; {@code at} and {@code tookMillis} count from its last byte. */
  record Ended(String id, Kind kind, double at, double tookMillis, Client.Result result) {}

  private final List<String> addresses;
  private final List<Kind> kinds;
  private final Map<String, Double> tenants;
  private final RunRecord record;
  private final Random random;
  private final Map<String, Deque<Client>> free = new TreeMap<>();
  private final List<Ended> ended = new ArrayList<>();
  private final ExecutorService threads = Executors.newCachedThreadPool(task -> {
    Thread thread = new Thread(null, task, "client", 256 << 10);
    thread.setDaemon(true);
    return thread;
  });
  private final AtomicLong sent = new AtomicLong();
  private final AtomicLong noConnection = new AtomicLong();

  Load(List<String> addresses, List<Kind> kinds, Map<String, Double> tenants, long seed, RunRecord record) {
    this.addresses = addresses;
    this.kinds = kinds;
    this.tenants = tenants;
    this.record = record;
    random = new Random(seed);
    addresses.forEach(a -> free.put(a, new ArrayDeque<>()));
  }

  /** Sends at this rate for so long, and returns when the last request was sent. */
  void run(double perSecond, double seconds) throws InterruptedException {
    long start = System.nanoTime();
    double at = 0;
    while (true) {
      at += -Math.log(1 - random.nextDouble()) / perSecond;
      if (at > seconds) {
        return;
      }
      long wait = start + (long) (at * 1e9) - System.nanoTime();
      if (wait > 0) {
        TimeUnit.NANOSECONDS.sleep(wait);
      }
      Kind kind = pick();
      String tenant = pickTenant();
      String id = String.format("%016x", random.nextLong());
      String key = String.format("%016x", 0x9e3779b97f4a7c15L * (1 + random.nextInt(800)));
      String address = addresses.get((int) (sent.getAndIncrement() % addresses.size()));
      threads.execute(() -> exchange(address, kind, tenant, id, key));
    }
  }

  private Kind pick() {
    double drawn = random.nextDouble();
    for (Kind k : kinds) {
      drawn -= k.share();
      if (drawn < 0) {
        return k;
      }
    }
    return kinds.get(0);
  }

  private String pickTenant() {
    double drawn = random.nextDouble();
    String last = null;
    for (Map.Entry<String, Double> t : tenants.entrySet()) {
      drawn -= t.getValue();
      last = t.getKey();
      if (drawn < 0) {
        break;
      }
    }
    return last;
  }

  /** Returns a request's bytes. */
  static byte[] bytes(Kind kind, String tenant, String id, String key) {
    byte[] body = kind.keyed() ? new byte[Math.max(1, kind.bodyBytes())] : new byte[0];
    Arrays.fill(body, (byte) 'b');
    byte[] head = ((kind.keyed() ? "POST /" : "GET /") + kind.name() + " HTTP/1.1\r\nHost: app.svc\r\n"
            + "X-Correlation-Id: " + id + "\r\nX-Service-Class: " + kind.name() + "\r\n"
            + (tenant == null ? "" : "X-Account: " + tenant + "\r\n")
            + "X-Session-Key: " + key + "\r\nX-Time-Left-Ms: " + kind.millis() + "\r\nX-Weight-Hint: "
            + kind.hintMicros() + "\r\n"
            + (kind.keyed() ? "Idempotency-Key: k" + id + "\r\nContent-Length: " + body.length + "\r\n" : "")
            + "\r\n")
        .getBytes(StandardCharsets.ISO_8859_1);
    byte[] all = new byte[head.length + body.length];
    System.arraycopy(head, 0, all, 0, head.length);
    System.arraycopy(body, 0, all, head.length, body.length);
    return all;
  }

  private void exchange(String address, Kind kind, String tenant, String id, String key) {
    byte[] request = bytes(kind, tenant, id, key);
    Client client;
    synchronized (free) {
      client = free.get(address).pollLast();
    }
    boolean kept = client != null;
    double at = record.seconds();
    Client.Result result;
    try {
      if (!kept) {
        client = new Client(address);
      }
      record.add("client sends " + id + " " + kind.name());
      client.write(request);
      at = record.seconds();
      result = client.read(kind.millis() + 600);
      if (kept && result.status() == 0 && !"time-out".equals(result.reason())) {
        client.close();
        client = new Client(address);
        at = record.seconds();
        record.add("client sends " + id + " once more, on a new connection");
        client.write(request);
        result = client.read(kind.millis() + 600);
      }
    } catch (IOException e) {
      noConnection.incrementAndGet();
      record.add("client finds no connection for " + id + ": " + e.getMessage());
      return;
    }
    Ended end = new Ended(id, kind, at, (record.seconds() - at) * 1000, result);
    record.add("client has " + id + ": " + (result.status() == 0 ? result.reason() : result.status()) + " after "
        + Math.round(end.tookMillis()) + " ms");
    synchronized (ended) {
      ended.add(end);
    }
    if (client.open()) {
      synchronized (free) {
        free.get(address).addLast(client);
      }
    } else {
      try {
        client.close();
      } catch (IOException e) {
        record.add("close: " + e.getMessage());
      }
    }
  }

  /** Waits until all requests have ended. */
  void await(long millis) throws InterruptedException {
    threads.shutdown();
    threads.awaitTermination(millis, TimeUnit.MILLISECONDS);
  }

  List<Ended> ended() {
    synchronized (ended) {
      return List.copyOf(ended);
    }
  }

  /** Returns the counts by answer, on one line. */
  String summary() {
    Map<String, Integer> counts = new TreeMap<>();
    ended().forEach(e -> counts.merge(
        e.result().status() == 0 ? "none (" + e.result().reason() + ")" : "" + e.result().status(), 1, Integer::sum));
    return "sent " + sent.get() + ", no connection " + noConnection.get() + ", by answer " + counts;
  }
}
