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
import pumicekeel.lab.program.Messages.Message;

/** Simulated discovery service: serves a changing list on watches that may be reset or fall silent. */
final class RawDiscovery implements VirtualNetwork.Acceptor {

  private static final long HEARTBEAT = 2_000_000_000L;
  /** Least time from a write to a reset of the watches: a reset sooner could destroy the update before it is read. */
  private static final long SETTLES = 10_000_000L;

  /** The state of an upstream from an index on, as a JSON entry of the list. */
  private record Change(long index, int server, String text, boolean leaves, boolean gone) {}

  private final VirtualLoop loop;
  private final RunVerifier verifier;
  private final InetSocketAddress address;
  private final List<Change> changes = new ArrayList<>();
  private final Map<Integer, Change> current = new LinkedHashMap<>();
  private final Set<Watch> watches = new LinkedHashSet<>();
  private long index = 1;
  private long silentUntil;
  private long wroteAt;

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
  void tell(RawServer server, String status, long sinceMillis) {
    index++;
    String text = "{\"name\":\"s-" + server.number + "\",\"address\":\"127.0.0.1:"
        + server.address().getPort()
        + "\",\"zone\":\"a\",\"type\":\"t\",\"group\":" + server.cell + ",\"status\":\"" + status
        + "\",\"weight\":1.0,\"since_ms\":"
        + sinceMillis + "}";
    Change line = new Change(
        index, server.number, text, !status.equals("in_service"), status.equals("terminated"));
    changes.add(line);
    if (line.gone()) {
      current.remove(server.number);
    } else {
      current.put(server.number, line);
    }
    watches.forEach(w -> w.go(false));
  }

  /** Resets all watches. */
  void breakWatches() {
    long settled = wroteAt + SETTLES;
    if (loop.now() < settled) {
      loop.at(settled, this::breakWatches);
      return;
    }
    List.copyOf(watches).forEach(w -> w.end.abort());
    watches.clear();
  }

  /** Sends nothing on any watch for this time. */
  void silent(long nanos) {
    silentUntil = Math.max(silentUntil, loop.now() + nanos);
    loop.at(silentUntil, () -> watches.forEach(w -> w.go(false)));
  }

  @Override
  public void accepted(Line.End end) {
    end.listener(new Watch(end));
  }

  /** An open watch. */
  private final class Watch implements Line.Listener {
    private final Line.End end;
    private final Outgoing out;
    private final Messages reader = new Messages(false, this::asked);
    private final byte[] buffer = new byte[1 << 10];
    private long told;

    private Watch(Line.End end) {
      this.end = end;
      out = new Outgoing(end);
    }

    @Override
    public void readable() {
      while (end.unread() > 0) {
        int n = end.read(buffer, 0, buffer.length);
        try {
          reader.feed(buffer, n);
        } catch (Messages.Malformed e) {
          verifier.nonsense(
              "discovery received a request that is not valid HTTP: " + e.getMessage());
        }
      }
      if (end.reset() || end.over()) {
        watches.remove(this);
        end.close();
      }
    }

    @Override
    public void writable() {
      out.go();
    }

    private void asked(Message request) {
      String target = request.first().split(" ")[1];
      int after = target.indexOf("after=");
      told = after < 0 ? -1 : Long.parseLong(target.substring(after + "after=".length()));
      out.add("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
          .getBytes(StandardCharsets.US_ASCII));
      watches.add(this);
      go(true);
      beat();
    }

    private void beat() {
      loop.at(loop.now() + HEARTBEAT, () -> {
        if (watches.contains(this)) {
          if (loop.now() >= silentUntil) {
            chunk("\n");
          }
          beat();
        }
      });
    }

    /** Sends the changes that the watch has not received; the first message is sent even if there are none. */
    private void go(boolean first) {
      if (loop.now() < silentUntil || !first && told >= index) {
        return;
      }
      boolean whole = told < 0;
      List<Change> lines = whole
          ? List.copyOf(current.values())
          : changes.stream().filter(c -> c.index() > told).toList();
      told = index;
      lines.stream().filter(Change::leaves).forEach(l -> verifier.told(l.server()));
      wroteAt = loop.now();
      chunk("{\"index\":" + index + ",\"snapshot\":" + whole + ",\"endpoints\":["
          + lines.stream().map(Change::text).collect(Collectors.joining(",")) + "]}\n");
    }

    private void chunk(String text) {
      out.add((Integer.toHexString(text.length()) + "\r\n" + text + "\r\n")
          .getBytes(StandardCharsets.US_ASCII));
    }
  }
}
