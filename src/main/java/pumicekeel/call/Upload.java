package pumicekeel.call;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import java.util.ArrayDeque;
import java.util.Queue;

/**
 * A request's body that is too large to be buffered and is streamed. The prefix received before the submission is
 * kept, so that another attempt can start as long as nothing beyond it was sent; after that the body is consumed.
 * Holds only that prefix and what the client's socket delivered before it could be paused. Event loop only.
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
  private UploadProgress progress;

  /**
   * {@code length} is -1 if the client did not declare it; {@code prefix} is what was received so far; {@code clientFlow}
   * pauses and resumes the client.
   */
  public Upload(long length, byte[] prefix, FlowControl clientFlow) {
    this.length = length;
    this.prefix = prefix;
    this.clientFlow = clientFlow;
  }

  public long length() {
    return length;
  }

  public boolean isComplete() {
    return complete;
  }

  /** Returns how long ago the client may have written its last byte; 0 if it cannot have done so yet. */
  public long waitedNanos(long now) {
    return progress == null ? 0 : progress.waitedNanos(now);
  }

  /** Describes for the log how much was received, and since when its client may be waiting. */
  public String describe(long now) {
    return progress == null ? "no progress known" : progress.describe(now);
  }

  /** Returns whether a part was sent that no further attempt could send again. */
  public boolean isConsumed() {
    return isConsumed;
  }

  /** Sets the action to run when the last byte has been received. */
  public void onComplete(Runnable action) {
    onComplete = action;
  }

  /** Called by the client's side with a further chunk, which this upload owns from now on. */
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

  /** Sets what tells when the last byte may have been written; called by the client's side before the submission. */
  public void setProgress(UploadProgress uploadProgress) {
    progress = uploadProgress;
  }

  /** Called by the client's side after the last byte. */
  public void finish() {
    complete = true;
    if (sink != null) {
      sink.onComplete();
    }
    onComplete.run();
  }

  /** Starts an attempt, which gets everything received so far and what follows. */
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

  /** Ends the attempt. The client is paused until another starts; a consumed body is read on, to reach its end. */
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

  /** Called by the sink's side to pause or resume the client. */
  public void flow(boolean on) {
    clientFlow.flow(on);
  }

  /** Discards the rest of the body: the request has been answered. */
  public void discard() {
    discarded = true;
    sink = null;
    for (ByteBuf next = chunks.poll(); next != null; next = chunks.poll()) {
      next.release();
    }
    clientFlow.flow(true);
  }
}
