package pumicekeel.lab.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import pumicekeel.Balancer.ListedUpstream;
import pumicekeel.Balancer.State;
import pumicekeel.lab.world.EventScheduler;
import pumicekeel.lab.world.RandomStream;
import pumicekeel.lab.world.Server;

/**
 * The simulated discovery service. By the operators' requirements it knows only whether a process runs. It notifies each balancer of a
 * change after a random delay, drawn for each balancer up to a maximum. A notification that is outdated when it is due is dropped, so
 * those of one upstream stay in order.
 */
final class SimulatedDiscovery {

  private final EventScheduler scheduler;
  private final RandomStream random;
  private final List<Host> hosts;
  private final Map<Long, ListedUpstream> entries = new LinkedHashMap<>();
  private final Map<Long, Long> versions = new HashMap<>();
  private long maxDelayNanos;

  SimulatedDiscovery(EventScheduler scheduler, long seed, List<Host> hosts, long maxDelayNanos) {
    this.scheduler = scheduler;
    this.hosts = hosts;
    this.maxDelayNanos = maxDelayNanos;
    random = new RandomStream(seed, "list");
  }

  /** Sets the maximum delay of notifications. */
  void setMaxDelay(long nanos) {
    maxDelayNanos = nanos;
  }

  long maxDelayNanos() {
    return maxDelayNanos;
  }

  /** Returns the entries of all upstreams that run or drain. */
  List<ListedUpstream> entries() {
    return new ArrayList<>(entries.values());
  }

  /** Adds an upstream that runs before the balancers start, without a notification. */
  void addInitial(Server server) {
    entries.put(server.id, entry(server, State.READY));
  }

  private static ListedUpstream entry(Server server, State state) {
    return new ListedUpstream(
        server.id,
        server.zone,
        server.cellNumber,
        state,
        Math.max(0, server.startedAt()),
        server.spec().weight());
  }

  /** Publishes a change of an upstream's state. */
  void change(Server server, State state) {
    ListedUpstream entry = entry(server, state);
    if (state == State.GONE) {
      entries.remove(server.id);
    } else {
      entries.put(server.id, entry);
    }
    long version = versions.merge(server.id, 1L, Long::sum);
    for (Host host : hosts) {
      scheduler.in((long) (random.uniform() * maxDelayNanos), () -> {
        if (versions.get(server.id) == version) {
          host.listEntryChanged(entry);
        }
      });
    }
  }
}
