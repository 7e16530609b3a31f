package pumicekeel.lab.program;

import java.net.InetSocketAddress;
import pumicekeel.config.OperatorConfiguration;
import pumicekeel.config.OperatorReader;

/** The operator file of a run: two pools over one list and a JSON-RPC listener, with other routes in each generation. */
final class OperatorFiles {

  private static final String COMMON_PART = """
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

  /** Returns the operator file of a generation; the JSON-RPC listener keeps its address in all generations. */
  static OperatorConfiguration generation(int number, InetSocketAddress listener) {
    OperatorReader.Result result = OperatorReader.read(
        COMMON_PART.formatted(listener.getPort()) + ROUTES[number % ROUTES.length]);
    if (result.operator() == null) {
      throw new IllegalStateException(result.faults().toString());
    }
    return result.operator();
  }
}
