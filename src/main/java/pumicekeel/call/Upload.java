package pumicekeel.call;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.ArrayDeque;
import java.util.Queue;

/**
 * A request's body that is too large to be kept: it goes on while it comes. What had come when the request was taken is
 * kept, so that another attempt can begin as long as nothing beyond it has gone out; after that the body is spent. Only
 * on the loop. Holds no more than that, and what the client's socket had delivered before it could be told to wait.
 */
public final class Upload {

  private final long length;
  private final byte[] prefix;
  private final FlowControl clientFlow;
  private final Queue<ByteBuf> chunks = new ArrayDeque<>(2);
  private BodySink sink;
  private boolean isConsumed;
  private boolean complete;
  private boolean discarded;
  private Runnable onComplete = () -> {};

  /** {@code length} is -1 where the client did not say; {@code kept} is what has come; {@code client} sends the rest. */
  public Upload(long length, byte[] kept, FlowControl client) {
    this.length = length;
    this.prefix = kept;
    this.clientFlow = client;
  }

  public long length() {
    return length;
  }

  public boolean isComplete() {
    return complete;
  }

  /** Whether a part of it is gone that no further attempt could send. */
  public boolean isConsumed() {
    return isConsumed;
  }

  /** Run once its last byte has come. */
  public void onComplete(Runnable action) {
    onComplete = action;
  }

  /** The client's side: one more piece, which this owns from now on. */
  public void addChunk(ByteBuf bytes) {
    if (discarded) {
      bytes.release();
    } else if (sink == null) {
      chunks.add(bytes);
    } else {
      isConsumed = true;
      sink.onChunk(bytes);
    }
  }

  /** The client's side: the last byte has come. */
  public void finish() {
    complete = true;
    if (sink != null) {
      sink.onComplete();
    }
    onComplete.run();
  }

  /** An attempt begins: gets all that there is, and what comes. */
  public void attach(BodySink newSink) {
    sink = newSink;
    if (prefix.length > 0) {
      newSink.onChunk(Unpooled.wrappedBuffer(prefix));
    }
    for (ByteBuf next = chunks.poll(); next != null; next = chunks.poll()) {
      isConsumed = true;
      newSink.onChunk(next);
    }
    if (complete) {
      newSink.onComplete();
    }
  }

  /** The attempt has ended. Until another begins the client waits; a body that is spent is read on, for its end. */
  public void detach() {
    sink = null;
    if (discarded) {
      return;
    }
    if (isConsumed) {
      discard();
    } else {
      clientFlow.flow(false);
    }
  }

  /** The sink's side: whether it can take more. */
  public void flow(boolean on) {
    clientFlow.flow(on);
  }

  /** The request has its answer: what still comes of it is of no use. */
  public void discard() {
    discarded = true;
    sink = null;
    for (ByteBuf next = chunks.poll(); next != null; next = chunks.poll()) {
      next.release();
    }
    clientFlow.flow(true);
  }
}
