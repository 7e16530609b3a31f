package pumicekeel.node;

import io.netty.channel.EventLoop;
import java.util.ArrayDeque;
import java.util.List;
import java.util.concurrent.TimeUnit;
import pumicekeel.Balancer.PriorAttempt;
import pumicekeel.Balancer.RequestClass;
import pumicekeel.Balancer.Status;
import pumicekeel.call.ClientRequest;
import pumicekeel.discovery.HostList;
import pumicekeel.journal.Entry;
import pumicekeel.journal.JournalWriter;
import pumicekeel.journal.KeyMemory;
import pumicekeel.runtime.Addresses;
import pumicekeel.runtime.Clock;
import pumicekeel.runtime.Log;

/** Journals the attempts of keyed and unsafe requests and tracks which of them may have run. Event loop only. */
final class AttemptJournal {

  /** Minimum Retry-After while the disk fails. */
  private static final long MIN_RETRY_AFTER_NANOS = 10_000_000L;

  private final EventLoop loop;
  private final Clock clock;
  private final JournalWriter writer;
  private final KeyMemory memory;
  private final long maxWaitNanos;
  private final ArrayDeque<PendingIntent> waiting = new ArrayDeque<>();

  AttemptJournal(
      EventLoop loop, Clock clock, JournalWriter writer, KeyMemory memory, long maxWaitNanos) {
    this.loop = loop;
    this.clock = clock;
    this.writer = writer;
    this.memory = memory;
    this.maxWaitNanos = maxWaitNanos;
  }

  KeyMemory memory() {
    return memory;
  }

  /** Returns the Retry-After while the disk fails; 0 if requests may be admitted. */
  long retryAfterNanos() {
    long retryDelay = writer.refusesInTrouble() ? writer.retryDelayNanos() : 0;
    return retryDelay == 0 ? 0 : Math.max(MIN_RETRY_AFTER_NANOS, retryDelay);
  }

  private static String nameOf(ClientRequest request) {
    return KeyMemory.entryName(request.type().effect(), request.id(), request.idempotencyKey());
  }

  List<PriorAttempt> earlier(ClientRequest request) {
    return memory.earlierAttempts(nameOf(request), request.id(), clock.now());
  }

  /** Runs {@code proceed} once the intent is on disk, or {@code cancel} if that takes longer than the maximum wait. */
  void before(
      ClientRequest request,
      String home,
      int attempt,
      HostList.Host upstream,
      Runnable proceed,
      Runnable cancel) {
    RequestClass type = request.type();
    Entry.Intent intent = new Entry.Intent(
        request.id(),
        request.idempotencyKey(),
        type.name(),
        type.effect(),
        type.dedupScope(),
        type.dedupWindowNanos(),
        request.tenant(),
        home,
        attempt,
        upstream.name(),
        Addresses.text(upstream.address()),
        upstream.listed().zone(),
        upstream.listed().cell(),
        System.currentTimeMillis(),
        System.nanoTime());
    PendingIntent pending = new PendingIntent(
        () -> {
          long now = clock.now();
          memory.recordAttempt(
              nameOf(request),
              home,
              request.id(),
              attempt,
              new PriorAttempt(upstream.listed().zone(), upstream.listed().cell(), now),
              type.dedupWindowNanos(),
              now);
          proceed.run();
        },
        cancel);
    if (!writer.appendIntent(intent, pending::complete)) {
      pending.complete(false);
      return;
    }
    waiting.add(pending);
    if (waiting.size() == 1) {
      loop.schedule(this::expireWaiting, maxWaitNanos, TimeUnit.NANOSECONDS);
    }
  }

  /** All intents have the same maximum wait, so the head of the queue expires first and one timer is enough. */
  private void expireWaiting() {
    long now = System.nanoTime();
    while (!waiting.isEmpty()
        && (waiting.peek().done || now - waiting.peek().startedAt >= maxWaitNanos)) {
      waiting.poll().expire();
    }
    if (!waiting.isEmpty()) {
      loop.schedule(
          this::expireWaiting,
          Math.max(1, waiting.peek().startedAt + maxWaitNanos - now),
          TimeUnit.NANOSECONDS);
    }
  }

  /** An intent that is being written: completed exactly once, by the disk's result or by the time-out. */
  private final class PendingIntent {
    private final Runnable proceed;
    private final Runnable cancel;
    private final long startedAt = System.nanoTime();
    private boolean done;

    private PendingIntent(Runnable proceed, Runnable cancel) {
      this.proceed = proceed;
      this.cancel = cancel;
    }

    private void complete(boolean recorded) {
      if (!done) {
        done = true;
        // Without a record the attempt is sent only if the operator file allows it; the writer
        // reports the gap.
        (recorded || !writer.refusesInTrouble() ? proceed : cancel).run();
      }
    }

    private void expire() {
      if (!done) {
        Log.rateLimited(
            "journal: the disk did not confirm a write in time: " + writer.failureReason());
        complete(false);
      }
    }
  }

  void written(ClientRequest request, int attempt) {
    writer.append(new Entry.Written(request.id(), attempt, System.nanoTime()));
  }

  void ended(ClientRequest request, int attempt, Status status) {
    if (status.provesNotRun()) {
      memory.removeAttempt(nameOf(request), request.id(), attempt);
    }
    writer.append(new Entry.Ended(request.id(), attempt, status, System.currentTimeMillis()));
  }

  void answered(ClientRequest request, Entry.Told outcome) {
    writer.append(new Entry.Answered(request.id(), outcome, System.currentTimeMillis()));
  }
}
