package pumicekeel.lab.program;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import pumicekeel.lab.program.HttpMessageReader.Message;

/** Simulated discovery service: serves a changing list on watches that may be reset or fall silent. */
final class RawDiscovery implements VirtualNetwork.Acceptor {

  private static final long HEARTBEAT_NANOS = 2_000_000_000L;
  /** Least time from a write to a reset of the watches: a reset sooner could destroy the update before it is read. */
  private static final long MIN_WRITE_TO_RESET_NANOS = 10_000_000L;

  /** The state of an upstream from an index on, as a JSON entry of the list. */
  private record Change(
      long index, int server, String json, boolean departing, boolean terminated) {}

  private final VirtualLoop loop;
  private final RunVerifier verifier;
  private final InetSocketAddress address;
  private final List<Change> changes = new ArrayList<>();
  private final Map<Integer, Change> current = new LinkedHashMap<>();
  private final Set<Watch> watches = new LinkedHashSet<>();
  private long index = 1;
  private long silentUntilNanos;
  private long lastWriteNanos;

  RawDiscovery(VirtualNetwork network, RunVerifier verifier) throws IOException {
    loop = network.loop();
    this.verifier = verifier;
    address = network.listen(0, this);
  }

  /** Returns the address that the service listens at. */
  InetSocketAddress address() {
    return address;
  }

  /** Changes an upstream's status in the list and sends the change on all watches. */
  void update(RawServer server, String status, long sinceMillis) {
    index++;
    String json = "{\"name\":\"s-" + server.number + "\",\"address\":\"127.0.0.1:"
        + server.address().getPort()
        + "\",\"zone\":\"a\",\"type\":\"t\",\"group\":" + server.cell + ",\"status\":\"" + status
        + "\",\"weight\":1.0,\"since_ms\":"
        + sinceMillis + "}";
    Change change = new Change(
        index, server.number, json, !status.equals("in_service"), status.equals("terminated"));
    changes.add(change);
    if (change.terminated()) {
      current.remove(server.number);
    } else {
      current.put(server.number, change);
    }
    watches.forEach(w -> w.sendChanges(false));
  }

  /** Resets all watches. */
  void resetWatches() {
    long earliestNanos = lastWriteNanos + MIN_WRITE_TO_RESET_NANOS;
    if (loop.now() < earliestNanos) {
      loop.runAt(earliestNanos, this::resetWatches);
      return;
    }
    List.copyOf(watches).forEach(w -> w.endpoint.abort());
    watches.clear();
  }

  /** Sends nothing on any watch for this time. */
  void silence(long nanos) {
    silentUntilNanos = Math.max(silentUntilNanos, loop.now() + nanos);
    loop.runAt(silentUntilNanos, () -> watches.forEach(w -> w.sendChanges(false)));
  }

  @Override
  public void accepted(VirtualConnection.Endpoint endpoint) {
    endpoint.listener(new Watch(endpoint));
  }

  /** An open watch. */
  private final class Watch implements VirtualConnection.Listener {
    private final VirtualConnection.Endpoint endpoint;
    private final SendQueue sendQueue;
    private final HttpMessageReader reader = new HttpMessageReader(false, this::onRequest);
    private final byte[] buffer = new byte[1 << 10];
    private long sentIndex;

    private Watch(VirtualConnection.Endpoint endpoint) {
      this.endpoint = endpoint;
      sendQueue = new SendQueue(endpoint);
    }

    @Override
    public void readable() {
      while (endpoint.unreadBytes() > 0) {
        int n = endpoint.read(buffer, 0, buffer.length);
        try {
          reader.feed(buffer, n);
        } catch (HttpMessageReader.MalformedMessageException e) {
          verifier.invalidData(
              "discovery received a request that is not valid HTTP: " + e.getMessage());
        }
      }
      if (endpoint.isReset() || endpoint.isInputOver()) {
        watches.remove(this);
        endpoint.close();
      }
    }

    @Override
    public void writable() {
      sendQueue.flush();
    }

    private void onRequest(Message request) {
      String target = request.startLine().split(" ")[1];
      int after = target.indexOf("after=");
      sentIndex = after < 0 ? -1 : Long.parseLong(target.substring(after + "after=".length()));
      sendQueue.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
          .getBytes(StandardCharsets.US_ASCII));
      watches.add(this);
      sendChanges(true);
      scheduleHeartbeat();
    }

    private void scheduleHeartbeat() {
      loop.runAt(loop.now() + HEARTBEAT_NANOS, () -> {
        if (watches.contains(this)) {
          if (loop.now() >= silentUntilNanos) {
            sendChunk("\n");
          }
          scheduleHeartbeat();
        }
      });
    }

    /** Sends the changes that the watch has not received; the first message is sent even if there are none. */
    private void sendChanges(boolean first) {
      if (loop.now() < silentUntilNanos || !first && sentIndex >= index) {
        return;
      }
      boolean snapshot = sentIndex < 0;
      List<Change> unsent = snapshot
          ? List.copyOf(current.values())
          : changes.stream().filter(c -> c.index() > sentIndex).toList();
      sentIndex = index;
      unsent.stream()
          .filter(Change::departing)
          .forEach(change -> verifier.departureAnnounced(change.server()));
      lastWriteNanos = loop.now();
      sendChunk("{\"index\":" + index + ",\"snapshot\":" + snapshot + ",\"endpoints\":["
          + unsent.stream().map(Change::json).collect(Collectors.joining(",")) + "]}\n");
    }

    private void sendChunk(String text) {
      sendQueue.send((Integer.toHexString(text.length()) + "\r\n" + text + "\r\n")
          .getBytes(StandardCharsets.US_ASCII));
    }
  }
}
