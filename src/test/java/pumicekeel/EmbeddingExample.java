package pumicekeel;

import java.util.ArrayList;
import java.util.List;
import pumicekeel.Balancer.Action;
import pumicekeel.Balancer.Contract;
import pumicekeel.Balancer.DedupScope;
import pumicekeel.Balancer.Effect;
import pumicekeel.Balancer.Limits;
import pumicekeel.Balancer.ListKind;
import pumicekeel.Balancer.ListUpdate;
import pumicekeel.Balancer.ListedUpstream;
import pumicekeel.Balancer.Prices;
import pumicekeel.Balancer.Request;
import pumicekeel.Balancer.RequestClass;
import pumicekeel.Balancer.Settings;
import pumicekeel.Balancer.State;
import pumicekeel.Balancer.WeightKind;

/** How a proxy embeds the module: settings once, then events in, actions out. */
final class EmbeddingExample {

  private static final long MS = 1_000_000L;

  private EmbeddingExample() {}

  /** Handles one request with two upstreams. Returns the actions that the proxy has to carry out. */
  static List<Action> firstRequest() {
    RequestClass page = new RequestClass(
        "page", Effect.SAFE, DedupScope.ALL, 0, 200 * MS, 0, 1000 * MS, 1, 0, false);
    Limits limits =
        new Limits(true, false, false, true, true, 1000 * MS, 3, 10_000, 1, 250 * MS, 15_000 * MS);
    Contract contract = new Contract(20 * MS, 0, 1000 * MS, 0.2, 10_000 * MS, 3, 2000 * MS);
    Settings settings = new Settings(
        0,
        1,
        "zone-a",
        List.of(page),
        List.of(),
        limits,
        contract,
        new Prices(0, 0, 0),
        false,
        WeightKind.NONE,
        1,
        false,
        MS);

    Balancer balancer = new AdaptiveBalancer(settings, 42);
    List<Action> actions = new ArrayList<>();
    long clock = 5_000 * MS;
    ListedUpstream one = new ListedUpstream(1, "zone-a", 0, State.READY, 0, 1);
    ListedUpstream two = new ListedUpstream(2, "zone-a", 0, State.READY, 0, 1);
    balancer.handle(clock, new ListUpdate(ListKind.CACHED, List.of(one, two)), actions::add);
    balancer.handle(
        clock, new Request("r1", "page", null, "user-7", clock + 800 * MS, 0, false), actions::add);
    return actions;
  }
}
