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
 * Discovery: knows only whether a process runs (BRIEF), and tells each balancer at a time of its own, up to some seconds late. News
 * of one upstream stay in order: what is out of date when it arrives is not told.
 */
final class NodeList {

  private final EventScheduler scheduler;
  private final RandomStream random;
  private final List<Host> hosts;
  private final Map<Long, ListedUpstream> lines = new LinkedHashMap<>();
  private final Map<Long, Long> versions = new HashMap<>();
  private long lateNanos;

  NodeList(EventScheduler scheduler, long seed, List<Host> hosts, long lateNanos) {
    this.scheduler = scheduler;
    this.hosts = hosts;
    this.lateNanos = lateNanos;
    random = new RandomStream(seed, "list");
  }

  void late(long nanos) {
    lateNanos = nanos;
  }

  long lateNanos() {
    return lateNanos;
  }

  /** All that run or drain. */
  List<ListedUpstream> lines() {
    return new ArrayList<>(lines.values());
  }

  /** Enters one without telling: it was there before anybody. */
  void enter(Server s) {
    lines.put(s.id, line(s, State.READY));
  }

  private static ListedUpstream line(Server s, State state) {
    return new ListedUpstream(
        s.id, s.zone, s.cellNumber, state, Math.max(0, s.startedAt()), s.spec().weight());
  }

  /** An upstream's state has changed. */
  void change(Server s, State state) {
    ListedUpstream line = line(s, state);
    if (state == State.GONE) {
      lines.remove(s.id);
    } else {
      lines.put(s.id, line);
    }
    long version = versions.merge(s.id, 1L, Long::sum);
    for (Host host : hosts) {
      scheduler.in((long) (random.uniform() * lateNanos), () -> {
        if (versions.get(s.id) == version) {
          host.news(line);
        }
      });
    }
  }
}
