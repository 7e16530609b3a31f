package pumicekeel.node;

import pumicekeel.config.Configuration;
import pumicekeel.core.RequestRouter;
import pumicekeel.discovery.UpstreamSource;

/** The pools that serve a node's requests: the platform's single pool, or the pools of an operator file. */
interface NodePools {

  /** Returns the router to which all listeners pass their requests. */
  RequestRouter router();

  /** Starts following the upstream lists. Event loop only. */
  void start();

  /** Checks whether another configuration's settings fit; throws IllegalArgumentException if not. Any thread. */
  void check(Configuration next);

  /** Returns the platform's discovery list, once started; null if no pool uses it. Event loop only. */
  UpstreamSource platformSource();

  /** Applies what the platform's configuration may change at run time: discovery and settings. Event loop only. */
  void reload(Configuration next);

  /** Limits the time left of all open requests, so that they are answered before the process ends. Event loop only. */
  void limitDeadlines(long nanos);

  /** Answers all open requests at once, before an immediate end of the process. Event loop only. */
  void answerAll();
}
