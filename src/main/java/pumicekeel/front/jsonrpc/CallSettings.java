package pumicekeel.front.jsonrpc;

import java.util.Map;
import pumicekeel.jsonrpc.Framing;
import pumicekeel.jsonrpc.Limits;

/**
 * Settings of a JSON-RPC listener.
 *
 * @param maxOpen calls of one connection that are open at once; beyond it nothing more is read. A batch is taken whole, so
 *     it may be exceeded by the calls of one
 * @param idleNanos a connection on which nothing is asked for so long is closed
 * @param methods by their names
 */
public record CallSettings(
    Framing framing,
    BatchMode batch,
    Limits limits,
    int maxOpen,
    long idleNanos,
    Map<String, MethodMapping> methods) {}
