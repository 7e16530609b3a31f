package pumicekeel.lab.fleet;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import pumicekeel.Balancer.Contract;
import pumicekeel.Balancer.Limits;
import pumicekeel.Balancer.Prices;
import pumicekeel.Balancer.Settings;
import pumicekeel.Balancer.Tenant;
import pumicekeel.Balancer.WeightKind;
import pumicekeel.lab.world.EventScheduler;
import pumicekeel.lab.world.RandomStream;
import pumicekeel.lab.world.RequestKind;
import pumicekeel.lab.world.Server;
import pumicekeel.lab.world.ServerSpec;
import pumicekeel.lab.world.Traffic;
import pumicekeel.lab.world.WorldSpec;

/**
 * The upstreams of a world and the settings of its balancers. Values that the operators' requirements state as ranges are drawn by the
 * seed.
 */
public final class Deployment {

  private static final long MS = 1_000_000L;
  private static final long SECOND = 1_000 * MS;
  private static final int MAX_OPEN_REQUESTS = 20_000;
  private static final long FIRST_ID = 100;

  /** Deviation (sigma) of an approximate weight from the actual size; an assumption. */
  private static final double WEIGHT_SIGMA = 0.15;

  private final WorldSpec spec;
  private final EventScheduler scheduler;
  private final RandomStream random;
  private final Map<Long, Server> serversById = new LinkedHashMap<>();
  private final Map<Integer, Server.Cell> cells = new HashMap<>();
  private final double capacity;
  private long nextId = FIRST_ID;

  /** Creates the upstreams that run when the world starts. */
  public Deployment(WorldSpec spec, EventScheduler scheduler, long seed) {
    this.spec = spec;
    this.scheduler = scheduler;
    random = new RandomStream(seed, "fleet");
    for (int i = 0; i < spec.servers(); i++) {
      // These upstreams are warm: a negative start time is long ago.
      add(drawSpec(), i % spec.zones(), i / spec.cellSize(), -1);
    }
    capacity = serversById.values().stream()
        .mapToDouble(server -> server.spec().capacity())
        .sum();
  }

  /** Returns the name of a zone by its number. */
  public static String zone(int number) {
    return "z" + number;
  }

  private ServerSpec drawSpec() {
    boolean large = random.uniform() < 0.4;
    int cores = large ? 3 : 2;
    double speed = large ? random.between(0.85, 1.1) : random.between(0.51, 0.69);
    return new ServerSpec(
        cores,
        speed,
        cores * 12,
        cores * 20,
        0.005,
        0.32,
        8_500 * MS,
        random.below(1_500) + 1_200,
        (long) (MS * random.between(0.89, 3.4)),
        (long) (SECOND * random.between(19, 39)),
        0.75,
        400,
        spec.weightedLists() ? cores * speed * random.lognormal(WEIGHT_SIGMA) : 1);
  }

  /** Returns the settings of one balancer. */
  public Settings settings(int index, String zone) {
    List<Tenant> tenants = IntStream.range(0, Traffic.TENANTS.size())
        .mapToObj(i -> new Tenant(
            Traffic.TENANTS.get(i),
            Traffic.TENANT_SHARES[i],
            Traffic.TENANT_SHARES[i]
                * 1.5
                * capacity
                / RequestKind.meanWork(RequestKind.STANDARD_MIX)))
        .toList();
    return new Settings(
        index,
        spec.balancers(),
        zone,
        RequestKind.STANDARD_MIX.stream().map(RequestKind::requestClass).toList(),
        tenants,
        new Limits(
            true,
            false,
            false,
            true,
            true,
            2 * SECOND,
            6,
            MAX_OPEN_REQUESTS,
            1,
            250 * MS,
            15 * SECOND),
        new Contract(8 * MS, 0, 2 * SECOND, 0.32, 8_500 * MS, 3, 3 * SECOND),
        new Prices(0, 0.02, 0.03),
        false,
        spec.weightedLists() ? WeightKind.ROUGH : WeightKind.NONE,
        0.2,
        true,
        MS);
  }

  /** Returns the work per second of all upstreams that run when the world starts, in nanoseconds on a core of the reference speed. */
  public double capacity() {
    return capacity;
  }

  /** Returns all upstreams by id, including those that have ended. */
  public Map<Long, Server> servers() {
    return serversById;
  }

  /** Adds a replacement for an upstream; it starts now. */
  Server addReplacement(Server replaced) {
    return add(
        replaced.spec(),
        Integer.parseInt(replaced.zone.substring(1)),
        replaced.cellNumber,
        scheduler.now());
  }

  private Server add(ServerSpec serverSpec, int zone, int cell, long startedAt) {
    Server server = new Server(
        nextId++,
        zone(zone),
        cell,
        serverSpec,
        cells.computeIfAbsent(cell, number -> new Server.Cell()),
        scheduler,
        startedAt);
    serversById.put(server.id, server);
    return server;
  }
}
