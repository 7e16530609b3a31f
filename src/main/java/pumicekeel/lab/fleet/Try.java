package pumicekeel.lab.fleet;

import java.util.ArrayList;
import java.util.List;
import pumicekeel.lab.world.Server;
import pumicekeel.lab.world.Traffic.Ask;

/** One try of a client at one balancer: what the fleet's books hold of it. */
final class Try {

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

  final Ask ask;
  final String id;
  final int number;
  /** When the client first asked, and until when this try is waited for. */
  final long askedAt;

  final long deadline;
  final List<Attempt> attempts = new ArrayList<>(1);
  boolean answered;
  boolean served;
  boolean refused;
  /** Where it runs or ran; -1 for nowhere. */
  int cell = -1;

  Try(Ask ask, int number, long askedAt, long deadline) {
    this.ask = ask;
    this.number = number;
    this.askedAt = askedAt;
    this.deadline = deadline;
    id = "q" + ask.number() + (number == 0 ? "" : "r" + number);
  }
}
