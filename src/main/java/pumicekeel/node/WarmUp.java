package pumicekeel.node;

import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpResponseEncoder;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.UUID;
import java.util.concurrent.TimeUnit;
import pumicekeel.AdaptiveBalancer;
import pumicekeel.Balancer.DedupScope;
import pumicekeel.Balancer.Effect;
import pumicekeel.Balancer.ListedUpstream;
import pumicekeel.Balancer.RequestClass;
import pumicekeel.Balancer.Settings;
import pumicekeel.Balancer.State;
import pumicekeel.Balancer.Tenant;
import pumicekeel.call.ClientRequest;
import pumicekeel.core.BalancerCore;
import pumicekeel.core.SinglePoolRouter;
import pumicekeel.discovery.HostList;
import pumicekeel.front.http.ClientHandler;
import pumicekeel.front.http.HttpFront;
import pumicekeel.front.http.RequestDecoder;
import pumicekeel.runtime.Clock;
import pumicekeel.runtime.Log;
import pumicekeel.runtime.LoopLag;
import pumicekeel.runtime.Reactor;
import pumicekeel.upstream.http.ConnectionPool;

/**
 * Protects the first clients from a cold JVM: before the balancer reports ready, synthetic requests run through its whole
 * request path, with their own module and connection pool, to a path on the balancer itself that no client knows.
 */
public final class WarmUp {

  private static final int REQUESTS = 300;
  private static final int CONCURRENCY = 8;
  private static final int UPSTREAMS = 3;
  private static final int SESSION_KEYS = 50;
  /** Bounds the warm-up: a restarted balancer is out of service meanwhile, and may have only half a core. */
  private static final long MAX_DURATION_NANOS = 1_200_000_000L;

  private static final long SECOND_NANOS = 1_000_000_000L;

  private final EventLoop loop;
  private final String path;
  private final Clock clock;
  private final ConnectionPool pool;
  private final BalancerCore core;
  private final HttpFront front;
  private final Runnable done;
  private final long endAt;
  private final List<Tenant> tenants;
  private final List<EmbeddedChannel> clients = new ArrayList<>();
  private int sent;

  /** Runs on the event loop and calls {@code done} there, after a fixed number of requests or the maximum duration. */
  public static void run(
      Reactor reactor,
      LoopLag lag,
      InetSocketAddress self,
      String path,
      Settings settings,
      Runnable done) {
    new WarmUp(reactor, lag, path, settings, done).start(self);
  }

  /** Returns a path that no client can guess: only the warm-up's requests are answered without a class. */
  public static String newPath() {
    return "/" + UUID.randomUUID();
  }

  private WarmUp(Reactor reactor, LoopLag lag, String path, Settings served, Runnable done) {
    loop = reactor.loop();
    clock = reactor.clock();
    endAt = clock.now() + MAX_DURATION_NANOS;
    this.path = path;
    this.done = done;
    RequestClass type = new RequestClass(
        path.substring(1),
        Effect.SAFE,
        DedupScope.ALL,
        SECOND_NANOS,
        SECOND_NANOS,
        0,
        2 * SECOND_NANOS,
        1,
        0,
        false);
    Settings settings = new Settings(
        0,
        1,
        served.zone(),
        List.of(type),
        served.tenants(),
        served.limits(),
        served.contract(),
        served.prices(),
        false,
        served.weightKind(),
        served.overShareWorth(),
        served.warmKeys(),
        served.tickNanos());
    pool = new ConnectionPool(reactor, SECOND_NANOS, SECOND_NANOS, CONCURRENCY);
    core = new BalancerCore(
        settings,
        new AdaptiveBalancer(settings, 0),
        reactor,
        lag,
        pool,
        e -> Log.line("defect of the module while warming up: " + e));
    front = new HttpFront(reactor, lag, "warm-up", new SinglePoolRouter(core), CONCURRENCY, null);
    tenants = served.tenants();
  }

  private void start(InetSocketAddress self) {
    List<HostList.Host> hosts = new ArrayList<>();
    for (int i = 0; i < UPSTREAMS; i++) {
      hosts.add(new HostList.Host(self, new ListedUpstream(i, "", 0, State.READY, 0, 1)));
    }
    core.start(new HostList(0, true, hosts), active -> {});
    for (int i = 0; i < CONCURRENCY; i++) {
      ClientHandler handler = new ClientHandler(front);
      clients.add(new EmbeddedChannel(
          new RequestDecoder(handler::acceptBytes), new HttpResponseEncoder(), handler));
    }
    loop.execute(this::round);
  }

  private void round() {
    if (sent >= REQUESTS || clock.now() > endAt) {
      clients.forEach(EmbeddedChannel::finishAndReleaseAll);
      pool.close();
      Log.line("warmed up with " + sent + " requests");
      done.run();
      return;
    }
    for (EmbeddedChannel client : clients) {
      if (client.pipeline().get(ClientHandler.class).idle()) {
        client.releaseOutbound();
        client.writeInbound(Unpooled.copiedBuffer(request(sent++), StandardCharsets.US_ASCII));
      }
    }
    loop.schedule(this::round, 1, TimeUnit.MICROSECONDS);
  }

  private String request(int number) {
    return "GET " + path + " HTTP/1.1\r\nHost: warm-up\r\n" + ClientRequest.ID + ": warm-up-"
        + number
        + "\r\nX-Service-Class: " + path.substring(1) + "\r\nX-Session-Key: "
        + number % SESSION_KEYS
        + (tenants.isEmpty()
            ? ""
            : "\r\nX-Account: " + tenants.get(number % tenants.size()).name())
        + "\r\n" + ClientRequest.TIME_LEFT + ": 1000\r\nX-Weight-Hint: 1000\r\n\r\n";
  }
}
