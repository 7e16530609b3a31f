/**
 * The messages between a front end, the request table and the upstream connections: request,
 * answer, the streamed pieces of both, and the request attributes that routes match on.
 *
 * <p>Threads: Immutable values may be shared; the callbacks ({@code Client}, {@code BodySink},
 * {@code FlowControl}) are called on the event loop only.
 *
 * <p>May depend on: {@code pumicekeel} and Netty buffers.
 */
package pumicekeel.call;
