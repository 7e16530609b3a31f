package pumicekeel.lab.fleet;

import java.util.ArrayList;
import java.util.List;
import pumicekeel.lab.world.Server;
import pumicekeel.lab.world.Traffic.Arrival;

/** One try of a client at one balancer: the first, or a retry. The balancer may make several attempts for it. */
final class ClientTry {

  /** An attempt at an upstream. */
  static final class Attempt {
    final Server server;
    final long sentAt;
    boolean ended;

    Attempt(Server server, long sentAt) {
      this.server = server;
      this.sentAt = sentAt;
    }
  }

  final Arrival arrival;
  final String id;
  /** Number of the retry; 0 for the first try. */
  final int number;

  /** When the client sent its first try. */
  final long firstSentAt;

  final long deadline;
  final List<Attempt> attempts = new ArrayList<>(1);
  boolean answered;
  boolean served;
  boolean refused;
  /** The cell in which it runs or has run; -1 for none. */
  int cell = -1;

  ClientTry(Arrival arrival, int number, long firstSentAt, long deadline) {
    this.arrival = arrival;
    this.number = number;
    this.firstSentAt = firstSentAt;
    this.deadline = deadline;
    id = "q" + arrival.number() + (number == 0 ? "" : "r" + number);
  }
}
