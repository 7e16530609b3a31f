package pumicekeel.delivery.control;

import io.netty.channel.Channel;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import pumicekeel.delivery.ConfigurationRequest;
import pumicekeel.delivery.Reply;

/** Calls that are held until there is a newer version or their time is up. Bounded; only on the loop. */
final class WaitingCalls {

  /** Far above any known fleet; each costs a connection. */
  static final int MAX_CALLS = 2_000;
  /** A caller that wants to wait longer has to call again. */
  private static final long MAX_WAIT_MILLIS = 30_000;

  private record Waiting(ConfigurationRequest request, ScheduledFuture<?> end) {}

  private final Map<Channel, Waiting> calls = new LinkedHashMap<>();
  private final BiConsumer<Channel, Reply> answer;

  WaitingCalls(BiConsumer<Channel, Reply> answer) {
    this.answer = answer;
  }

  boolean isFull() {
    return calls.size() >= MAX_CALLS;
  }

  void add(Channel channel, ConfigurationRequest request) {
    long wait = Math.max(0, Math.min(MAX_WAIT_MILLIS, request.waitMillis()));
    ScheduledFuture<?> end =
        channel.eventLoop().schedule(() -> expire(channel), wait, TimeUnit.MILLISECONDS);
    calls.put(channel, new Waiting(request, end));
    channel.closeFuture().addListener(closed -> remove(channel));
  }

  private void expire(Channel channel) {
    if (remove(channel) != null) {
      answer.accept(channel, new Reply.Unchanged());
    }
  }

  private Waiting remove(Channel channel) {
    Waiting waiting = calls.remove(channel);
    if (waiting != null) {
      waiting.end().cancel(false);
    }
    return waiting;
  }

  /** Ends all waits: each call is to be answered anew. */
  void release(BiConsumer<Channel, ConfigurationRequest> handler) {
    List<Channel> channels = new ArrayList<>(calls.keySet());
    for (Channel channel : channels) {
      Waiting call = remove(channel);
      if (call != null) {
        handler.accept(channel, call.request());
      }
    }
  }
}
