package pumicekeel.config;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import pumicekeel.Balancer.DedupScope;
import pumicekeel.Balancer.Effect;
import pumicekeel.Balancer.ListedUpstream;
import pumicekeel.Balancer.RequestClass;
import pumicekeel.Balancer.State;
import pumicekeel.Balancer.Tenant;
import pumicekeel.config.OperatorConfiguration.Capacity;
import pumicekeel.config.OperatorConfiguration.ContractOverrides;
import pumicekeel.config.OperatorConfiguration.DiscoverySource;
import pumicekeel.config.OperatorConfiguration.LimitOverrides;
import pumicekeel.config.OperatorConfiguration.Listener;
import pumicekeel.config.OperatorConfiguration.Overrides;
import pumicekeel.config.OperatorConfiguration.PlatformSource;
import pumicekeel.config.OperatorConfiguration.Pool;
import pumicekeel.config.OperatorConfiguration.Select;
import pumicekeel.config.OperatorConfiguration.Source;
import pumicekeel.config.OperatorConfiguration.StaticSource;
import pumicekeel.discovery.HostList;
import pumicekeel.front.jsonrpc.CallSettings;
import pumicekeel.journal.Durability;
import pumicekeel.peers.Datagram;
import pumicekeel.route.Route;
import pumicekeel.runtime.Addresses;

/** Reads the text of an operator file into an {@link OperatorConfiguration}, or into the list of all its faults. */
public final class OperatorReader {

  /** Each pool has its own module instance, list and connections; more than twice the 220 of the largest known configuration. */
  public static final int MAX_POOLS = 512;
  /** Each listener uses a socket and a share of the client connections. */
  public static final int MAX_LISTENERS = 32;
  /** Each source may watch a discovery over its own connection; a pool has one source, so no more than pools are needed. */
  public static final int MAX_SOURCES = MAX_POOLS;
  /** Twice the 9,800 of the largest known configuration; the index and the coverage check grow with the number of routes. */
  public static final int MAX_ROUTES = 20_000;
  /** Static upstreams of one source and of all sources: more than twice the 5,500 of the largest known configuration. */
  private static final int MAX_STATIC_UPSTREAMS = 10_000;

  private static final int MAX_STATIC_UPSTREAMS_TOTAL = 20_000;
  /** Tenants of one pool, each with an entry in its module, and of all pools: twice the largest known number, 35,000. */
  private static final int MAX_TENANTS = 10_000;

  private static final int MAX_TENANTS_TOTAL = 70_000;
  /** Names, zones, types or groups of a pool's selector: each upstream is compared with each value. */
  private static final int MAX_SELECTOR_VALUES = 1_000;
  /** Names that a fault message lists as possible values. */
  private static final int MAX_LISTED_NAMES = 8;

  private static final int MAX_CLASSES = 100;
  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final long MAX_MILLIS = 3_600_000;
  private static final long MAX_CAPACITY = 1_000_000;

  private static final Map<String, Effect> EFFECTS =
      Map.of("safe", Effect.SAFE, "keyed", Effect.KEYED, "unsafe", Effect.UNSAFE);
  private static final Map<String, DedupScope> SCOPES =
      Map.of("all", DedupScope.ALL, "zone", DedupScope.ZONE, "cell", DedupScope.CELL);
  private static final Map<String, State> STATES =
      Map.of("in_service", State.READY, "terminating", State.DRAINING);

  /** The outcome of reading: a configuration, or faults in the order of their lines. */
  public record Result(OperatorConfiguration operator, List<Fault> faults) {}

  private final List<Fault> faults = new ArrayList<>();

  private OperatorReader() {}

  /** Reads and checks a whole file. */
  public static Result read(String text) {
    return new OperatorReader().parse(text);
  }

  private Result parse(String text) {
    Section root = Section.parse(text, faults);
    OperatorConfiguration operator = root == null ? null : operator(root);
    faults.sort(null);
    return new Result(faults.isEmpty() ? operator : null, List.copyOf(faults));
  }

  private OperatorConfiguration operator(Section root) {
    OperatorConfiguration.Process process = process(root.table("process"));
    Map<String, Source> sources = sources(root);
    Map<String, Listener> listeners = listeners(root, new RpcReader(faults));
    Map<String, Pool> pools = pools(root, sources);
    if (pools.isEmpty()) {
      root.addFault("pools", "expected at least one pool, as [pools.NAME]");
    }
    String defaultPool = root.text("default-pool", null);
    if (defaultPool != null && !pools.containsKey(defaultPool)) {
      root.addFault("default-pool", "expected a pool of this file, got \"" + defaultPool + "\"");
    }
    List<Route> routes =
        new RouteReader(pools, listeners.keySet(), faults).routes(root, defaultPool);
    OperatorConfiguration.Journal journal = journal(root.table("journal"));
    OperatorConfiguration.Peers peers = peers(root.table("peers"));
    ControlSettings control = ControlSettings.read(root.table("control"));
    root.reportUnknownKeys();
    checkGuarantees(root, process, pools);
    return new OperatorConfiguration(
        process, listeners, sources, pools, routes, journal, peers, control);
  }

  // The process and its listeners

  private static OperatorConfiguration.Process process(Section s) {
    if (s == null) {
      return new OperatorConfiguration.Process(null, null, null, null);
    }
    Long kib = s.integer("body-memory-kib", 64, 16 << 20);
    OperatorConfiguration.Process process = new OperatorConfiguration.Process(
        s.integer("client-sockets", 1, MAX_CAPACITY),
        s.integer("upstream-sockets", 1, MAX_CAPACITY),
        s.integer("open-requests", 1, MAX_CAPACITY),
        kib == null ? null : kib << 10);
    s.reportUnknownKeys();
    return process;
  }

  private static OperatorConfiguration.Peers peers(Section s) {
    if (s == null) {
      return OperatorConfiguration.Peers.NONE;
    }
    boolean lend = Boolean.TRUE.equals(s.bool("lend-quotas"));
    List<InetSocketAddress> out = new ArrayList<>();
    for (String text : or(s.textList("addresses"), List.<String>of())) {
      try {
        out.add(Addresses.parse("addresses", text));
      } catch (IllegalArgumentException e) {
        s.addFault(
            "addresses", "expected ADDRESS:PORT, without a name to look up, got \"" + text + "\"");
      }
    }
    s.reportUnknownKeys();
    if (out.size() < 2
        || out.size() > Datagram.MAX_MEMBERS
        || Set.copyOf(out).size() != out.size()) {
      s.addFault(
          "addresses",
          "expected 2 to " + Datagram.MAX_MEMBERS
              + " addresses, each once, in the order of the instances");
    }
    return new OperatorConfiguration.Peers(out, lend);
  }

  private static OperatorConfiguration.Journal journal(Section s) {
    if (s == null) {
      return null;
    }
    String directory = s.requiredText("directory", "the folder that holds the journal");
    Durability durability =
        s.choice("durability", Map.of("process", Durability.PROCESS, "host", Durability.HOST));
    Boolean refuse = s.choice("in-trouble", Map.of("refuse", true, "send", false));
    Long wait = s.integer("max-wait-ms", 1, 10_000);
    Long segment = s.integer("segment-mib", 1, 512);
    Long keep = s.integer("keep-mib", 2, 1 << 20);
    Long hours = s.integer("keep-hours", 1, 24 * 3_660);
    s.reportUnknownKeys();
    long segmentMib = segment == null ? 64 : segment;
    long keepMib = keep == null ? 1_024 : keep;
    if (keepMib < 2 * segmentMib) {
      s.addFault(
          "keep-mib", "expected room for two segments, " + 2 * segmentMib + ", got " + keepMib);
    }
    return new OperatorConfiguration.Journal(
        directory == null ? null : Path.of(directory),
        durability == null ? Durability.HOST : durability,
        !Boolean.FALSE.equals(refuse),
        (wait == null ? 100 : wait) * NANOS_PER_MILLI,
        segmentMib << 20,
        keepMib << 20,
        (hours == null ? 24 * 30 : hours) * 3_600_000L);
  }

  private Map<String, Listener> listeners(Section root, RpcReader rpc) {
    Map<String, Listener> out = new LinkedHashMap<>();
    Map<InetSocketAddress, String> taken = new LinkedHashMap<>();
    Map<String, Section> named = root.tablesByName("listeners");
    checkCount(root, "listeners", named.size(), MAX_LISTENERS);
    rpc.methods(root, named);
    named.forEach((name, s) -> {
      InetSocketAddress address = address(s, "address");
      Long maxConnections = s.integer("max-connections", 1, MAX_CAPACITY);
      CallSettings calls = rpc.listener(name, s);
      s.reportUnknownKeys();
      if (name.equals(OperatorConfiguration.PLATFORM)) {
        root.addFault(
            "listeners",
            "expected another name: \"platform\" is the listener that PROXY_LISTEN names");
      }
      if (address != null && address.getPort() != 0 && taken.putIfAbsent(address, name) != null) {
        s.addFault(
            "address",
            "expected an address of its own, listener " + taken.get(address) + " has this one");
      }
      out.put(name, new Listener(name, address, maxConnections, calls));
    });
    return out;
  }

  private static InetSocketAddress address(Section s, String key) {
    String text = s.requiredText(key, "ADDRESS:PORT");
    try {
      return text == null ? null : Addresses.parse(key, text);
    } catch (IllegalArgumentException e) {
      s.addFault(key, "expected ADDRESS:PORT, without a name to look up, got \"" + text + "\"");
      return null;
    }
  }

  private static void checkCount(Section s, String key, int size, int max) {
    if (size > max) {
      s.addFault(key, "expected at most " + max + ", got " + size);
    }
  }

  private static void checkTotal(Section root, String key, String what, int size, int max) {
    if (size > max) {
      root.addFault(key, "expected at most " + max + " " + what + " in all, got " + size);
    }
  }

  // Sources

  private Map<String, Source> sources(Section root) {
    Map<String, Source> out = new LinkedHashMap<>();
    out.put(OperatorConfiguration.PLATFORM, new PlatformSource());
    Map<String, Section> named = root.tablesByName("sources");
    checkCount(root, "sources", named.size(), MAX_SOURCES);
    named.forEach((name, s) -> {
      if (name.equals(OperatorConfiguration.PLATFORM)) {
        root.addFault("sources", "expected another name: \"platform\" is the platform's discovery");
      }
      boolean watched = s.has("discovery");
      boolean fixed = s.has("static");
      if (watched == fixed) {
        s.addFault(
            watched ? "static" : "discovery",
            "expected either discovery = \"ADDRESS:PORT\" or static = [...]");
      }
      out.put(
          name,
          watched ? new DiscoverySource(address(s, "discovery")) : new StaticSource(fixed(s)));
      s.reportUnknownKeys();
    });
    int hosts = out.values().stream()
        .mapToInt(source -> source instanceof StaticSource fixed ? fixed.hosts().size() : 0)
        .sum();
    checkTotal(root, "sources", "static upstreams", hosts, MAX_STATIC_UPSTREAMS_TOTAL);
    return out;
  }

  private List<HostList.Host> fixed(Section source) {
    List<HostList.Host> hosts = new ArrayList<>();
    Set<String> names = new HashSet<>();
    List<Section> entries = source.tables("static");
    checkCount(source, "static", entries.size(), MAX_STATIC_UPSTREAMS);
    for (Section s : entries) {
      String name = s.requiredText("name", "the upstream's name");
      InetSocketAddress address = address(s, "address");
      State state = s.choice("status", STATES);
      Long group = s.integer("group", 0, Integer.MAX_VALUE);
      Long since = s.integer("since-ms", 0, Long.MAX_VALUE / NANOS_PER_MILLI);
      Double weight = s.number("weight", 0, 1_000_000);
      String zone = s.text("zone", "");
      String type = s.text("type", "");
      s.reportUnknownKeys();
      if (name != null && !names.add(name)) {
        s.addFault("name", "expected a name of its own, \"" + name + "\" is taken");
      }
      if (name != null && address != null) {
        hosts.add(new HostList.Host(
            name,
            type,
            address,
            new ListedUpstream(
                HostList.idOf(name),
                zone,
                group == null ? 0 : group.intValue(),
                state == null ? State.READY : state,
                since == null ? 0 : since * NANOS_PER_MILLI,
                weight == null ? 1 : weight)));
      }
    }
    return hosts;
  }

  // Pools

  private Map<String, Pool> pools(Section root, Map<String, Source> sources) {
    Map<String, Pool> out = new LinkedHashMap<>();
    Map<String, Section> named = root.tablesByName("pools");
    checkCount(root, "pools", named.size(), MAX_POOLS);
    named.forEach((name, s) -> out.put(name, pool(name, s, sources)));
    int tenants = out.values().stream()
        .map(pool -> pool.overrides().tenants())
        .mapToInt(list -> list == null ? 0 : list.size())
        .sum();
    checkTotal(root, "pools", "tenants", tenants, MAX_TENANTS_TOTAL);
    return out;
  }

  private Pool pool(String name, Section s, Map<String, Source> sources) {
    String source = s.text("source", OperatorConfiguration.PLATFORM);
    if (!sources.containsKey(source)) {
      s.addFault(
          "source", "expected one of " + listed(sources.keySet()) + ", got \"" + source + "\"");
    }
    Long perUpstream = s.integer("connections-per-upstream", 0, 100_000);
    Pool pool = new Pool(
        name,
        source,
        select(s.table("select")),
        capacity(s, "open-requests", 1),
        capacity(s, "sockets", 1),
        capacity(s, "body-memory-kib", 1 << 10),
        perUpstream == null ? 0 : perUpstream.intValue(),
        journalSelection(s),
        new Overrides(
            s.has("classes") ? classes(s) : null,
            s.has("tenants") ? tenants(s) : null,
            limits(s.table("limits")),
            contract(s.table("contract"))),
        RpcReader.pool(s));
    s.reportUnknownKeys();
    checkJournalSelection(s, pool);
    return pool;
  }

  private static String listed(Set<String> names) {
    String first = String.join(", ", names.stream().limit(MAX_LISTED_NAMES).toList());
    return names.size() > MAX_LISTED_NAMES
        ? first + " and " + (names.size() - MAX_LISTED_NAMES) + " more"
        : first;
  }

  /** Reports a journal class that is not in the pool or is safe, and so is never recorded: most likely a mistake. */
  private static void checkJournalSelection(Section s, Pool pool) {
    List<RequestClass> classes = pool.overrides().classes();
    for (String name : classes == null ? List.<String>of() : pool.journal().classNames()) {
      if (classes.stream().noneMatch(c -> c.name().equals(name) && c.effect() != Effect.SAFE)) {
        s.addFault(
            "journal", "expected keyed or unsafe classes of this pool, got \"" + name + "\"");
      }
    }
  }

  /** Reads {@code journal = false}, or the names of the classes that are recorded. */
  private static OperatorConfiguration.JournalSelection journalSelection(Section s) {
    if (s.holds("journal", Boolean.class)) {
      return Boolean.TRUE.equals(s.bool("journal"))
          ? OperatorConfiguration.JournalSelection.ALL
          : new OperatorConfiguration.JournalSelection(false, List.of());
    }
    List<String> names = s.textList("journal");
    return names == null
        ? OperatorConfiguration.JournalSelection.ALL
        : new OperatorConfiguration.JournalSelection(true, names);
  }

  private static Select select(Section s) {
    if (s == null) {
      return Select.ALL;
    }
    List<Long> groups = new ArrayList<>();
    for (String text : or(s.textList("groups"), List.<String>of())) {
      try {
        groups.add(Long.parseLong(text));
      } catch (NumberFormatException e) {
        s.addFault("groups", "expected groups as texts of digits, got \"" + text + "\"");
      }
    }
    Select select = new Select(
        or(s.textList("names"), List.of()),
        or(s.textList("zones"), List.of()),
        or(s.textList("types"), List.of()),
        groups);
    s.reportUnknownKeys();
    checkCount(s, "names", select.names().size(), MAX_SELECTOR_VALUES);
    checkCount(s, "zones", select.zones().size(), MAX_SELECTOR_VALUES);
    checkCount(s, "types", select.types().size(), MAX_SELECTOR_VALUES);
    checkCount(s, "groups", groups.size(), MAX_SELECTOR_VALUES);
    return select;
  }

  private static <T> T or(T value, T absent) {
    return value == null ? absent : value;
  }

  private static Capacity capacity(Section pool, String key, int unit) {
    Section s = pool.table(key);
    if (s == null) {
      return new Capacity(null, null);
    }
    Long guaranteed = s.integer("guaranteed", 0, MAX_CAPACITY);
    Long max = s.integer("most", 1, MAX_CAPACITY);
    s.reportUnknownKeys();
    if (guaranteed != null && max != null && max < guaranteed) {
      s.addFault(
          "most", "expected no less than what is guaranteed, " + guaranteed + ", got " + max);
    }
    return new Capacity(
        guaranteed == null ? null : guaranteed * unit, max == null ? null : max * unit);
  }

  private List<RequestClass> classes(Section pool) {
    List<RequestClass> out = new ArrayList<>();
    Set<String> names = new HashSet<>();
    List<Section> entries = pool.tables("classes");
    checkCount(pool, "classes", entries.size(), MAX_CLASSES);
    if (entries.isEmpty()) {
      pool.addFault("classes", "expected at least one class, or no such key for the platform's");
    }
    for (Section s : entries) {
      RequestClass type = requestClass(s);
      if (type != null && !names.add(type.name())) {
        s.addFault("name", "expected a name of its own, \"" + type.name() + "\" is taken");
      }
      if (type != null) {
        out.add(type);
      }
    }
    return out;
  }

  private RequestClass requestClass(Section s) {
    String name = s.requiredText("name", "the class's name, the first part of its paths");
    Effect effect = s.choice("effect", EFFECTS);
    DedupScope scope = s.choice("dedup-scope", SCOPES);
    Long window = s.integer("dedup-window-ms", 0, MAX_MILLIS);
    Long aim = s.integer("aim-ms", 1, MAX_MILLIS);
    Long deadline = s.integer("deadline-ms", 1, MAX_MILLIS);
    Double worth = s.number("worth", 0, 1_000_000);
    Double late = s.number("late-worth", 0, 1);
    Double stretch = s.number("aim-stretch", 0, 1_000);
    s.reportUnknownKeys();
    if (name != null && !name.matches("[A-Za-z0-9._~-]+")) {
      s.addFault("name", "expected letters, digits and . _ ~ -, got \"" + name + "\"");
    }
    if (!s.has("aim-ms")) {
      s.addFault("aim-ms", "expected how soon an answer is wanted, in ms, got nothing");
    }
    if (aim != null && deadline != null && deadline < aim) {
      s.addFault("deadline-ms", "expected no less than aim-ms, " + aim + ", got " + deadline);
    }
    boolean keyed = effect == Effect.KEYED;
    if (!keyed && (scope != null || window != null)) {
      s.addFault(
          scope != null ? "dedup-scope" : "dedup-window-ms",
          "expected only with effect = \"keyed\"");
    }
    if (keyed && window == null) {
      s.addFault(
          "dedup-window-ms", "expected for how long repeats are dropped, in ms, got nothing");
    }
    if (name == null || aim == null) {
      return null;
    }
    // Without settings the most restrictive values apply: unsafe, deduplicated within a cell only.
    return new RequestClass(
        name,
        effect == null ? Effect.UNSAFE : effect,
        scope == null ? DedupScope.CELL : scope,
        window == null ? 0 : window * NANOS_PER_MILLI,
        aim * NANOS_PER_MILLI,
        stretch == null ? 0 : stretch,
        (deadline == null ? aim : deadline) * NANOS_PER_MILLI,
        worth == null ? 1 : worth,
        late == null ? 0 : late,
        false);
  }

  private List<Tenant> tenants(Section pool) {
    List<Tenant> out = new ArrayList<>();
    Set<String> names = new HashSet<>();
    List<Section> entries = pool.tables("tenants");
    checkCount(pool, "tenants", entries.size(), MAX_TENANTS);
    for (Section s : entries) {
      String name = s.requiredText("name", "the tenant's name");
      Double share = s.number("share", 0, 1);
      Double quota = s.number("quota-per-s", 0, 10_000_000);
      s.reportUnknownKeys();
      if (name != null && !names.add(name)) {
        s.addFault("name", "expected a name of its own, \"" + name + "\" is taken");
      } else if (name != null) {
        out.add(new Tenant(name, share == null ? 0 : share, quota == null ? 0 : quota));
      }
    }
    return out;
  }

  private static LimitOverrides limits(Section s) {
    if (s == null) {
      return new LimitOverrides(null, null, null, null, null, null, null);
    }
    LimitOverrides overrides = new LimitOverrides(
        s.bool("second-copies"),
        s.bool("retry-after"),
        ms(s, "max-retry-after-ms", 0),
        s.integer("max-attempts", 1, 100),
        s.integer("max-open", 1, MAX_CAPACITY),
        ms(s, "connect-timeout-ms", 1),
        ms(s, "connection-idle-ms", 10));
    s.reportUnknownKeys();
    return overrides;
  }

  private static Long ms(Section s, String key, long min) {
    Long value = s.integer(key, min, MAX_MILLIS);
    return value == null ? null : Long.valueOf(value * NANOS_PER_MILLI);
  }

  private static ContractOverrides contract(Section s) {
    if (s == null) {
      return new ContractOverrides(null, null, null, null, null);
    }
    ContractOverrides overrides = new ContractOverrides(
        ms(s, "drain-grace-ms", 300),
        s.number("cold-from", 0.01, 1),
        ms(s, "warm-within-ms", 0),
        s.number("fall-multiple", 1, 1_000),
        ms(s, "overload-for-ms", 1));
    s.reportUnknownKeys();
    return overrides;
  }

  /** Checks that the pools' guarantees together fit the process limits that the file sets. */
  private static void checkGuarantees(
      Section root, OperatorConfiguration.Process process, Map<String, Pool> pools) {
    checkSum(
        root,
        "process.open-requests",
        process.openRequests(),
        pools.values().stream().map(Pool::open).toList());
    checkSum(
        root,
        "process.upstream-sockets",
        process.upstreamSockets(),
        pools.values().stream().map(Pool::sockets).toList());
    checkSum(
        root,
        "process.body-memory-kib",
        process.bodyBytes(),
        pools.values().stream().map(Pool::body).toList());
  }

  private static void checkSum(Section root, String key, Long total, List<Capacity> capacities) {
    long sum = capacities.stream()
        .mapToLong(r -> r.guaranteed() == null ? 0 : r.guaranteed())
        .sum();
    if (total != null && sum > total) {
      root.addFault(
          "pools", "expected guarantees of " + total + " in all, as " + key + " says, got " + sum);
    }
  }
}
