package pumicekeel.operation;

import java.util.function.Supplier;

/** The operators' calls: one line each, answered with one line that begins with YES or NO. No I/O; event loop only. */
public final class OperatorCalls {

  private final Rotation rotation;
  private final Runnable onChange;

  private final Supplier<String> peers;
  private final Supplier<String> guard;
  private final Supplier<String> list;

  /**
   * Creates the calls of one instance.
   *
   * @param onChange run after a call that may have changed whether clients are accepted
   * @param peers this instance's view of its fleet; null without peers
   * @param guard the counters of the serving guard
   * @param list how current the list of upstreams is; null where no list is followed
   */
  public OperatorCalls(
      Rotation rotation,
      Runnable onChange,
      Supplier<String> peers,
      Supplier<String> guard,
      Supplier<String> list) {
    this.list = list;
    this.guard = guard;
    this.rotation = rotation;
    this.onChange = onChange;
    this.peers = peers;
  }

  /** Returns the reply to a line, given without its line terminator. */
  public String answer(String line, long now) {
    return switch (line.strip()) {
      case "readyz" -> rotation.acceptsClients() ? "YES takes clients" : "NO " + rotation.reason();
      case "evacuate" -> {
        rotation.evacuate(now);
        onChange.run();
        yield "YES sends clients away";
      }
      case "activate" -> {
        boolean accepted = rotation.activate();
        onChange.run();
        yield accepted ? "YES takes clients again" : "NO " + rotation.reason();
      }
      case "peers" -> {
        String view = peers.get();
        yield view == null ? "NO peers: the operator file has none" : "YES " + view;
      }
      case "guard" -> "YES " + guard.get();
      case "list" -> {
        String currency = list.get();
        yield currency == null ? "NO list: none is followed" : "YES " + currency;
      }
      default -> "NO unknown call: expected readyz, evacuate, activate, peers, guard or list";
    };
  }
}
