package pumicekeel.node;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.Closeable;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Request and response bodies too large to buffer are streamed unchanged, or visibly cut off. */
class LargeBodyTest {

  private static final long READING_PAUSE_MILLIS = 7_000;
  private static final int MIB = 1 << 20;

  /** An upstream at byte level: passes each request's head and body and the connection to the test's behaviour. */
  private static final class ByteUpstream implements Closeable {
    interface Behaviour {
      void answer(String head, byte[] body, Socket connection) throws Exception;
    }

    private final ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    private final List<Socket> open = new CopyOnWriteArrayList<>();
    final List<String> heads = new CopyOnWriteArrayList<>();
    final List<byte[]> bodies = new CopyOnWriteArrayList<>();

    ByteUpstream(Behaviour behaviour) throws IOException {
      start(() -> {
        while (true) {
          Socket connection = listener.accept();
          open.add(connection);
          start(() -> {
            DataInputStream in = new DataInputStream(connection.getInputStream());
            while (true) {
              String head = readHead(in);
              heads.add(head);
              byte[] body = readBody(head, in);
              bodies.add(body);
              behaviour.answer(head, body, connection);
            }
          });
        }
      });
    }

    private interface Task {
      void run() throws Exception;
    }

    private static void start(Task task) {
      Thread thread = new Thread(() -> {
        try {
          task.run();
        } catch (Exception e) {
          // The test or the balancer has closed the connection.
        }
      });
      thread.setDaemon(true);
      thread.start();
    }

    InetSocketAddress address() {
      return (InetSocketAddress) listener.getLocalSocketAddress();
    }

    @Override
    public void close() throws IOException {
      listener.close();
      for (Socket socket : open) {
        socket.close();
      }
    }
  }

  private static String readHead(DataInputStream in) throws IOException {
    StringBuilder head = new StringBuilder();
    while (head.length() < 4 || !head.substring(head.length() - 4).equals("\r\n\r\n")) {
      head.append((char) in.readUnsignedByte());
    }
    return head.toString();
  }

  private static String field(String head, String name) {
    for (String line : head.split("\r\n")) {
      if (line.toLowerCase().startsWith(name + ":")) {
        return line.substring(name.length() + 1).trim();
      }
    }
    return null;
  }

  private static byte[] readBody(String head, DataInputStream in) throws IOException {
    if (field(head, "transfer-encoding") == null) {
      byte[] body = new byte
          [field(head, "content-length") == null
              ? 0
              : Integer.parseInt(field(head, "content-length"))];
      in.readFully(body);
      return body;
    }
    java.io.ByteArrayOutputStream all = new java.io.ByteArrayOutputStream();
    while (true) {
      int length = Integer.parseInt(line(in), 16);
      byte[] chunk = new byte[length];
      in.readFully(chunk);
      all.write(chunk);
      line(in);
      if (length == 0) {
        return all.toByteArray();
      }
    }
  }

  private static String line(DataInputStream in) throws IOException {
    StringBuilder line = new StringBuilder();
    for (int c = in.readUnsignedByte(); c != '\n'; c = in.readUnsignedByte()) {
      line.append((char) c);
    }
    return line.toString().trim();
  }

  private static TestNode node(int attempts, ByteUpstream... upstreams) throws Exception {
    StringBuilder known = new StringBuilder();
    for (int i = 0; i < upstreams.length; i++) {
      known
          .append(i == 0 ? "" : ",")
          .append(TestNode.endpoint("s-" + i, upstreams[i].address(), "in_service"));
    }
    return new TestNode(TestNode.json(TestNode.unusedAddress(), attempts)
        .replace("\"endpoints\":[]", "\"endpoints\":[" + known + "]"));
  }

  private static byte[] randomBytes(int length, long seed) {
    byte[] bytes = new byte[length];
    new Random(seed).nextBytes(bytes);
    return bytes;
  }

  private static byte[] ascii(String text) {
    return text.getBytes(StandardCharsets.US_ASCII);
  }

  private static void chunk(OutputStream out, byte[] bytes, int from, int length)
      throws IOException {
    out.write(ascii(Integer.toHexString(length) + ";x=y\r\n"));
    out.write(bytes, from, length);
    out.write(ascii("\r\n"));
  }

  private static Socket client(TestNode node) throws IOException {
    Socket socket = new Socket(node.address.getAddress(), node.address.getPort());
    socket.setSoTimeout(30_000);
    return socket;
  }

  @ParameterizedTest
  @ValueSource(strings = {"length", "chunks", "close"})
  void largeAnswerIsPassedOnUnchangedInEachFraming(String form) throws Exception {
    byte[] body = randomBytes(3 * MIB + 17, 1);
    try (ByteUpstream upstream = new ByteUpstream((head, none, connection) -> {
      OutputStream out = connection.getOutputStream();
      if (form.equals("length")) {
        out.write(ascii(
            "HTTP/1.1 200 OK\r\nContent-Type: x/y\r\nContent-Length: " + body.length + "\r\n\r\n"));
        out.write(body);
      } else if (form.equals("chunks")) {
        out.write(ascii("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"));
        for (int i = 0; i < body.length; i += 10_000) {
          chunk(out, body, i, Math.min(10_000, body.length - i));
        }
        out.write(ascii("0\r\nTrailer: z\r\n\r\n"));
      } else {
        out.write(ascii("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"));
        out.write(body);
        connection.close();
      }
    })) {
      TestNode node = node(1, upstream);
      try (Socket socket = client(node)) {
        DataInputStream in = new DataInputStream(socket.getInputStream());
        for (int i = 0; i < 2; i++) {
          socket.getOutputStream().write(ascii(TestClient.look("a" + i, 15_000, "")));
          String head = readHead(in);
          assertTrue(head.startsWith("HTTP/1.1 200"), head);
          assertArrayEquals(body, readBody(head, in), "the connection is reused: " + i);
        }
      }
    }
  }

  @Test
  void truncatedAnswerIsVisiblyCutAndNotRetried() throws Exception {
    byte[] body = randomBytes(MIB, 2);
    try (ByteUpstream upstream = new ByteUpstream((head, none, connection) -> {
      OutputStream out = connection.getOutputStream();
      out.write(ascii("HTTP/1.1 200 OK\r\nContent-Length: " + body.length + "\r\n\r\n"));
      out.write(body, 0, body.length / 2);
      connection.close();
    })) {
      TestNode node = node(3, upstream, upstream);
      try (Socket socket = client(node)) {
        socket.getOutputStream().write(ascii(TestClient.look("a", 15_000, "")));
        byte[] got = socket.getInputStream().readAllBytes();
        assertTrue(got.length < body.length, "less than the announced length");
        assertEquals(1, upstream.heads.size(), "no second attempt once a part was passed on");
      } catch (SocketException e) {
        assertEquals(1, upstream.heads.size());
      }
    }
  }

  @Test
  void slowReadersSlowTheirUpstreamsAndUseNoMemory() throws Exception {
    int clients = 24;
    byte[] body = randomBytes(16 * MIB, 3);
    AtomicLong written = new AtomicLong();
    try (ByteUpstream upstream = new ByteUpstream((head, none, connection) -> {
      OutputStream out = connection.getOutputStream();
      out.write(ascii("HTTP/1.1 200 OK\r\nContent-Length: " + body.length + "\r\n\r\n"));
      for (int i = 0; i < body.length; i += 64 << 10) {
        out.write(body, i, 64 << 10);
        written.addAndGet(64 << 10);
      }
    })) {
      TestNode node = node(1, upstream);
      List<Socket> sockets = new ArrayList<>();
      for (int i = 0; i < clients; i++) {
        Socket socket = new Socket();
        socket.setReceiveBufferSize(64 << 10);
        socket.setSoTimeout(30_000);
        socket.connect(node.address);
        socket.getOutputStream().write(ascii(TestClient.look("s" + i, 15_000, "")));
        sockets.add(socket);
      }
      TestNode.until(() -> upstream.heads.size() == clients);
      // Until the socket buffers are full; anything more would be in the balancer's memory.
      long before = -1;
      while (before != written.get()) {
        before = written.get();
        long mark = System.nanoTime();
        TestNode.until(() -> System.nanoTime() - mark > TimeUnit.MILLISECONDS.toNanos(300));
      }
      assertTrue(before < (long) clients * body.length, "upstreams wait");
      long queued = io.netty.util.internal.PlatformDependent.usedDirectMemory();
      assertTrue(queued < 64L * MIB, "in direct buffers: " + queued);
      for (Socket socket : sockets) {
        DataInputStream in = new DataInputStream(socket.getInputStream());
        assertArrayEquals(body, readBody(readHead(in), in));
        socket.close();
      }
    }
  }

  @Test
  void clientThatReadsNothingForSomeSecondsGetsItsWholeAnswer() throws Exception {
    byte[] body = randomBytes(16 * MIB, 5);
    try (ByteUpstream upstream = new ByteUpstream((head, none, connection) -> {
      OutputStream out = connection.getOutputStream();
      out.write(ascii("HTTP/1.1 200 OK\r\nContent-Length: " + body.length + "\r\n\r\n"));
      out.write(body);
    })) {
      TestNode node = node(1, upstream);
      try (Socket socket = new Socket()) {
        socket.setReceiveBufferSize(64 << 10);
        socket.setSoTimeout(30_000);
        socket.connect(node.address);
        socket.getOutputStream().write(ascii(TestClient.look("a", 15_000, "")));
        DataInputStream in = new DataInputStream(socket.getInputStream());
        String head = readHead(in);
        TimeUnit.MILLISECONDS.sleep(READING_PAUSE_MILLIS);
        assertArrayEquals(body, readBody(head, in));
      }
    }
  }

  @Test
  void disconnectDuringALargeAnswerFreesItsUpstream() throws Exception {
    CountDownLatch broken = new CountDownLatch(1);
    byte[] body = randomBytes(MIB, 4);
    try (ByteUpstream upstream = new ByteUpstream((head, none, connection) -> {
      OutputStream out = connection.getOutputStream();
      out.write(ascii("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"));
      try {
        for (int i = 0; i < 30; i++) {
          chunk(out, body, 0, body.length);
        }
      } catch (IOException e) {
        broken.countDown();
      }
    })) {
      TestNode node = node(1, upstream);
      Socket socket = client(node);
      socket.getOutputStream().write(ascii(TestClient.look("a", 15_000, "")));
      readHead(new DataInputStream(socket.getInputStream()));
      socket.close();
      assertTrue(broken.await(30, TimeUnit.SECONDS));
    }
  }

  private static String upload(String id, String length) {
    return TestClient.order(id, 15_000)
        .replace("Content-Length: 4\r\n\r\nbody", length + "\r\n\r\n");
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void largeRequestIsStreamedAndItsTimeCountsFromItsEnd(boolean chunked) throws Exception {
    byte[] body = randomBytes(2 * MIB, 5);
    try (ByteUpstream upstream = new ByteUpstream((head, sent, connection) -> connection
        .getOutputStream()
        .write(ascii("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfine")))) {
      TestNode node = node(1, upstream);
      try (Socket socket = client(node)) {
        OutputStream out = socket.getOutputStream();
        DataInputStream in = new DataInputStream(socket.getInputStream());
        for (int round = 0; round < 2; round++) {
          // The time left is shorter than the upload of the body.
          String head = upload(
                  "u" + round,
                  chunked ? "Transfer-Encoding: chunked" : "Content-Length: " + body.length)
              .replace("X-Time-Left-Ms: 15000", "X-Time-Left-Ms: 800");
          out.write(ascii(head));
          for (int i = 0; i < body.length; i += 128 << 10) {
            if (chunked) {
              chunk(out, body, i, 128 << 10);
            } else {
              out.write(body, i, 128 << 10);
            }
            long mark = System.nanoTime();
            TestNode.until(() -> System.nanoTime() - mark > TimeUnit.MILLISECONDS.toNanos(100));
            if (i == 512 << 10) {
              int before = upstream.heads.size();
              assertEquals(round + 1, before, "forwarded before it has arrived completely");
            }
          }
          if (chunked) {
            out.write(ascii("0\r\n\r\n"));
          }
          String answer = readHead(in);
          assertTrue(answer.startsWith("HTTP/1.1 200"), answer);
          assertEquals("fine", new String(readBody(answer, in), StandardCharsets.US_ASCII));
          assertArrayEquals(body, upstream.bodies.get(round));
        }
      }
    }
  }

  @Test
  void abortedUploadNeverRunsAndLeavesNothingBehind() throws Exception {
    byte[] body = randomBytes(MIB, 6);
    try (ByteUpstream upstream = new ByteUpstream((head, sent, connection) -> connection
        .getOutputStream()
        .write(ascii("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfine")))) {
      TestNode node = node(1, upstream);
      try (Socket leaves = client(node);
          Socket stops = client(node)) {
        for (Socket socket : List.of(leaves, stops)) {
          socket
              .getOutputStream()
              .write(ascii(upload("u" + socket.getLocalPort(), "Content-Length: " + body.length)));
          socket.getOutputStream().write(body, 0, body.length / 2);
        }
        TestNode.until(() -> upstream.heads.size() == 2);
        leaves.close();
        assertTrue(
            readHead(new DataInputStream(stops.getInputStream())).startsWith("HTTP/1.1 408"));
        TestNode.until(() -> upstream.open.stream().allMatch(LargeBodyTest::closedByPeer));
        assertTrue(upstream.bodies.isEmpty(), "no request arrived completely");
        TestNode.until(() -> node.node.listeners().openConnections() == 0);
      }
    }
  }

  /** Whether the peer has closed a connection. */
  private static boolean closedByPeer(Socket socket) {
    try {
      socket.getOutputStream().write(0);
      return false;
    } catch (IOException e) {
      return true;
    }
  }

  @Test
  void consumedBodyIsNotResentAndAnUntouchedOneGoesToAnotherUpstream() throws Exception {
    // More than the sockets on the way hold: else all of it may be written before the upstream
    // closes.
    byte[] body = randomBytes(16 * MIB, 7);
    try (ServerSocket refuses = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        ByteUpstream upstream = new ByteUpstream((head, sent, connection) -> connection
            .getOutputStream()
            .write(ascii("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfine")))) {
      // Reads the head and a part of the body, then closes: nothing can have run.
      CompletableFuture<Integer> brokenAt = new CompletableFuture<>();
      ByteUpstream.start(() -> {
        for (int i = 0; true; i++) {
          try (Socket connection = refuses.accept()) {
            DataInputStream in = new DataInputStream(connection.getInputStream());
            readHead(in);
            in.readFully(new byte[MIB]);
            brokenAt.complete(i);
          }
        }
      });
      TestNode node = new TestNode(TestNode.json(TestNode.unusedAddress(), 4)
          .replace(
              "\"endpoints\":[]",
              "\"endpoints\":["
                  + TestNode.endpoint(
                      "s-0", (InetSocketAddress) refuses.getLocalSocketAddress(), "in_service")
                  + "]"));
      try (Socket socket = client(node)) {
        OutputStream out = socket.getOutputStream();
        out.write(ascii(upload("spent", "Content-Length: " + body.length)));
        out.write(body);
        DataInputStream in = new DataInputStream(socket.getInputStream());
        String head = readHead(in);
        assertTrue(
            head.startsWith("HTTP/1.1 429"), "nothing ran, and nothing more can be sent: " + head);
        assertEquals(0, brokenAt.get(30, TimeUnit.SECONDS), "one attempt");
      }
      refuses.close();
      TestNode other = new TestNode(TestNode.json(TestNode.unusedAddress(), 4)
          .replace(
              "\"endpoints\":[]",
              "\"endpoints\":["
                  + TestNode.endpoint("s-0", TestNode.unusedAddress(), "in_service") + ","
                  + TestNode.endpoint("s-1", upstream.address(), "in_service") + "]"));
      int served = 0;
      for (int i = 0; i < 6; i++) {
        try (Socket socket = client(other)) {
          socket
              .getOutputStream()
              .write(ascii(upload("again" + i, "Content-Length: " + body.length)
                  .replace("X-Session-Key: k", "X-Session-Key: k" + i)));
          socket.getOutputStream().write(body);
          DataInputStream in = new DataInputStream(socket.getInputStream());
          served += readHead(in).startsWith("HTTP/1.1 200") ? 1 : 0;
        }
      }
      assertEquals(6, served, "a failed connect consumes nothing of the body");
      assertTrue(upstream.bodies.stream().allMatch(b -> Arrays.equals(b, body)));
      assertFalse(upstream.bodies.isEmpty());
    }
  }

  /** Bodies that arrive completely before an attempt takes them, and then find no upstream: their buffers are released. */
  @Test
  void bodiesWithoutAnUpstreamLeaveNoBuffersBehind() throws Exception {
    TestNode node = new TestNode(TestNode.json(TestNode.unusedAddress(), 1)
        .replace(
            "\"endpoints\":[]",
            "\"endpoints\":[" + TestNode.endpoint("s-0", TestNode.unusedAddress(), "in_service")
                + "]"));
    byte[] body = randomBytes((64 << 10) + 1_500, 9);
    long before = -1;
    // In small chunks, the last of which arrive in one read with the one that exceeds the limit.
    java.io.ByteArrayOutputStream chunks = new java.io.ByteArrayOutputStream();
    for (int i = 0; i < body.length; i += 200) {
      chunk(chunks, body, i, Math.min(200, body.length - i));
    }
    for (int i = 0; i < 2_000; i++) {
      if (i == 200) {
        before = io.netty.util.internal.PlatformDependent.usedDirectMemory();
      }
      try (Socket socket = client(node)) {
        OutputStream out = socket.getOutputStream();
        out.write(ascii(upload("n" + i, "Transfer-Encoding: chunked")));
        out.write(chunks.toByteArray());
        out.write(ascii("0\r\n\r\n"));
        assertFalse(
            readHead(new DataInputStream(socket.getInputStream())).startsWith("HTTP/1.1 200"));
      }
    }
    long growth = io.netty.util.internal.PlatformDependent.usedDirectMemory() - before;
    assertTrue(growth < 3 * MIB, "direct memory grew by " + growth);
  }

  @Test
  void bodiesOverTheLimitAreRejectedInEachFraming() throws Exception {
    try (ByteUpstream upstream = new ByteUpstream((head, sent, connection) -> connection
        .getOutputStream()
        .write(ascii("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfine")))) {
      TestNode node = node(1, upstream);
      try (Socket withLength = client(node);
          Socket withChunks = client(node)) {
        withLength.getOutputStream().write(ascii(upload("a", "Content-Length: 60000000")));
        assertTrue(
            readHead(new DataInputStream(withLength.getInputStream())).startsWith("HTTP/1.1 413"));
        withChunks.getOutputStream().write(ascii(upload("b", "Transfer-Encoding: chunked")));
        byte[] chunk = randomBytes(MIB, 8);
        try {
          for (int i = 0; i < 60; i++) {
            chunk(withChunks.getOutputStream(), chunk, 0, MIB);
          }
        } catch (IOException e) {
          // Closed by the balancer during the upload.
        }
        TestNode.until(() -> node.node.listeners().openConnections() <= 1);
        assertTrue(upstream.bodies.isEmpty());
      }
    }
  }

  /** A slow request head and a slow small answer are served: neither may count as an error while it makes progress. */
  @Test
  void slowHeadAndSmallSlowAnswerAreServed() throws Exception {
    try (ByteUpstream upstream = new ByteUpstream((head, sent, connection) -> {
      OutputStream out = connection.getOutputStream();
      out.write(ascii("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n"));
      for (int i = 0; i < 10; i++) {
        out.write('0' + i);
        out.flush();
        TimeUnit.MILLISECONDS.sleep(120);
      }
    })) {
      TestNode node = node(1, upstream);
      try (Socket socket = client(node)) {
        byte[] request = ascii(TestClient.look("slow", 15_000, ""));
        int step = request.length / 16 + 1;
        for (int i = 0; i < request.length; i += step) {
          socket.getOutputStream().write(request, i, Math.min(step, request.length - i));
          long mark = System.nanoTime();
          TestNode.until(() -> System.nanoTime() - mark > TimeUnit.MILLISECONDS.toNanos(110));
        }
        DataInputStream in = new DataInputStream(socket.getInputStream());
        String head = readHead(in);
        assertTrue(head.startsWith("HTTP/1.1 200"), head);
        assertEquals("0123456789", new String(readBody(head, in), StandardCharsets.US_ASCII));
      }
    }
  }
}
