package pumicekeel.lab.fleet;

import java.util.ArrayList;
import java.util.List;
import pumicekeel.lab.world.Server;
import pumicekeel.lab.world.Traffic.Arrival;

/** One attempt of a client at one balancer: the first, or a retry. */
final class ClientAttempt {

  /** An attempt at an upstream. */
  static final class Attempt {
    final Server server;
    final long sentAt;
    boolean over;

    Attempt(Server server, long sentAt) {
      this.server = server;
      this.sentAt = sentAt;
    }
  }

  final Arrival ask;
  final String id;
  final int number;
  /** When the client first asked, and until when this attempt is waited for. */
  final long askedAt;

  final long deadline;
  final List<Attempt> attempts = new ArrayList<>(1);
  boolean answered;
  boolean served;
  boolean refused;
  /** Where it runs or ran; -1 for nowhere. */
  int cell = -1;

  ClientAttempt(Arrival ask, int number, long askedAt, long deadline) {
    this.ask = ask;
    this.number = number;
    this.askedAt = askedAt;
    this.deadline = deadline;
    id = "q" + ask.number() + (number == 0 ? "" : "r" + number);
  }
}
