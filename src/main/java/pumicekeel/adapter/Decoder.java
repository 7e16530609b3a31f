package pumicekeel.adapter;

import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import pumicekeel.Balancer.AnswerStarted;
import pumicekeel.Balancer.ClientDisconnected;
import pumicekeel.Balancer.Contract;
import pumicekeel.Balancer.DedupScope;
import pumicekeel.Balancer.Effect;
import pumicekeel.Balancer.Event;
import pumicekeel.Balancer.Limits;
import pumicekeel.Balancer.ListKind;
import pumicekeel.Balancer.ListUpdate;
import pumicekeel.Balancer.ListedUpstream;
import pumicekeel.Balancer.Outcome;
import pumicekeel.Balancer.PeerMessage;
import pumicekeel.Balancer.Prices;
import pumicekeel.Balancer.ProbeResult;
import pumicekeel.Balancer.Request;
import pumicekeel.Balancer.RequestClass;
import pumicekeel.Balancer.Settings;
import pumicekeel.Balancer.State;
import pumicekeel.Balancer.Status;
import pumicekeel.Balancer.Tenant;
import pumicekeel.Balancer.TimerFired;
import pumicekeel.Balancer.WeightKind;

/** Translates events and settings of the simulator's protocol into those of the module. */
public final class Decoder {

  /** Defaults for absent settings, as used by the sites of the protocol. */
  private static final long DEFAULT_CONNECT_TIMEOUT_NANOS = 250_000_000L;

  private static final long DEFAULT_CONNECTION_IDLE_NANOS = 15_000_000_000L;

  private static final Map<String, Status> STATUSES = Map.of(
      "served",
      Status.SERVED,
      "server_error",
      Status.ERROR,
      "turned_away",
      Status.FULL,
      "no_answer",
      Status.TIMEOUT,
      "no_connection",
      Status.CONNECT_FAILED,
      "connection_lost",
      Status.RESET,
      "called_off",
      Status.CANCELLED,
      "not_sent",
      Status.NOT_SENT);
  private static final Map<String, State> STATES =
      Map.of("up", State.READY, "draining", State.DRAINING, "removed", State.GONE);
  private static final Map<String, ListKind> LIST_KINDS =
      Map.of("D", ListKind.DELTA, "F", ListKind.FULL, "C", ListKind.CACHED, "X", ListKind.FAILED);
  private static final Map<String, Effect> EFFECTS = Map.of(
      "idempotent", Effect.SAFE, "deduplicated", Effect.KEYED, "at_most_once", Effect.UNSAFE);
  private static final Map<String, DedupScope> DEDUP_SCOPES =
      Map.of("all", DedupScope.ALL, "zone", DedupScope.ZONE, "cell", DedupScope.CELL);
  private static final Map<String, WeightKind> WEIGHT_KINDS = Map.of(
      "none",
      WeightKind.NONE,
      "nominal",
      WeightKind.NOMINAL,
      "rough",
      WeightKind.ROUGH,
      "live",
      WeightKind.LIVE);
  private static final Map<String, Boolean> LIST_ON_REQUEST =
      Map.of("pushed", false, "on_request", true);

  private Decoder() {}

  /** Decodes an event by its protocol name, except start and stop of an instance. */
  static Event event(String name, Fields f) {
    return switch (name) {
      case "Topology" -> topology(f);
      case "JobIn" ->
        new Request(
            f.text("rid"),
            f.text("service"),
            tenant(f),
            f.text("object", null),
            f.integer("drop-dead-ns"),
            f.integer("weight-hint-ns", 0),
            f.bool("retry", false));
      case "First" ->
        new AnswerStarted(
            f.text("rid"), (int) f.integer("go"), f.integer("upstream"), f.integer("wait-time-ns"));
      case "Resolved" ->
        new Outcome(
            f.text("rid"),
            (int) f.integer("go"),
            f.integer("upstream"),
            f.choice("rc", STATUSES),
            f.integer("wait-time-ns"),
            f.bool("done-flag"),
            f.load("usage"));
      case "Aborted" -> new ClientDisconnected(f.text("rid"));
      case "Fired" -> new TimerFired(f.text("handle"));
      case "HealthResult" ->
        new ProbeResult(
            f.integer("upstream"),
            f.choice("rc", STATUSES),
            f.integer("wait-time-ns"),
            f.load("usage"));
      case "Datagram" -> new PeerMessage((int) f.integer("neighbour"), bytes(f));
      default -> throw new WireException("field " + f.path() + ": unknown event");
    };
  }

  /** Reads the tenant; where there are no tenants the field is absent or 0. */
  private static String tenant(Fields f) {
    return f.values().get("user-group") instanceof Long none && none == 0
        ? null
        : f.text("user-group", null);
  }

  private static byte[] bytes(Fields f) {
    try {
      return Base64.getDecoder().decode(f.text("octets"));
    } catch (IllegalArgumentException e) {
      throw new WireException("field " + f.path() + ".octets: expected base64");
    }
  }

  private static ListUpdate topology(Fields f) {
    ListKind kind = f.choice("kind", LIST_KINDS);
    List<ListedUpstream> entries = new ArrayList<>();
    if (kind != ListKind.FAILED || f.has("entries")) {
      for (Fields e : f.objects("entries")) {
        entries.add(new ListedUpstream(
            e.integer("upstream"),
            e.text("region-part", ""),
            (int) e.integer("pack", 0),
            e.choice("stage-state", STATES),
            e.integer("launched-ns", 0),
            e.number("capacity-hint", 1)));
      }
    }
    return new ListUpdate(kind, entries);
  }

  /** Reads a time for which 0 means unset: as a limit it would close every connection at once. */
  private static long orDefault(Fields f, String name, long defaultValue) {
    long value = f.integer(name, defaultValue);
    return value == 0 ? defaultValue : value;
  }

  /** Decodes the settings; ignores unknown keys and applies the defaults below for absent ones. */
  public static Settings settings(Fields f) {
    List<RequestClass> classes = new ArrayList<>();
    for (Fields c : f.objects("categories")) {
      long aim = c.integer("aim-ns");
      classes.add(new RequestClass(
          c.text("name"),
          c.choice("effect", EFFECTS, Effect.UNSAFE),
          c.choice("dedup-scope", DEDUP_SCOPES, DedupScope.CELL),
          c.integer("window-ns", 0),
          aim,
          c.number("aim-stretch", 0),
          c.integer("deadline-ns", aim),
          c.number("gain", 1),
          c.number("late-worth", 0),
          c.bool("stream", false)));
    }
    List<Tenant> tenants = new ArrayList<>();
    if (f.has("projects")) {
      for (Fields t : f.objects("projects")) {
        tenants.add(new Tenant(t.text("name"), t.number("portion", 0), t.number("quota-per-s", 0)));
      }
    }
    Fields l = f.nested("limits");
    Limits limits = new Limits(
        l.bool("cancel", false),
        l.bool("probing", false),
        l.bool("peers", false),
        l.bool("second-copies", false),
        l.bool("retry-after", false),
        l.integer("max-retry-after-ns", 0),
        (int) l.integer("max-attempts", 1),
        (int) l.integer("most-held", Integer.MAX_VALUE),
        (int) l.integer("multiplex", 1),
        orDefault(l, "connect-timeout-ns", DEFAULT_CONNECT_TIMEOUT_NANOS),
        orDefault(l, "conn-idle-ns", DEFAULT_CONNECTION_IDLE_NANOS));
    boolean onRequest = f.choice("registry-mode", LIST_ON_REQUEST, false);
    Fields c = f.nested("contract");
    Contract contract = new Contract(
        c.integer("answer-slack-ns", 0),
        c.integer("ask-within-ns", onRequest ? 10_000_000_000L : 0),
        c.integer("drain-grace-ns", 0),
        c.number("cold-from", 0.1),
        c.integer("warm-within-ns", 30_000_000_000L),
        c.number("fall-multiple", 1),
        c.integer("overload-for-ns", 1_000_000_000L));
    Fields p = f.nested("prices");
    Prices prices =
        new Prices(p.number("cross-zone", 0), p.number("waste", 0), p.number("late-fail", 0));
    return new Settings(
        (int) f.integer("me", 0),
        (int) f.integer("group-size", 1),
        f.text("zone", ""),
        classes,
        tenants,
        limits,
        contract,
        prices,
        onRequest,
        f.choice("weight-kind", WEIGHT_KINDS, WeightKind.NONE),
        f.number("over-share-worth", 1),
        f.nested("domain").bool("warm-keys", false),
        f.integer("resolution-ns", 1_000_000L));
  }
}
