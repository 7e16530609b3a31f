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

/** Puts the attempts of keyed and unsafe requests on record, and knows which of them may have run. Only on the loop. */
final class JournalLog {

  /** No advice longer than this for a disk that fails: it is tried again sooner. */
  private static final long LEAST_RETRY_NANOS = 10_000_000L;

  private final EventLoop loop;
  private final Clock clock;
  private final JournalWriter writer;
  private final KeyMemory memory;
  private final long maxWaitNanos;
  private final ArrayDeque<Once> waiting = new ArrayDeque<>();

  JournalLog(
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

  /** How long a request is to stay away while the disk fails; 0 where it may be taken. */
  long refusesFor() {
    long trouble = writer.refusesInTrouble() ? writer.troubleFor() : 0;
    return trouble == 0 ? 0 : Math.max(LEAST_RETRY_NANOS, trouble);
  }

  private static String nameOf(ClientRequest request) {
    return KeyMemory.nameOf(request.type().effect(), request.id(), request.idempotencyKey());
  }

  List<PriorAttempt> earlier(ClientRequest request) {
    return memory.earlier(nameOf(request), request.id(), clock.now());
  }

  /** Either runs {@code go} with the intent on record, or {@code never} after a bounded while. */
  void before(
      ClientRequest request,
      String home,
      int attempt,
      HostList.Host upstream,
      Runnable go,
      Runnable never) {
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
    Once once = new Once(
        () -> {
          long now = clock.now();
          memory.mayRun(
              nameOf(request),
              home,
              request.id(),
              attempt,
              new PriorAttempt(upstream.listed().zone(), upstream.listed().cell(), now),
              type.dedupWindowNanos(),
              now);
          go.run();
        },
        never);
    if (!writer.intent(intent, once::told)) {
      once.told(false);
      return;
    }
    waiting.add(once);
    if (waiting.size() == 1) {
      loop.schedule(this::look, maxWaitNanos, TimeUnit.NANOSECONDS);
    }
  }

  /** All wait equally long, so the first that is in line is the first that is late: one timer does for all. */
  private void look() {
    long now = System.nanoTime();
    while (!waiting.isEmpty()
        && (waiting.peek().done || now - waiting.peek().since >= maxWaitNanos)) {
      waiting.poll().late();
    }
    if (!waiting.isEmpty()) {
      loop.schedule(
          this::look, Math.max(1, waiting.peek().since + maxWaitNanos - now), TimeUnit.NANOSECONDS);
    }
  }

  /** Exactly one of two, once: the disk's word, or the end of the wait for it. */
  private final class Once {
    private final Runnable go;
    private final Runnable never;
    private final long since = System.nanoTime();
    private boolean done;

    private Once(Runnable go, Runnable never) {
      this.go = go;
      this.never = never;
    }

    private void told(boolean onRecord) {
      if (!done) {
        done = true;
        // Without a record it is sent only where the operator wants that; the writer tells of the
        // gap.
        (onRecord || !writer.refusesInTrouble() ? go : never).run();
      }
    }

    private void late() {
      if (!done) {
        Log.caused("journal: no word of the disk in time: " + writer.trouble());
        told(false);
      }
    }
  }

  void written(ClientRequest request, int attempt) {
    writer.note(new Entry.Written(request.id(), attempt, System.nanoTime()));
  }

  void ended(ClientRequest request, int attempt, Status status) {
    if (status.provesNotRun()) {
      memory.neverRan(nameOf(request), request.id(), attempt);
    }
    writer.note(new Entry.Ended(request.id(), attempt, status, System.currentTimeMillis()));
  }

  void answered(ClientRequest request, Entry.Told told) {
    writer.note(new Entry.Answered(request.id(), told, System.currentTimeMillis()));
  }
}
