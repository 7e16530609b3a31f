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

/** The pool of a node without an operator file: one module, one list, one connection pool. */
final class SinglePool implements NodePools, UpstreamSource.Observer {

  private final ConnectionPool connections;
  private final BalancerCore core;
  private final UpstreamSource source;
  private final RequestRouter router;

  SinglePool(
      Configuration configuration,
      Reactor reactor,
      LoopLag lag,
      Consumer<RuntimeException> defect) {
    var settings = configuration.settings();
    connections = new ConnectionPool(
        reactor,
        settings.limits().connectTimeoutNanos(),
        settings.limits().connectionIdleNanos(),
        ProcessCapacity.upstreamSockets(configuration));
    core = new BalancerCore(
        settings,
        new AdaptiveBalancer(settings, configuration.seed()),
        reactor,
        lag,
        connections,
        defect);
    source = UpstreamSource.watched(
        reactor,
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
    core.start(source.addObserver(this), active -> source.watch(this, active));
  }

  @Override
  public void listChanged(HostList list) {
    core.updateList(list);
  }

  @Override
  public UpstreamSource platformSource() {
    return source;
  }

  /** A single pool accepts any settings that are valid in themselves. */
  @Override
  public void check(Configuration next) {
    // Nothing to add.
  }

  @Override
  public void reload(Configuration next) {
    source.moveTo(next.discovery());
    source.reconfigure(
        WatchTerms.of(next.settings()), next.settings().contract().drainGraceNanos());
    connections.setTimeouts(
        next.settings().limits().connectTimeoutNanos(),
        next.settings().limits().connectionIdleNanos());
    core.applySettings(next.settings());
  }

  @Override
  public void limitDeadlines(long nanos) {
    core.limitDeadlines(nanos);
  }

  @Override
  public void answerAll() {
    core.answerAll();
  }
}
