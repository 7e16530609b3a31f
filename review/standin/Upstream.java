import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;

/**
 * An upstream that follows the protocol page: answers each request with 200 and a body of its own after the time that
 * its class takes, at most {@code slots} at once, the others in order of arrival. A request whose client has closed its
 * connection runs all the same.
 */
final class Upstream {

  /** A request that arrived: its id, and when its last byte had come, in seconds. */
  record Arrival(String id, double at) {}

  final String name;
  final String zone;
  final int cell;
  private final ServerSocket listener;
  private final Semaphore slots;
  private final Map<String, Long> millisByClass;
  private final int answerBytes;
  private final RunRecord record;
  final Queue<Arrival> arrivals = new ConcurrentLinkedQueue<>();

  Upstream(
      String name, String zone, int cell, int slots, Map<String, Long> millisByClass, int answerBytes, RunRecord record)
      throws IOException {
    this.name = name;
    this.zone = zone;
    this.cell = cell;
    this.slots = new Semaphore(slots, true);
    this.millisByClass = millisByClass;
    this.answerBytes = answerBytes;
    this.record = record;
    listener = new ServerSocket(0, 512, InetAddress.getByName("127.0.0.1"));
    Threads.start(this::accept);
  }

  String address() {
    return "127.0.0.1:" + listener.getLocalPort();
  }

  /** Returns the body of the answer to a request. */
  static byte[] answerTo(String id, int bytes) {
    StringBuilder text = new StringBuilder("answer to " + id + "\n");
    while (text.length() < bytes) {
      text.append(id).append('\n');
    }
    return text.substring(0, Math.max(bytes, ("answer to " + id + "\n").length()))
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
      record.add("upstream " + name + " stops: " + e);
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
      OutputStream out = socket.getOutputStream();
      for (Http.Message request = Http.read(in); request != null; request = Http.read(in)) {
        String id = request.header("X-Correlation-Id");
        if (id == null) {
          out.write("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
          continue;
        }
        arrivals.add(new Arrival(id, record.seconds()));
        String path = request.firstLine().split(" ")[1];
        record.add("upstream " + name + " gets " + id + " " + path + ", time left "
            + request.header("X-Time-Left-Ms"));
        slots.acquire();
        try {
          TimeUnit.MILLISECONDS.sleep(millisByClass.getOrDefault(path.split("/")[1], 10L));
        } finally {
          slots.release();
        }
        byte[] body = answerTo(id, answerBytes);
        byte[] head = ("HTTP/1.1 200 OK\r\nContent-Length: " + body.length + "\r\n\r\n")
            .getBytes(StandardCharsets.ISO_8859_1);
        byte[] all = new byte[head.length + body.length];
        System.arraycopy(head, 0, all, 0, head.length);
        System.arraycopy(body, 0, all, head.length, body.length);
        out.write(all);
        record.add("upstream " + name + " has answered " + id);
      }
    } catch (IOException e) {
      record.add("upstream " + name + ": a connection ended: " + e.getMessage());
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
