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
 * A module that is told of its subset of the list alone. The module inside decides as ever; it is told of as many balancers as share one
 * upstream, since budgets of cold ones are divided by them. An upstream that leaves the subset is drained, not dropped. No I/O.
 */
public final class SubsetBalancer implements Balancer {

  private final Subsets way;
  private final int member;
  private final int members;
  private final int size;
  private final Balancer inside;
  /** The list as last told, and of it what the module has been told. */
  private final TreeMap<Long, Listed> known = new TreeMap<>();

  private final Map<Long, Listed> told = new HashMap<>();

  /** {@code inside} makes the module from its settings; so many upstreams it is to work with. */
  public SubsetBalancer(
      Settings settings,
      Subsets way,
      int size,
      int upstreams,
      Function<Settings, Balancer> inside) {
    this.way = way;
    this.size = size;
    member = settings.me();
    members = settings.groupSize();
    int sharers =
        Math.min(members, (int) Math.ceil((double) members * size / Math.max(1, upstreams)) + 1);
    this.inside = inside.apply(new Settings(
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
    if (event instanceof ListUpdate news && news.kind() != ListKind.FAILED) {
      inside.handle(now, seen(news), out);
    } else {
      inside.handle(now, event, out);
    }
  }

  private ListUpdate seen(ListUpdate news) {
    if (news.kind() != ListKind.DELTA) {
      known.clear();
    }
    for (Listed l : news.entries()) {
      if (l.state() == State.GONE) {
        known.remove(l.upstream());
      } else {
        known.put(l.upstream(), l);
      }
    }
    List<Long> ready = known.values().stream()
        .filter(l -> l.state() == State.READY)
        .map(Listed::upstream)
        .toList();
    Set<Long> mine =
        ready.isEmpty() ? Set.of() : way.of(member, members, ready, size).keySet();
    List<Listed> entries = new ArrayList<>();
    for (Listed l : known.values()) {
      boolean own = mine.contains(l.upstream());
      if (own || told.containsKey(l.upstream())) {
        entries.add(own || l.state() != State.READY ? l : in(l, State.DRAINING));
      }
    }
    for (Listed before : told.values()) {
      if (!known.containsKey(before.upstream())) {
        entries.add(in(before, State.GONE));
      }
    }
    if (news.kind() == ListKind.DELTA) {
      entries.removeIf(l -> l.equals(told.get(l.upstream())));
    }
    for (Listed l : entries) {
      if (l.state() == State.GONE) {
        told.remove(l.upstream());
      } else {
        told.put(l.upstream(), l);
      }
    }
    return new ListUpdate(
        news.kind(),
        entries.stream()
            .filter(l -> news.kind() == ListKind.DELTA || l.state() != State.GONE)
            .toList());
  }

  private static Listed in(Listed l, State state) {
    return new Listed(
        l.upstream(), l.zone(), l.cell(), state, l.startedNanos(), l.weight(), l.sharers());
  }
}
