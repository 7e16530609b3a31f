package pumicekeel.core;

import pumicekeel.call.ClientRequest.InvalidRequest;
import pumicekeel.call.RequestAttributes;

/**
 * Routes the requests of all fronts: selects the pool by a request's head and returns its handle. Event loop only.
 */
public interface RequestRouter {

  /**
   * Routes a request by its head.
   *
   * @return the handle that carries the request to its final answer
   * @throws InvalidRequest if no pool accepts it; holds the status and the message of the answer
   */
  RequestHandle route(RequestAttributes head) throws InvalidRequest;
}
