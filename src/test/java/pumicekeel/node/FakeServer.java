package pumicekeel.node;

import java.io.BufferedReader;
import java.io.Closeable;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;

/** A small HTTP server on a loopback port: an upstream or a discovery whose behaviour a test sets. */
final class FakeServer implements Closeable {

  /** Answers one request, whose text is given; may write nothing, or close the connection. */
  interface Behaviour {
    void answer(String request, Socket connection, OutputStream out) throws Exception;
  }

  final List<String> requests = new CopyOnWriteArrayList<>();
  final List<Socket> connections = new CopyOnWriteArrayList<>();
  final AtomicInteger closedByPeer = new AtomicInteger();
  volatile Behaviour behaviour;
  private final ServerSocket listener;

  FakeServer(Behaviour behaviour) throws IOException {
    this(behaviour, 50, new CountDownLatch(0));
  }

  /** Creates a server with this backlog of unaccepted connections, which it starts to accept once the gate opens. */
  FakeServer(Behaviour behaviour, int backlog, CountDownLatch gate) throws IOException {
    this.behaviour = behaviour;
    listener = new ServerSocket(0, backlog, InetAddress.getLoopbackAddress());
    daemon(() -> {
      gate.await();
      while (true) {
        Socket connection = listener.accept();
        connections.add(connection);
        daemon(() -> serve(connection));
      }
    });
  }

  /** Returns a server that answers every request with status 200 and this body. */
  static FakeServer serving(String body) throws IOException {
    return new FakeServer((request, connection, out) -> write(out, ok(body)));
  }

  static String ok(String body) {
    return "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
  }

  static void write(OutputStream out, String text) throws IOException {
    out.write(text.getBytes(StandardCharsets.UTF_8));
    out.flush();
  }

  private interface Task {
    void run() throws Exception;
  }

  private static void daemon(Task task) {
    Thread thread = new Thread(() -> {
      try {
        task.run();
      } catch (Exception e) {
        // The test closed this server, or the peer its connection.
      }
    });
    thread.setDaemon(true);
    thread.start();
  }

  private void serve(Socket connection) throws Exception {
    BufferedReader in = new BufferedReader(
        new InputStreamReader(connection.getInputStream(), StandardCharsets.UTF_8));
    try {
      for (String line = in.readLine(); line != null; line = in.readLine()) {
        StringBuilder request = new StringBuilder();
        int length = 0;
        for (; line != null && !line.isEmpty(); line = in.readLine()) {
          request.append(line).append('\n');
          length = line.toLowerCase().startsWith("content-length:")
              ? Integer.parseInt(line.substring(15).trim())
              : length;
        }
        request.append('\n');
        for (int i = 0; i < length; i++) {
          int next = in.read();
          if (next < 0) {
            // A request counts only once its last byte has arrived.
            return;
          }
          request.append((char) next);
        }
        requests.add(request.toString());
        behaviour.answer(request.toString(), connection, connection.getOutputStream());
      }
    } finally {
      closedByPeer.incrementAndGet();
    }
  }

  InetSocketAddress address() {
    return (InetSocketAddress) listener.getLocalSocketAddress();
  }

  @Override
  public void close() throws IOException {
    listener.close();
    for (Socket connection : connections) {
      connection.close();
    }
  }
}
