import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

/**
 * Discovery as the protocol page has it: the whole list, and a watch that begins with what changed (or the whole list),
 * tells changes at once, and sends an empty line every 2 s. While it is crowded, each call waits in its queue for the
 * stated time and then fails with 503, because it waited too long.
 */
final class Discovery {

  private record Entry(String name, String address, String zone, int cell, String status, long index) {
    String json() {
      return "{\"name\":\"" + name + "\",\"address\":\"" + address + "\",\"zone\":\"" + zone + "\",\"type\":\"std\",\"group\":"
          + cell + ",\"status\":\"" + status + "\",\"weight\":1.0,\"since_ms\":0}";
    }
  }

  private final ServerSocket listener;
  private final RunRecord record;
  private final Map<String, Entry> entries = new LinkedHashMap<>();
  private final List<Socket> watches = new ArrayList<>();
  private long index = 41;
  /** How long a call waits before it fails; 0 while calls are answered. */
  volatile long failsAfterMillis;
  /** While it is down, watches have ended and calls end with a reset. */
  private volatile boolean down;

  Discovery(List<Upstream> upstreams, RunRecord record) throws IOException {
    this.record = record;
    for (Upstream u : upstreams) {
      entries.put(u.name, new Entry(u.name, u.address(), u.zone, u.cell, "in_service", index));
    }
    listener = new ServerSocket(0, 64, InetAddress.getByName("127.0.0.1"));
    Threads.start(this::accept);
  }

  String address() {
    return "127.0.0.1:" + listener.getLocalPort();
  }

  /** Returns the whole list, as the configuration's {@code known} holds it. */
  synchronized String wholeList() {
    return list(true, -1);
  }

  private String list(boolean snapshot, long after) {
    return "{\"index\":" + index + ",\"snapshot\":" + snapshot + ",\"endpoints\":["
        + entries.values().stream()
            .filter(e -> e.index > after)
            .map(Entry::json)
            .collect(Collectors.joining(","))
        + "]}";
  }

  /** Changes the status of an upstream; all open watches are told at once. */
  synchronized void change(String name, String status) {
    Entry e = entries.get(name);
    entries.put(name, new Entry(name, e.address, e.zone, e.cell, status, ++index));
    record.say("discovery: " + name + " is " + status + ", version " + index + ", open watches "
        + watches.size());
    for (Socket watch : List.copyOf(watches)) {
      tell(watch, list(false, index - 1) + "\n");
    }
  }

  /** Resets all open watches. */
  synchronized void resetWatches() throws IOException {
    for (Socket watch : watches) {
      watch.setSoLinger(true, 0);
      watch.close();
    }
    record.say("discovery: " + watches.size() + " open watches are reset");
    watches.clear();
  }

  /** Goes down: watches end, and calls end with a reset until it is up again. */
  void down() throws IOException {
    down = true;
    record.say("discovery: down");
    resetWatches();
  }

  void up() {
    down = false;
    record.say("discovery: up again" + (failsAfterMillis > 0 ? ", with too many callers" : ""));
  }

  private synchronized void tell(Socket watch, String text) {
    try {
      watch.getOutputStream().write(chunk(text));
    } catch (IOException e) {
      watches.remove(watch);
    }
  }

  private static byte[] chunk(String text) {
    return (Integer.toHexString(text.length()) + "\r\n" + text + "\r\n")
        .getBytes(StandardCharsets.ISO_8859_1);
  }

  private void accept() {
    try {
      while (true) {
        Socket socket = listener.accept();
        socket.setTcpNoDelay(true);
        Threads.start(() -> serve(socket));
      }
    } catch (IOException e) {
      record.add("discovery stops: " + e);
    }
  }

  private void serve(Socket socket) {
    try {
      BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
      OutputStream out = socket.getOutputStream();
      Http.Message request = Http.read(in);
      if (request == null) {
        socket.close();
        return;
      }
      String target = request.firstLine().split(" ")[1];
      if (down) {
        record.add("discovery: down, resets the call " + target);
        socket.setSoLinger(true, 0);
        socket.close();
        return;
      }
      long wait = failsAfterMillis;
      if (wait > 0) {
        record.add("discovery: the call " + target + " waits in the queue");
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(wait);
        while (failsAfterMillis > 0 && System.nanoTime() < end) {
          TimeUnit.MILLISECONDS.sleep(5);
        }
      }
      if (wait > 0 && failsAfterMillis > 0) {
        out.write("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
            .getBytes(StandardCharsets.ISO_8859_1));
        record.add("discovery: the call " + target + " has waited too long: 503");
        socket.close();
        return;
      }
      int at = target.indexOf("after=");
      long after = at < 0 ? -1 : Long.parseLong(target.substring(at + 6).split("&")[0]);
      if (!target.contains("watch=1")) {
        byte[] body = wholeList().getBytes(StandardCharsets.ISO_8859_1);
        out.write(("HTTP/1.1 200 OK\r\nContent-Length: " + body.length + "\r\n\r\n")
            .getBytes(StandardCharsets.ISO_8859_1));
        out.write(body);
        socket.close();
        return;
      }
      synchronized (this) {
        boolean whole = after < 0 || after > index;
        out.write("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"
            .getBytes(StandardCharsets.ISO_8859_1));
        out.write(chunk(list(whole, whole ? -1 : after) + "\n"));
        watches.add(socket);
        record.add("discovery: answers " + target + " with version " + index);
      }
      while (true) {
        TimeUnit.MILLISECONDS.sleep(2_000);
        synchronized (this) {
          if (!watches.contains(socket)) {
            return;
          }
          tell(socket, "\n");
        }
      }
    } catch (IOException e) {
      record.add("discovery: a call ended: " + e.getMessage());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
