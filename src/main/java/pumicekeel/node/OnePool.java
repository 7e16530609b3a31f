package pumicekeel.node;

import java.util.function.Consumer;
import pumicekeel.AdaptiveBalancer;
import pumicekeel.config.Configuration;
import pumicekeel.core.BalancerCore;
import pumicekeel.core.RequestRouter;
import pumicekeel.core.SinglePoolRouter;
import pumicekeel.discovery.HostList;
import pumicekeel.discovery.UpstreamSource;
import pumicekeel.discovery.WatchTerms;
import pumicekeel.runtime.LoopLag;
import pumicekeel.runtime.Reactor;
import pumicekeel.upstream.http.ConnectionPool;

/** A node without an operator file: one module, one list, one pool of connections. */
final class OnePool implements Serving, UpstreamSource.Follower {

  private final ConnectionPool connections;
  private final BalancerCore core;
  private final UpstreamSource source;
  private final RequestRouter router;

  OnePool(Configuration configuration, Reactor on, LoopLag lag, Consumer<RuntimeException> defect) {
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
    source = UpstreamSource.watched(
        on,
        configuration.discovery(),
        configuration.known(),
        WatchTerms.of(settings),
        settings.contract().drainGraceNanos(),
        configuration.seed() ^ configuration.name().hashCode());
    core.setListCurrency(source.currency());
    router = new SinglePoolRouter(core);
  }

  @Override
  public RequestRouter router() {
    return router;
  }

  @Override
  public void start() {
    core.start(source.follow(this), on -> source.watch(this, on));
  }

  @Override
  public void news(HostList list) {
    core.updateList(list);
  }

  @Override
  public UpstreamSource platformSource() {
    return source;
  }

  /** One pool takes whatever settings are good in themselves. */
  @Override
  public void check(Configuration next) {
    // Nothing to add.
  }

  @Override
  public void reload(Configuration next) {
    source.moveTo(next.discovery());
    source.retune(WatchTerms.of(next.settings()), next.settings().contract().drainGraceNanos());
    connections.tune(
        next.settings().limits().connectTimeoutNanos(),
        next.settings().limits().connectionIdleNanos());
    core.applySettings(next.settings());
  }

  @Override
  public void endBy(long nanos) {
    core.limitDeadlines(nanos);
  }

  @Override
  public void answerAll() {
    core.answerAll();
  }
}
