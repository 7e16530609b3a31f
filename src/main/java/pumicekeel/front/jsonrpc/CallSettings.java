package pumicekeel.front.jsonrpc;

import java.util.Map;
import pumicekeel.jsonrpc.Framing;
import pumicekeel.jsonrpc.Limits;

/**
 * Settings of a JSON-RPC listener.
 *
 * @param maxOpen the maximum number of open calls on a connection, at which reading pauses. A batch is accepted as a whole,
 *     so the calls of one batch may exceed it
 * @param idleNanos the idle time after which a connection without calls is closed
 * @param methods the mappings by method name
 */
public record CallSettings(
    Framing framing,
    BatchMode batch,
    Limits limits,
    int maxOpen,
    long idleNanos,
    Map<String, MethodMapping> methods) {}
