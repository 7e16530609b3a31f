package pumicekeel.runtime;

import io.netty.channel.IoHandle;
import io.netty.channel.IoHandler;
import io.netty.channel.IoHandlerContext;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.IoOps;
import io.netty.channel.IoRegistration;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.nio.channels.CancelledKeyException;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Guards against interest in events that the kernel never heard of. The JDK's selector drops the result of epoll_ctl: where that fails
 * for want of memory, a channel is deaf for good, and nobody is told. After each turn every interest that changed is set once more by
 * a call whose result is looked at, until it holds. Only on the loop.
 */
final class VerifiedIoHandler implements IoHandler {

  private final IoHandler nio;
  private final JdkSockets jdk;
  private final Set<Verified> registered = new LinkedHashSet<>();
  private final Set<Verified> changed = new LinkedHashSet<>();
  /** The selector whose wake-up is known to be heard; Netty may replace the selector. */
  private Selector wakes;

  private Selector seen;

  private VerifiedIoHandler(IoHandler nio, JdkSockets jdk) {
    this.nio = nio;
    this.jdk = jdk;
  }

  /** The system's sockets, verified where the JDK lets it. */
  static IoHandlerFactory newFactory() {
    IoHandlerFactory plain = NioIoHandler.newFactory();
    JdkSockets jdk = JdkSockets.get();
    return jdk == null ? plain : executor -> new VerifiedIoHandler(plain.newHandler(executor), jdk);
  }

  @Override
  public void initialize() {
    nio.initialize();
  }

  @Override
  public int run(IoHandlerContext context) {
    int handled = nio.run(changed.isEmpty() ? context : new Unblocked(context));
    noteNewSelector();
    if (!changed.isEmpty()) {
      List.copyOf(changed).forEach(this::verify);
    }
    return handled;
  }

  /** While an interest is not verified the kernel may report what nobody waits for: a wait in the selector would spin. */
  private record Unblocked(IoHandlerContext context) implements IoHandlerContext {
    @Override
    public boolean canBlock() {
      return false;
    }

    @Override
    public long delayNanos(long currentTimeNanos) {
      return context.delayNanos(currentTimeNanos);
    }

    @Override
    public long deadlineNanos() {
      return context.deadlineNanos();
    }

    @Override
    public void reportActiveIoTime(long activeNanos) {
      context.reportActiveIoTime(activeNanos);
    }

    @Override
    public boolean shouldReportActiveIoTime() {
      return context.shouldReportActiveIoTime();
    }
  }

  /** Where Netty has replaced the selector, all of its registrations are new. */
  private void noteNewSelector() {
    Iterator<Verified> any = registered.iterator();
    if (any.hasNext()) {
      Verified one = any.next();
      if (!one.isValid()) {
        any.remove();
      } else if (one.<SelectionKey>attachment().selector() != seen) {
        seen = one.<SelectionKey>attachment().selector();
        changed.addAll(registered);
      }
    }
  }

  private void verify(Verified one) {
    try {
      if (!one.isValid()) {
        changed.remove(one);
        registered.remove(one);
      } else if (holds(one.attachment())) {
        changed.remove(one);
      }
    } catch (IOException | CancelledKeyException e) {
      changed.remove(one);
    }
  }

  /** Whether the kernel has this key's interest now. */
  private boolean holds(SelectionKey key) throws IOException {
    int epoll = jdk.epollOf(key.selector());
    if (epoll < 0 || !key.isValid() || !key.channel().isOpen()) {
      return true;
    }
    boolean wakesUp = wakesUp(key.selector(), epoll);
    int events = eventsOf(key.interestOps());
    int number = jdk.numberOf(key.channel());
    if (events == 0) {
      // The selector knows nothing of an interest that was verified before it applied it itself.
      int error = jdk.epollCtl(epoll, JdkSockets.EPOLL_CTL_DEL, number, 0);
      return wakesUp && (error == 0 || error == JdkSockets.ENOENT);
    }
    int error = jdk.epollCtl(epoll, JdkSockets.EPOLL_CTL_MOD, number, events);
    if (error == JdkSockets.ENOENT) {
      error = jdk.epollCtl(epoll, JdkSockets.EPOLL_CTL_ADD, number, events);
    }
    return wakesUp && error == 0;
  }

  private boolean wakesUp(Selector selector, int epoll) throws IOException {
    if (wakes != selector) {
      int error =
          jdk.epollCtl(epoll, JdkSockets.EPOLL_CTL_ADD, jdk.wakeUpOf(selector), JdkSockets.EPOLLIN);
      if (error == 0 || error == JdkSockets.EEXIST) {
        wakes = selector;
      }
    }
    return wakes == selector;
  }

  private static int eventsOf(int interest) {
    int events = 0;
    if ((interest & (SelectionKey.OP_READ | SelectionKey.OP_ACCEPT)) != 0) {
      events |= JdkSockets.EPOLLIN;
    }
    if ((interest & (SelectionKey.OP_WRITE | SelectionKey.OP_CONNECT)) != 0) {
      events |= JdkSockets.EPOLLOUT;
    }
    return events;
  }

  @Override
  public void prepareToDestroy() {
    nio.prepareToDestroy();
  }

  @Override
  public void destroy() {
    nio.destroy();
  }

  @Override
  public IoRegistration register(IoHandle handle) throws Exception {
    Verified next = new Verified(nio.register(handle));
    registered.add(next);
    return next;
  }

  @Override
  public void wakeup() {
    nio.wakeup();
  }

  @Override
  public boolean isCompatible(Class<? extends IoHandle> handleType) {
    return nio.isCompatible(handleType);
  }

  /** A registration whose changes of interest are verified. */
  private final class Verified implements IoRegistration {
    private final IoRegistration registration;

    private Verified(IoRegistration registration) {
      this.registration = registration;
    }

    @Override
    public <T> T attachment() {
      return registration.attachment();
    }

    @Override
    public long submit(IoOps ops) {
      changed.add(this);
      return registration.submit(ops);
    }

    @Override
    public boolean isValid() {
      return registration.isValid();
    }

    @Override
    public boolean cancel() {
      changed.remove(this);
      registered.remove(this);
      return registration.cancel();
    }
  }
}
