package pumicekeel.lab.program;

import java.net.InetSocketAddress;
import pumicekeel.config.OperatorConfiguration;
import pumicekeel.config.OperatorReader;

/** The operator file of a run, generation by generation: two pools over one list, a JSON-RPC listener, and another part of it each time. */
final class OperatorFiles {

  private static final String ALWAYS = """
      [listeners.partner]
      address = "127.0.0.1:%d"
      protocol = "json-rpc"
      json-rpc = { framing = "newline" }

      [[methods]]
      name = "look"
      class = "look"
      time-left-ms = { pointer = "/left" }

      [[methods]]
      name = "quote"
      class = "quote"
      idempotency-key = { pointer = "/n" }
      time-left-ms = { pointer = "/left" }

      [[methods]]
      name = "order"
      class = "order"
      time-left-ms = { pointer = "/left" }

      [pools.reads]
      [pools.writes]
      """;
  private static final String[] ROUTES = {
    "[[routes]]\npath-prefix = \"/look\"\npool = \"reads\"\n[[routes]]\npool = \"writes\"\n",
    "[[routes]]\npool = \"writes\"\n",
    "[pools.third]\n[[routes]]\npath-prefix = \"/order\"\npool = \"third\"\n[[routes]]\npool = \"reads\"\n"
  };

  private OperatorFiles() {}

  /** The file of a generation; the listener's port stays. */
  static OperatorConfiguration generation(int number, InetSocketAddress listener) {
    OperatorReader.Result read =
        OperatorReader.read(ALWAYS.formatted(listener.getPort()) + ROUTES[number % ROUTES.length]);
    if (read.operator() == null) {
      throw new IllegalStateException(read.faults().toString());
    }
    return read.operator();
  }
}
