package pumicekeel.config;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import pumicekeel.Balancer.Contract;
import pumicekeel.Balancer.Effect;
import pumicekeel.Balancer.Limits;
import pumicekeel.Balancer.RequestClass;
import pumicekeel.Balancer.Settings;
import pumicekeel.Balancer.Tenant;
import pumicekeel.discovery.HostList;
import pumicekeel.front.jsonrpc.CallSettings;
import pumicekeel.journal.Durability;
import pumicekeel.route.Route;
import pumicekeel.upstream.jsonrpc.ServerSettings;

/**
 * The contents of a checked operator file: one generation of listeners, sources, pools and routes. {@code peers} and {@code control}
 * take effect only at start-up; {@code control} is null if no control machines deliver configurations.
 */
public record OperatorConfiguration(
    Process process,
    Map<String, Listener> listeners,
    Map<String, Source> sources,
    Map<String, Pool> pools,
    List<Route> routes,
    Journal journal,
    Peers peers,
    ControlSettings control) {

  /** Name of the listener and of the source that come from the platform's configuration. */
  public static final String PLATFORM = "platform";

  /**
   * Addresses at which the fleet's members communicate, in the order of their numbers; empty without membership.
   *
   * @param lendQuotas whether members lend each other parts of tenants' quotas
   */
  public record Peers(List<InetSocketAddress> addresses, boolean lendQuotas) {

    static final Peers NONE = new Peers(List.of(), false);
  }

  /** Limits of the whole process; null where the platform's values apply. They take effect only at start-up. */
  public record Process(
      Long clientSockets, Long upstreamSockets, Long openRequests, Long bodyBytes) {}

  /**
   * Where and how attempts of keyed and unsafe requests are recorded; takes effect only at start-up.
   *
   * @param refusesInTrouble whether requests that cannot be recorded are refused; otherwise they are sent without a record
   * @param maxWaitNanos how long an attempt waits for its record
   * @param segmentBytes the size of one journal file
   * @param keepBytes the total size up to which old files are kept
   * @param keepMillis how long old files are kept
   */
  public record Journal(
      Path directory,
      Durability durability,
      boolean refusesInTrouble,
      long maxWaitNanos,
      long segmentBytes,
      long keepBytes,
      long keepMillis) {}

  /**
   * A listener in addition to the platform's.
   *
   * @param maxConnections its limit on connections; null for an even share of the remaining ones
   * @param rpc its JSON-RPC settings; null if it speaks HTTP
   */
  public record Listener(
      String name, InetSocketAddress address, Long maxConnections, CallSettings rpc) {}

  /** Where lists of upstreams come from. */
  public sealed interface Source permits PlatformSource, DiscoverySource, StaticSource {}

  /** The platform's discovery. */
  public record PlatformSource() implements Source {}

  /** Another discovery with the same protocol. */
  public record DiscoverySource(InetSocketAddress address) implements Source {}

  /** A static list in the file itself. */
  public record StaticSource(List<HostList.Host> hosts) implements Source {}

  /** Selects the source's upstreams that belong to the pool; an empty list matches all. A name may end in {@code *}. */
  public record Select(
      List<String> names, List<String> zones, List<String> types, List<Long> groups) {

    /** Selects all upstreams. */
    public static final Select ALL = new Select(List.of(), List.of(), List.of(), List.of());

    /** Returns whether an upstream belongs to the pool. */
    public boolean matches(HostList.Host host) {
      return (names.isEmpty()
              || names.stream()
                  .anyMatch(n -> n.endsWith("*")
                      ? host.name().startsWith(n.substring(0, n.length() - 1))
                      : n.equals(host.name())))
          && (zones.isEmpty() || zones.contains(host.listed().zone()))
          && (types.isEmpty() || types.contains(host.type()))
          && (groups.isEmpty() || groups.contains((long) host.listed().cell()));
    }
  }

  /** The capacity reserved for a pool and its maximum; null for the default. */
  public record Capacity(Long guaranteed, Long max) {}

  /** Settings of a pool's module that override the platform's; null where the platform's apply. */
  public record Overrides(
      List<RequestClass> classes,
      List<Tenant> tenants,
      LimitOverrides limits,
      ContractOverrides contract) {

    /** Returns the platform's settings with these values in place of its own. */
    public Settings applyTo(Settings base) {
      return new Settings(
          base.me(),
          base.groupSize(),
          base.zone(),
          classes == null ? base.classes() : classes,
          tenants == null ? base.tenants() : tenants,
          limits.applyTo(base.limits()),
          contract.applyTo(base.contract()),
          base.prices(),
          base.listOnRequest(),
          base.weightKind(),
          base.overShareWorth(),
          base.warmKeys(),
          base.tickNanos());
    }
  }

  /** Overrides of the limits of a pool; null where the platform's apply. */
  public record LimitOverrides(
      Boolean secondCopies,
      Boolean retryAfter,
      Long maxRetryAfterNanos,
      Long maxAttempts,
      Long maxOpen,
      Long connectTimeoutNanos,
      Long connectionIdleNanos) {

    Limits applyTo(Limits base) {
      return new Limits(
          base.cancel(),
          base.probes(),
          base.peers(),
          or(secondCopies, base.secondCopies()),
          or(retryAfter, base.retryAfter()),
          or(maxRetryAfterNanos, base.maxRetryAfterNanos()),
          maxAttempts == null ? base.maxAttempts() : maxAttempts.intValue(),
          maxOpen == null ? base.maxOpen() : maxOpen.intValue(),
          base.streamsPerConnection(),
          or(connectTimeoutNanos, base.connectTimeoutNanos()),
          or(connectionIdleNanos, base.connectionIdleNanos()));
    }
  }

  /** Parameters of the platform's rules ({@link Contract}) for a pool; null where the platform's values apply. */
  public record ContractOverrides(
      Long drainGraceNanos,
      Double coldFrom,
      Long warmWithinNanos,
      Double fallMultiple,
      Long fallWindowNanos) {

    Contract applyTo(Contract base) {
      return new Contract(
          base.answerSlackNanos(),
          base.askWithinNanos(),
          or(drainGraceNanos, base.drainGraceNanos()),
          or(coldFrom, base.coldFrom()),
          or(warmWithinNanos, base.warmWithinNanos()),
          or(fallMultiple, base.fallMultiple()),
          or(fallWindowNanos, base.fallWindowNanos()));
    }
  }

  private static <T> T or(T own, T base) {
    return own == null ? base : own;
  }

  /**
   * A pool.
   *
   * @param connectionsPerUpstream the number of connections to one address, counted over all pools of the process, up to which
   *     this pool opens more; 0 for no limit
   * @param journal which of its requests are recorded, if there is a journal
   * @param rpc its JSON-RPC settings; null if its upstreams speak HTTP
   */
  public record Pool(
      String name,
      String source,
      Select select,
      Capacity open,
      Capacity sockets,
      Capacity body,
      int connectionsPerUpstream,
      JournalSelection journal,
      Overrides overrides,
      ServerSettings rpc) {}

  /** Which keyed and unsafe classes of a pool are recorded: none unless {@code enabled}, and only the named ones if there are names. */
  public record JournalSelection(boolean enabled, List<String> classNames) {

    /** Records all keyed and unsafe classes. */
    public static final JournalSelection ALL = new JournalSelection(true, List.of());

    /** Returns whether requests of a class are recorded. */
    public boolean covers(RequestClass type) {
      return enabled
          && type.effect() != Effect.SAFE
          && (classNames.isEmpty() || classNames.contains(type.name()));
    }
  }
}
