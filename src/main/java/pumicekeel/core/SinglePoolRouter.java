package pumicekeel.core;

import pumicekeel.Balancer.Settings;
import pumicekeel.call.Client;
import pumicekeel.call.ClientRequest;
import pumicekeel.call.RequestAttributes;

/**
 * The router of a balancer with one pool and no operator file: every request goes to that pool, and no memory is
 * reserved.
 */
public final class SinglePoolRouter implements RequestRouter, RequestHandle {

  private final BalancerCore core;

  public SinglePoolRouter(BalancerCore core) {
    this.core = core;
  }

  @Override
  public RequestHandle route(RequestAttributes head) {
    return this;
  }

  @Override
  public Settings settings() {
    return core.settings();
  }

  @Override
  public Settings previousSettings() {
    return core.previousSettings();
  }

  @Override
  public boolean reserveBody(int bytes) {
    return true;
  }

  @Override
  public boolean submit(ClientRequest request, Client client) {
    return core.submit(request, client);
  }

  @Override
  public void clientDisconnected(String id) {
    core.clientDisconnected(id);
  }

  @Override
  public void timeUp(String id) {
    core.timeUp(id);
  }

  @Override
  public void release() {
    // Nothing was reserved.
  }
}
