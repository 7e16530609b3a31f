package pumicekeel.node;

import java.util.function.Consumer;
import pumicekeel.AdaptiveBalancer;
import pumicekeel.config.Configuration;
import pumicekeel.core.BalancerCore;
import pumicekeel.core.RequestRouter;
import pumicekeel.core.SinglePoolRouter;
import pumicekeel.discovery.Discovery;
import pumicekeel.discovery.HostList;
import pumicekeel.discovery.WatchTerms;
import pumicekeel.runtime.LoopLag;
import pumicekeel.runtime.Reactor;
import pumicekeel.upstream.http.ConnectionPool;

/** A node without an operator file: one module, one list, one pool of connections. */
final class OnePool implements Serving {

  private final Configuration configuration;
  private final ConnectionPool connections;
  private final BalancerCore core;
  private final Discovery discovery;
  private final RequestRouter router;

  OnePool(Configuration configuration, Reactor on, LoopLag lag, Consumer<RuntimeException> defect) {
    this.configuration = configuration;
    var settings = configuration.settings();
    connections = new ConnectionPool(
        on,
        settings.limits().connectTimeoutNanos(),
        settings.limits().connectionIdleNanos(),
        Rooms.upstreamSockets(configuration));
    core = new BalancerCore(
        settings,
        new AdaptiveBalancer(settings, configuration.seed()),
        on,
        lag,
        connections,
        defect);
    discovery = new Discovery(
        on,
        configuration.discovery(),
        configuration.known().index(),
        WatchTerms.of(settings),
        core::news,
        core::watchFailed);
    router = new SinglePoolRouter(core);
  }

  @Override
  public RequestRouter router() {
    return router;
  }

  @Override
  public void start() {
    core.start(configuration.known(), discovery::watch);
    discovery.start();
  }

  /** One pool takes whatever settings are good in themselves. */
  @Override
  public void check(Configuration next) {
    // Nothing to add.
  }

  @Override
  public void reload(Configuration next) {
    if (discovery.moveTo(next.discovery())) {
      core.news(HostList.unchanged(Discovery.NO_INDEX));
    }
    discovery.retune(WatchTerms.of(next.settings()), true);
    connections.tune(
        next.settings().limits().connectTimeoutNanos(),
        next.settings().limits().connectionIdleNanos());
    core.retune(next.settings());
  }

  @Override
  public void endBy(long nanos) {
    core.endBy(nanos);
  }

  @Override
  public void answerAll() {
    core.answerAll();
  }
}
