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
 * An operator file that has passed its checks: one generation of listeners, sources, pools and routes. {@code peers} and {@code control},
 * null where no control machines deliver, count at a start only.
 */
public record Operator(
    Process process,
    Map<String, Listener> listeners,
    Map<String, Source> sources,
    Map<String, Pool> pools,
    List<Route> routes,
    Journal journal,
    Peers peers,
    ControlSettings control) {

  /** The listener and the source that the platform's own configuration names. */
  public static final String PLATFORM = "platform";

  /**
   * Where the fleet's members speak to each other, in the order of their numbers; no address for no membership.
   *
   * @param lendQuotas whether they lend each other parts of tenants' quotas
   */
  public record Peers(List<InetSocketAddress> addresses, boolean lendQuotas) {

    static final Peers NONE = new Peers(List.of(), false);
  }

  /** Room of the whole process, null where the platform's figures decide; taken over at a start only. */
  public record Process(
      Long clientSockets, Long upstreamSockets, Long openRequests, Long bodyBytes) {}

  /** Where and how attempts of keyed and unsafe requests are put on record; counts at a start only. */
  public record Journal(
      Path directory,
      Durability durability,
      boolean refusesInTrouble,
      long maxWaitNanos,
      long segmentBytes,
      long keepBytes,
      long keepMillis) {}

  /** A listener beside the platform's; {@code maxConnections} is null for an even part of what is left,
   * {@code rpc} where it speaks HTTP. */
  public record Listener(
      String name, InetSocketAddress address, Long maxConnections, CallSettings rpc) {}

  /** Where lists of upstreams come from. */
  public sealed interface Source permits PlatformSource, DiscoverySource, StaticSource {}

  /** The platform's discovery. */
  public record PlatformSource() implements Source {}

  /** Another discovery, of the same protocol. */
  public record DiscoverySource(InetSocketAddress address) implements Source {}

  /** The list that the file itself holds. */
  public record StaticSource(List<HostList.Host> hosts) implements Source {}

  /** Which upstreams of the source are the pool's; an empty list asks nothing. A name may end in {@code *}. */
  public record Select(
      List<String> names, List<String> zones, List<String> types, List<Long> groups) {

    public static final Select ALL = new Select(List.of(), List.of(), List.of(), List.of());

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

  /** What is kept for a pool whatever the others do, and the most that it may have; null for the default. */
  public record Capacity(Long guaranteed, Long max) {}

  /** What a pool's module is told otherwise than the platform says; null where the platform's word holds. */
  public record Overrides(
      List<RequestClass> classes, List<Tenant> tenants, LimitsPart limits, ContractPart contract) {

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

  /** Limits of a pool; null where the platform's hold. */
  public record LimitsPart(
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

  /** Figures of the four rules for a pool's upstreams; null where the platform's hold. */
  public record ContractPart(
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
   * @param connectionsPerUpstream connections to one address by all pools of the process together that this pool
   *     opens up to; 0 for no cap
   * @param journal which of its requests go on record, where there is a journal
   * @param rpc how its upstreams speak JSON-RPC; null where they speak HTTP
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

  /** Which keyed and unsafe classes of a pool go on record: all but those that are off, or only those named. */
  public record JournalSelection(boolean on, List<String> only) {

    public static final JournalSelection ALL = new JournalSelection(true, List.of());

    public boolean covers(RequestClass type) {
      return on && type.effect() != Effect.SAFE && (only.isEmpty() || only.contains(type.name()));
    }
  }
}
