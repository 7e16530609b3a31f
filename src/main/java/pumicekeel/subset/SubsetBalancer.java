package pumicekeel.subset;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Function;
import pumicekeel.Balancer;

/**
 * Restricts a decision module to its subset of the list. Its group size is the number of balancers that share one upstream, since
 * the budgets of cold upstreams are divided by it. An upstream that leaves the subset is drained, not dropped. Does no I/O.
 */
public final class SubsetBalancer implements Balancer {

  private final Subsets method;
  private final int member;
  private final int members;
  private final int size;
  private final Balancer delegate;
  /** The latest list, by upstream. */
  private final TreeMap<Long, ListedUpstream> known = new TreeMap<>();
  /** The entries of the subset as the module last received them, by upstream. */
  private final Map<Long, ListedUpstream> sent = new HashMap<>();

  /** {@code delegate} creates the module from its settings; {@code size} upstreams are in its subset. */
  public SubsetBalancer(
      Settings settings,
      Subsets method,
      int size,
      int upstreams,
      Function<Settings, Balancer> delegate) {
    this.method = method;
    this.size = size;
    member = settings.me();
    members = settings.groupSize();
    int sharers =
        Math.min(members, (int) Math.ceil((double) members * size / Math.max(1, upstreams)) + 1);
    this.delegate = delegate.apply(new Settings(
        Math.min(settings.me(), sharers - 1),
        sharers,
        settings.zone(),
        settings.classes(),
        settings.tenants().stream()
            .map(t -> new Tenant(t.name(), t.share(), t.quotaPerSecond() * sharers / members))
            .toList(),
        settings.limits(),
        settings.contract(),
        settings.prices(),
        settings.listOnRequest(),
        settings.weightKind(),
        settings.overShareWorth(),
        settings.warmKeys(),
        settings.tickNanos()));
  }

  @Override
  public void handle(long now, Event event, Consumer<Action> out) {
    if (event instanceof ListUpdate update && update.kind() != ListKind.FAILED) {
      delegate.handle(now, subsetOf(update), out);
    } else {
      delegate.handle(now, event, out);
    }
  }

  private ListUpdate subsetOf(ListUpdate update) {
    if (update.kind() != ListKind.DELTA) {
      known.clear();
    }
    for (ListedUpstream l : update.entries()) {
      if (l.state() == State.GONE) {
        known.remove(l.upstream());
      } else {
        known.put(l.upstream(), l);
      }
    }
    List<Long> ready = known.values().stream()
        .filter(l -> l.state() == State.READY)
        .map(ListedUpstream::upstream)
        .toList();
    Set<Long> mine =
        ready.isEmpty() ? Set.of() : method.of(member, members, ready, size).keySet();
    List<ListedUpstream> entries = new ArrayList<>();
    for (ListedUpstream l : known.values()) {
      boolean own = mine.contains(l.upstream());
      if (own || sent.containsKey(l.upstream())) {
        entries.add(own || l.state() != State.READY ? l : withState(l, State.DRAINING));
      }
    }
    for (ListedUpstream before : sent.values()) {
      if (!known.containsKey(before.upstream())) {
        entries.add(withState(before, State.GONE));
      }
    }
    if (update.kind() == ListKind.DELTA) {
      entries.removeIf(l -> l.equals(sent.get(l.upstream())));
    }
    for (ListedUpstream l : entries) {
      if (l.state() == State.GONE) {
        sent.remove(l.upstream());
      } else {
        sent.put(l.upstream(), l);
      }
    }
    return new ListUpdate(
        update.kind(),
        entries.stream()
            .filter(l -> update.kind() == ListKind.DELTA || l.state() != State.GONE)
            .toList());
  }

  private static ListedUpstream withState(ListedUpstream l, State state) {
    return new ListedUpstream(
        l.upstream(), l.zone(), l.cell(), state, l.startedNanos(), l.weight(), l.sharers());
  }
}
