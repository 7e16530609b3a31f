import java.io.BufferedInputStream;
import java.io.BufferedWriter;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;

/** Stand-ins for clients, upstreams and discovery, and the start of balancers, for the scripts of this review. */
final class Kit {
  static final long T0 = System.nanoTime();
  static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));
  static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();
  private static BufferedWriter record;
  static Path temp;
  private static final List<Balancer> BALANCERS = new CopyOnWriteArrayList<>();

  private Kit() {}

  interface Case {
    /** Returns whether the rule held. */
    boolean run() throws Exception;
  }

  /** Runs a case and ends the process with the status that the issue asks for. */
  static void run(String folder, Case body) throws Exception {
    record = Files.newBufferedWriter(Path.of(folder, "record.txt"));
    temp = Path.of(System.getenv("CASE_TMP"));
    Runtime.getRuntime().addShutdownHook(new Thread(() -> BALANCERS.forEach(Balancer::kill)));
    Thread watchdog = new Thread(() -> {
      sleep(115_000);
      log("driver", "took too long");
      end(2);
    });
    watchdog.setDaemon(true);
    watchdog.start();
    int status;
    try {
      status = body.run() ? 0 : 1;
    } catch (Throwable e) {
      log("driver", "could not run: " + e);
      e.printStackTrace();
      status = 2;
    }
    log("driver", status == 0 ? "HELD" : status == 1 ? "BROKEN" : "COULD NOT RUN");
    end(status);
  }

  private static void end(int status) {
    BALANCERS.forEach(Balancer::kill);
    synchronized (Kit.class) {
      try {
        record.close();
      } catch (IOException e) {
        // Nothing more can be written.
      }
    }
    Runtime.getRuntime().halt(status);
  }

  static double ms() {
    return (System.nanoTime() - T0) / 1e6;
  }

  static synchronized void log(String who, String what) {
    String line = String.format(Locale.ROOT, "%10.1f %-12s %s", ms(), who, what);
    try {
      record.write(line + "\n");
    } catch (IOException e) {
      // The record is closed at the end.
    }
    if (who.equals("driver")) {
      System.out.println(line);
    }
  }

  static void sleep(long millis) {
    try {
      Thread.sleep(Math.max(0, millis));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  static void daemon(Runnable task) {
    Thread t = new Thread(task);
    t.setDaemon(true);
    t.start();
  }

  static int freePort() throws IOException {
    try (ServerSocket s = new ServerSocket(0, 1, LOOPBACK)) {
      return s.getLocalPort();
    }
  }

  // HTTP

  /** A message: its first line, its headers with names in lower case, and its body. */
  static final class Message {
    String first;
    final Map<String, String> headers = new LinkedHashMap<>();
    byte[] body = new byte[0];
    /** When the first and the last byte came, in ms. */
    double firstAt;

    double lastAt;

    String header(String name) {
      return headers.get(name);
    }

    int status() {
      return Integer.parseInt(first.split(" ")[1]);
    }
  }

  /** Reads a message's head; null if the connection ends before its first byte. */
  static Message readHead(InputStream in) throws IOException {
    ByteArrayOutputStream head = new ByteArrayOutputStream();
    Message m = new Message();
    int end = 0;
    while (end < 4) {
      int b = in.read();
      if (b < 0) {
        if (head.size() == 0) {
          return null;
        }
        throw new EOFException("end within a head");
      }
      if (head.size() == 0) {
        m.firstAt = ms();
      }
      head.write(b);
      end = b == (end % 2 == 0 ? '\r' : '\n') ? end + 1 : b == '\r' ? 1 : 0;
    }
    String[] lines = head.toString(StandardCharsets.ISO_8859_1).split("\r\n");
    m.first = lines[0];
    for (int i = 1; i < lines.length; i++) {
      int colon = lines[i].indexOf(':');
      m.headers.put(
          lines[i].substring(0, colon).toLowerCase(Locale.ROOT), lines[i].substring(colon + 1).trim());
    }
    return m;
  }

  private static String line(InputStream in) throws IOException {
    StringBuilder s = new StringBuilder();
    for (int b = in.read(); b != '\n'; b = in.read()) {
      if (b < 0) {
        throw new EOFException("end within a line");
      }
      s.append((char) b);
    }
    return s.toString().trim();
  }

  private static byte[] exactly(InputStream in, int n) throws IOException {
    byte[] bytes = in.readNBytes(n);
    if (bytes.length < n) {
      throw new EOFException("end within a body");
    }
    return bytes;
  }

  /** Reads a whole message; null if the connection ends before its first byte. */
  static Message read(InputStream in) throws IOException {
    Message m = readHead(in);
    if (m == null) {
      return null;
    }
    if (m.header("content-length") != null) {
      m.body = exactly(in, Integer.parseInt(m.header("content-length")));
    } else if ("chunked".equals(m.header("transfer-encoding"))) {
      ByteArrayOutputStream body = new ByteArrayOutputStream();
      for (int n = Integer.parseInt(line(in), 16); n > 0; n = Integer.parseInt(line(in), 16)) {
        body.write(exactly(in, n));
        line(in);
      }
      line(in);
      m.body = body.toByteArray();
    }
    m.lastAt = ms();
    return m;
  }

  static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.ISO_8859_1);
  }

  // Balancers

  /** A balancer, started with the command of the deploy file. */
  static final class Balancer {
    final String name;
    final int port;
    final Process process;
    Balancer(String name, int port, String config) throws IOException {
      this.name = name;
      this.port = port;
      Path dir = Files.createTempDirectory(temp, name);
      Path file = dir.resolve("config.json");
      Files.writeString(file, config);
      String run = null;
      for (String l : Files.readAllLines(Path.of("deploy/balancer.toml"))) {
        if (l.startsWith("run = \"")) {
          run = l.substring(7, l.lastIndexOf('"'));
        }
      }
      ProcessBuilder b = new ProcessBuilder("/bin/sh", "-c", run);
      b.environment().put("PROXY_CONFIG", file.toString());
      b.environment().put("TMPDIR", dir.toString());
      b.redirectErrorStream(true);
      process = b.start();
      BALANCERS.add(this);
      log(name, "started, process " + process.pid());
      daemon(() -> {
        try (var lines = process.inputReader()) {
          for (String l = lines.readLine(); l != null; l = lines.readLine()) {
            log(name, "log: " + l);
          }
        } catch (IOException | UncheckedIOException e) {
          // It has ended.
        }
      });
    }

    /** Waits until GET /up is answered with 200. */
    void awaitReady() throws IOException {
      for (double end = ms() + 30_000; ms() < end; sleep(50)) {
        try (Socket s = new Socket(LOOPBACK, port)) {
          s.setSoTimeout(2_000);
          s.getOutputStream().write(bytes("GET /up HTTP/1.1\r\nHost: up\r\n\r\n"));
          Message m = read(s.getInputStream());
          if (m != null && m.status() == 200) {
            log(name, "is ready");
            return;
          }
        } catch (IOException e) {
          // Not yet.
        }
        if (!process.isAlive()) {
          throw new IOException(name + " has ended, status " + process.exitValue());
        }
      }
      throw new IOException(name + " is not ready after 30 s");
    }

    void kill() {
      process.destroyForcibly();
      try {
        process.waitFor(5, TimeUnit.SECONDS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }

  /** The settings of the wire page's example, for a tier of this size; {@code number} is this balancer's. */
  static String settings(int number, int size) {
    return """
        {"areas":["almaty-dc1"],
         "categories":[
          {"aim-ns":400000000,"deadline-ns":2000000000,"dedup-scope":"all","effect":"idempotent","gain":3.0,"late-worth":0.0,"name":"rate-lookup","stream":false,"window-ns":5000000000},
          {"aim-ns":750000000,"deadline-ns":4000000000,"dedup-scope":"all","effect":"idempotent","gain":2.0,"late-worth":0.0,"name":"draft-save","stream":false,"window-ns":5000000000},
          {"aim-ns":750000000,"deadline-ns":3000000000,"dedup-scope":"cell","effect":"deduplicated","gain":3.0,"late-worth":0.0,"name":"quote-issue","stream":false,"window-ns":2000000000},
          {"aim-ns":2000000000,"deadline-ns":6000000000,"dedup-scope":"cell","effect":"deduplicated","gain":2.0,"late-worth":0.0,"name":"contract-pack","stream":false,"window-ns":4000000000}],
         "clients":{"marks-retry":true},
         "contract":{"answer-slack-ns":8000000,"ask-within-ns":10000000000,"cold-from":0.32,"drain-grace-ns":2000000000,"fall-multiple":3.0,"overload-for-ns":3000000000,"warm-within-ns":8500000000},
         "counted-by":"work","domain":{"warm-keys":true},
         "goal":{"whole":0.55,"worst-class":0.05,"worst-tenant":0.25,"worst-window":0.15},
         "group-size":SIZE,"kinds":["std-3c","small-2c"],
         "limits":{"cancel":true,"conn-idle-ns":5000000000,"connect-timeout-ns":200000000,"cpu-us-per-request":0.0,"cpu-us-per-s":27192,"max-attempts":6,"max-retry-after-ns":2000000000,"most-held":36257,"multiplex":1,"peers":true,"probing":true,"retry-after":true,"second-copies":true},
         "me":NUMBER,"over-share-worth":0.2,
         "prices":{"connection":0.05,"cross-zone":0.0,"handshake":0.05,"late-fail":0.03,"moves":0.0,"origin":0.0,"peer":0.01,"probe":0.01,"registry-mode":0.01,"waste":0.02},
         "projects":[{"name":"steppe-auto","portion":0.48,"quota-per-s":99.0},{"name":"agro-tehnika","portion":0.35,"quota-per-s":72.0},{"name":"kaspi-trucks","portion":0.17,"quota-per-s":35.0}],
         "registry-mode":"on_request","report":{"fields":[],"how":"none"},"resolution-ns":2000000,
         "service-type":"proxy","stage":0,"tiers":["quote-web"],"weight-kind":"rough","zone":"almaty-dc1"}"""
        .replace("SIZE", "" + size)
        .replace("NUMBER", "" + number);
  }

  /** The same for the site booking-main. */
  static String booking(int number, int size) {
    return """
        {"areas":["abuja","jos","enugu"],
         "categories":[
          {"aim-ns":600000000,"deadline-ns":1500000000,"dedup-scope":"cell","effect":"deduplicated","gain":1.0,"late-worth":0.3,"name":"reserve-bed","stream":false,"window-ns":7500000000}],
         "clients":{"marks-retry":true},
         "contract":{"answer-slack-ns":8000000,"ask-within-ns":10000000000,"cold-from":0.31,"drain-grace-ns":1000000000,"fall-multiple":3.0,"overload-for-ns":1500000000,"warm-within-ns":8800000000},
         "counted-by":"work",
         "goal":{"whole":0.55,"worst-class":0.0,"worst-tenant":0.1,"worst-window":0.35},
         "group-size":SIZE,"kinds":["fast-2","std-2"],
         "limits":{"cancel":true,"conn-idle-ns":5000000000,"connect-timeout-ns":200000000,"cpu-us-per-request":10.0,"cpu-us-per-s":8000,"max-attempts":3,"max-retry-after-ns":750000000,"most-held":20000,"multiplex":1,"peers":false,"probing":false,"retry-after":true,"second-copies":true},
         "me":NUMBER,"over-share-worth":0.1,
         "prices":{"connection":0.0,"cross-zone":0.03,"handshake":0.02,"late-fail":0.032,"moves":0.0,"origin":0.0,"peer":0.0,"probe":0.0,"registry-mode":0.0,"waste":0.05},
         "projects":[{"name":"obudu","portion":0.45,"quota-per-s":60.0},{"name":"mambilla","portion":0.3,"quota-per-s":40.0},{"name":"jos","portion":0.25,"quota-per-s":35.0}],
         "registry-mode":"on_request","report":{"fields":[],"how":"none"},"resolution-ns":5000000,
         "service-type":"proxy","stage":0,"tiers":["booking-servers"],"weight-kind":"none","zone":"abuja"}"""
        .replace("SIZE", "" + size)
        .replace("NUMBER", "" + number);
  }

  /** The configuration of a balancer without peers; {@code known} is a list in discovery's form. */
  static String config(String name, int port, int discovery, String known, String more, String settings) {
    return "{\"name\":\"" + name + "\",\"listen\":\"127.0.0.1:" + port + "\",\"discovery\":\"127.0.0.1:"
        + discovery + "\",\"seed\":\"" + Long.toHexString(System.nanoTime())
        + "\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024}," + more + "\"known\":" + known
        + ",\"settings\":" + settings + "}";
  }

  // Upstreams

  interface Handler {
    /** Answers a request; returns whether the connection goes on. */
    boolean answer(Upstream at, Message request, Socket socket) throws IOException, InterruptedException;
  }

  static final AtomicLong WORK = new AtomicLong();

  /** A sound server: some 30 ms for each request. */
  static final Handler SOUND = (at, request, socket) -> {
    Thread.sleep(25 + WORK.incrementAndGet() % 10);
    return write200(socket, "done " + request.header("x-correlation-id"));
  };

  static boolean write200(Socket socket, String body) throws IOException {
    socket
        .getOutputStream()
        .write(bytes("HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body));
    return true;
  }

  /** An upstream; records each request. */
  static final class Upstream {
    final String name;
    final int group;
    final ServerSocket server;
    /** When it started, Unix time in ms; 0 for long ago. */
    long sinceMs;

    String zone = "almaty-dc1";

    volatile Handler handler = SOUND;
    final List<Message> requests = new CopyOnWriteArrayList<>();

    Upstream(String name, int group) throws IOException {
      this.name = name;
      this.group = group;
      server = new ServerSocket(0, 500, LOOPBACK);
      daemon(() -> {
        while (true) {
          try {
            Socket s = server.accept();
            s.setTcpNoDelay(true);
            daemon(() -> serve(s));
          } catch (IOException e) {
            return;
          }
        }
      });
    }

    private void serve(Socket s) {
      try (s) {
        s.setSoTimeout(5_000);
        InputStream in = new BufferedInputStream(s.getInputStream());
        for (Message m = read(in); m != null; m = read(in)) {
          requests.add(m);
          log(name, "got " + m.header("x-correlation-id") + ", " + m.first + ", time left "
              + m.header("x-time-left-ms"));
          if (!handler.answer(this, m, s)) {
            return;
          }
        }
      } catch (IOException e) {
        // The balancer has closed it, or it was idle for too long.
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }

    String entry(String status) {
      return "{\"name\":\"" + name + "\",\"address\":\"127.0.0.1:" + server.getLocalPort()
          + "\",\"zone\":\"" + zone + "\",\"type\":\"std\",\"group\":" + group + ",\"status\":\"" + status
          + "\",\"weight\":1.0,\"since_ms\":" + sinceMs + "}";
    }
  }

  // Discovery

  static String list(long index, boolean snapshot, List<String> entries) {
    return "{\"index\":" + index + ",\"snapshot\":" + snapshot + ",\"endpoints\":["
        + String.join(",", entries) + "]}";
  }

  /** Discovery: one service, with a door (a port) for each balancer, so that trouble can be one balancer's. */
  static final class Discovery {
    enum Mode {
      /** Answers calls, tells changes. */
      SOUND,
      /** Down: watches end, calls end with 503 at once. */
      DOWN,
      /** Down: watches end, calls end with a reset. */
      RESET,
      /** Up, but with too many callers: open watches are served, a new call waits too long and ends with 503. */
      CROWDED
    }

    long index;
    /** All upstreams that are not gone, with their entries. */
    final Map<String, String> now = new LinkedHashMap<>();
    /** Changes by version. */
    final Map<Long, String> changes = new LinkedHashMap<>();

    Discovery(long index) {
      this.index = index;
    }

    synchronized void set(Upstream u, String status) {
      index++;
      if (status.equals("terminated")) {
        now.remove(u.name);
      } else {
        now.put(u.name, u.entry(status));
      }
      changes.put(index, u.entry(status));
      log("discovery", "version " + index + ": " + u.name + " is " + status);
      notifyAll();
    }

    synchronized String whole() {
      return list(index, true, new ArrayList<>(now.values()));
    }
  }

  static final class Door {
    final Discovery discovery;
    final String name;
    final ServerSocket server;
    /** How long a call may wait. */
    long waitMs = 2_000;

    volatile Discovery.Mode mode = Discovery.Mode.SOUND;
    /** Watches opened before this time, in ms, have fallen silent. */
    volatile double silentBefore;
    /** When something was last written to a watch, in ms. */
    volatile double wroteAt;
    /** The latest version written to the balancer. */
    volatile long told;

    final List<Socket> watches = new CopyOnWriteArrayList<>();

    Door(Discovery discovery, String name) throws IOException {
      this.discovery = discovery;
      this.name = name;
      server = new ServerSocket(0, 500, LOOPBACK);
      daemon(() -> {
        while (true) {
          try {
            Socket s = server.accept();
            s.setTcpNoDelay(true);
            daemon(() -> serve(s));
          } catch (IOException e) {
            return;
          }
        }
      });
    }

    void mode(Discovery.Mode next) {
      log(name, "discovery is " + next);
      mode = next;
      if (next == Discovery.Mode.DOWN || next == Discovery.Mode.RESET) {
        endWatches();
      }
    }

    void endWatches() {
      List<Socket> ending = watches;
      if (silentBefore > 0) {
        // What has fallen silent says nothing of its end either.
        return;
      }
      log(name, ending.size() + " watches end");
      ending.forEach(Kit::closeQuietly);
      watches.clear();
    }

    /** Has the open watches fall silent right after an empty line. */
    void silenceAfterBeat() {
      for (double since = ms(); wroteAt < since && ms() < since + 3_000; sleep(5)) {}
      silence();
    }

    /** Has the open watches fall silent. */
    void silence() {
      log(name, "open watches fall silent");
      silentBefore = ms();
    }

    /** Calls for the list as another balancer would; returns the version that came, or -1. */
    long callAsAnother() {
      try (Socket s = new Socket(LOOPBACK, server.getLocalPort())) {
        s.getOutputStream().write(bytes("GET /discovery/hosts HTTP/1.1\r\nHost: d\r\nX-Caller: other\r\n\r\n"));
        Message m = read(s.getInputStream());
        if (m == null || m.status() != 200) {
          return -1;
        }
        String body = new String(m.body, StandardCharsets.ISO_8859_1);
        long version = Long.parseLong(body.substring(9, body.indexOf(',')));
        log("other", "was told version " + version + " after " + (long) (ms() - m.firstAt) + " ms");
        return version;
      } catch (IOException e) {
        return -1;
      }
    }

    private void refuse(Socket s) throws IOException {
      log(name, "a call ends with 503");
      s.getOutputStream()
          .write(bytes("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"));
    }

    private void serve(Socket s) {
      try (s) {
        Message call = readHead(new BufferedInputStream(s.getInputStream()));
        if (call == null) {
          return;
        }
        double openedAt = ms();
        log(name, "call " + call.first);
        if (mode == Discovery.Mode.DOWN) {
          refuse(s);
          return;
        }
        if (mode == Discovery.Mode.RESET) {
          log(name, "a call ends with a reset");
          s.setSoLinger(true, 0);
          return;
        }
        if (mode == Discovery.Mode.CROWDED) {
          if (call.header("x-caller") != null) {
            // Another caller, whose turn has come in time.
            sleep(waitMs * 3 / 4);
            write200(s, discovery.whole());
            return;
          }
          for (double end = ms() + waitMs; ms() < end && mode == Discovery.Mode.CROWDED; ) {
            sleep(10);
          }
          if (mode == Discovery.Mode.CROWDED) {
            refuse(s);
            return;
          }
          // The crowd is over: a call that still waits is answered.
        }
        if (!call.first.contains("watch=1")) {
          String whole = discovery.whole();
          write200(s, whole);
          return;
        }
        watch(s, openedAt);
      } catch (IOException e) {
        // The balancer has closed it, or the watch has ended.
      }
    }

    private void watch(Socket s, double openedAt) throws IOException {
      OutputStream out = s.getOutputStream();
      out.write(bytes("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"));
      long sent;
      synchronized (discovery) {
        sent = discovery.index;
        chunk(out, discovery.whole());
      }
      told = sent;
      log(name, "wrote the whole list, version " + sent);
      watches.add(s);
      double beatAt = ms() + 2_000;
      while (!s.isClosed()) {
        sleep(10);
        if (openedAt < silentBefore) {
          continue;
        }
        synchronized (discovery) {
          for (Map.Entry<Long, String> e : discovery.changes.entrySet()) {
            if (e.getKey() > sent) {
              chunk(out, list(e.getKey(), false, List.of(e.getValue())));
              sent = e.getKey();
              told = sent;
              log(name, "wrote version " + sent);
              beatAt = ms() + 2_000;
            }
          }
        }
        if (ms() >= beatAt) {
          chunk(out, "");
          beatAt = ms() + 2_000;
          wroteAt = ms();
          log(name, "wrote an empty line");
        }
      }
    }

    private static void chunk(OutputStream out, String line) throws IOException {
      byte[] b = bytes(line + "\n");
      out.write(bytes(Integer.toHexString(b.length) + "\r\n"));
      out.write(b);
      out.write(bytes("\r\n"));
      out.flush();
    }
  }

  // Clients

  private static final ScheduledExecutorService GIVE_UP =
      Executors.newScheduledThreadPool(2, task -> {
        Thread t = new Thread(task);
        t.setDaemon(true);
        return t;
      });

  static void closeQuietly(Socket s) {
    try {
      s.close();
    } catch (IOException e) {
      // It is closed.
    }
  }

  static final AtomicLong IDS = new AtomicLong();
  private static final String[] TENANTS = {"steppe-auto", "agro-tehnika", "kaspi-trucks"};
  private static final String[] BOOKING_TENANTS = {"obudu", "mambilla", "jos"};

  /** One client's request: what was sent and what became of it. */
  static final class Ask {
    final String id;
    final String type;
    final long leftMs;
    double sentAt;
    double endedAt;
    /** The status; 0 for none. */
    int status;

    String body;
    String error;

    Ask(String type, long leftMs) {
      id = String.format("c%08x", IDS.incrementAndGet());
      this.type = type;
      this.leftMs = leftMs;
    }

    byte[] head() {
      boolean booking = type.equals("reserve-bed");
      boolean keyed = booking || type.equals("quote-issue") || type.equals("contract-pack");
      long n = Long.parseLong(id.substring(1), 16);
      return bytes((keyed ? "POST" : "GET") + " /" + type + "/" + id + " HTTP/1.1\r\nHost: app.svc\r\n"
          + "X-Correlation-Id: " + id + "\r\nX-Service-Class: " + type + "\r\nX-Account: "
          + (booking ? BOOKING_TENANTS : TENANTS)[(int) (n % 3)] + "\r\nX-Session-Key: " + String.format("%016x", n * 0x9e3779b97f4a7c15L)
          + "\r\nX-Time-Left-Ms: " + leftMs + "\r\n"
          + (keyed ? "Idempotency-Key: k" + id + "\r\nContent-Length: 4\r\n\r\nbody" : "\r\n"));
    }

    public String toString() {
      return id + " " + type + ", " + leftMs + " ms: "
          + (error == null ? "status " + status : error)
          + String.format(Locale.ROOT, " after %.1f ms", endedAt - sentAt);
    }
  }

  /** A client with one connection, which sends one request at a time. */
  static final class Client {
    final int port;
    Socket socket;
    InputStream in;

    Client(int port) {
      this.port = port;
    }

    /** Sends a request and waits for its whole answer, up to {@code overMs} past its time. */
    Ask ask(Ask a, long overMs) {
      for (int tries = 0; tries < 2; tries++) {
        boolean fresh = socket == null;
        ScheduledFuture<?> giveUp = null;
        AtomicBoolean gaveUp = new AtomicBoolean();
        try {
          if (fresh) {
            socket = new Socket();
            socket.connect(new InetSocketAddress(LOOPBACK, port), 2_000);
            socket.setTcpNoDelay(true);
            in = new BufferedInputStream(socket.getInputStream());
          }
          socket.getOutputStream().write(a.head());
          a.sentAt = ms();
          Socket asked = socket;
          giveUp = GIVE_UP.schedule(
              () -> {
                gaveUp.set(true);
                closeQuietly(asked);
              },
              a.leftMs + overMs,
              TimeUnit.MILLISECONDS);
          Message m = read(in);
          if (m == null) {
            throw new EOFException("closed with no answer");
          }
          a.endedAt = ms();
          a.status = m.status();
          a.body = new String(m.body, StandardCharsets.ISO_8859_1);
          a.error = null;
          if ("close".equals(m.header("connection"))) {
            close();
          }
          break;
        } catch (IOException e) {
          a.endedAt = ms();
          a.error = gaveUp.get() ? "no whole answer" : e.toString();
          close();
          if (fresh || gaveUp.get()) {
            break;
          }
          // The close of a resting connection crossed the request: once more on a new one.
        } finally {
          if (giveUp != null) {
            giveUp.cancel(false);
          }
        }
      }
      log("client", a.toString());
      return a;
    }

    void close() {
      if (socket != null) {
        closeQuietly(socket);
      }
      socket = null;
    }
  }

  /** Keeps {@code clients} clients busy with rate-lookup, draft-save and quote-issue until {@code untilMs}. */
  static List<Ask> load(int port, int clients, long pauseMs, double untilMs) {
    return load(
        port,
        new String[] {"rate-lookup", "draft-save", "quote-issue"},
        new long[] {2_000, 4_000, 3_000},
        clients,
        pauseMs,
        untilMs);
  }

  /** The same with requests of these classes, which wait for so many ms. */
  static List<Ask> load(
      int port, String[] types, long[] left, int clients, long pauseMs, double untilMs) {
    List<Ask> all = new CopyOnWriteArrayList<>();
    for (int c = 0; c < clients; c++) {
      int k = c % types.length;
      daemon(() -> {
        Client client = new Client(port);
        while (ms() < untilMs) {
          all.add(client.ask(new Ask(types[k], left[k]), 1_000));
          sleep(pauseMs);
        }
        client.close();
      });
    }
    return all;
  }
}
