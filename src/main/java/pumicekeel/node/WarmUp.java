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
import pumicekeel.Balancer.Listed;
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
 * Guards the first clients from a cold JVM: before the balancer says that it is up, made-up requests run through all
 * of its code, with a module and a pool of their own, to a path of the balancer's own that nobody else knows.
 */
public final class WarmUp {

  private static final int REQUESTS = 300;
  private static final int AT_ONCE = 8;
  private static final int UPSTREAMS = 3;
  private static final int KEYS = 50;
  /** A restarted balancer is missed while it warms up, and half a core is all that it may have. */
  private static final long LONGEST_NANOS = 1_200_000_000L;

  private static final long SECOND = 1_000_000_000L;

  private final EventLoop loop;
  private final String path;
  private final Clock clock;
  private final ConnectionPool pool;
  private final BalancerCore core;
  private final HttpFront side;
  private final Runnable done;
  private final long endAt;
  private final List<Tenant> tenants;
  private final List<EmbeddedChannel> clients = new ArrayList<>();
  private int sent;

  /** Runs on the loop and calls {@code done} there, after so many requests or so long. */
  public static void run(
      Reactor on,
      LoopLag lag,
      InetSocketAddress self,
      String path,
      Settings settings,
      Runnable done) {
    new WarmUp(on, lag, path, settings, done).start(self);
  }

  /** A path that no client can guess: only this process's warm-up is answered without having asked for a class. */
  public static String newPath() {
    return "/" + UUID.randomUUID();
  }

  private WarmUp(Reactor on, LoopLag lag, String path, Settings real, Runnable done) {
    loop = on.loop();
    clock = on.clock();
    endAt = clock.now() + LONGEST_NANOS;
    this.path = path;
    this.done = done;
    RequestClass type = new RequestClass(
        path.substring(1), Effect.SAFE, DedupScope.ALL, SECOND, SECOND, 0, 2 * SECOND, 1, 0, false);
    Settings settings = new Settings(
        0,
        1,
        real.zone(),
        List.of(type),
        real.tenants(),
        real.limits(),
        real.contract(),
        real.prices(),
        false,
        real.weightKind(),
        real.overShareWorth(),
        real.warmKeys(),
        real.tickNanos());
    pool = new ConnectionPool(on, SECOND, SECOND, AT_ONCE);
    core = new BalancerCore(
        settings,
        new AdaptiveBalancer(settings, 0),
        on,
        lag,
        pool,
        e -> Log.line("defect of the module while warming up: " + e));
    side = new HttpFront(on, lag, "warm-up", new SinglePoolRouter(core), AT_ONCE, null);
    tenants = real.tenants();
  }

  private void start(InetSocketAddress self) {
    List<HostList.Host> hosts = new ArrayList<>();
    for (int i = 0; i < UPSTREAMS; i++) {
      hosts.add(new HostList.Host(self, new Listed(i, "", 0, State.READY, 0, 1)));
    }
    core.start(new HostList(0, true, hosts), on -> {});
    for (int i = 0; i < AT_ONCE; i++) {
      ClientHandler handler = new ClientHandler(side);
      clients.add(new EmbeddedChannel(
          new RequestDecoder(handler::accepts), new HttpResponseEncoder(), handler));
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
        + "\r\nX-Service-Class: " + path.substring(1) + "\r\nX-Session-Key: " + number % KEYS
        + (tenants.isEmpty()
            ? ""
            : "\r\nX-Account: " + tenants.get(number % tenants.size()).name())
        + "\r\n" + ClientRequest.TIME_LEFT + ": 1000\r\nX-Weight-Hint: 1000\r\n\r\n";
  }
}
