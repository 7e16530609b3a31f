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
 * Ensures that the kernel knows all interest in events. The JDK's selector ignores the result of epoll_ctl: if that
 * fails for lack of memory, a channel silently receives no events any more. After each loop iteration, every
 * changed interest is set once more by a call whose result is checked, until it succeeds. Event loop only.
 */
final class VerifiedIoHandler implements IoHandler {

  private final IoHandler nio;
  private final JdkSockets jdk;
  private final Set<VerifiedRegistration> registered = new LinkedHashSet<>();
  private final Set<VerifiedRegistration> changed = new LinkedHashSet<>();
  /** The selector whose wake-up descriptor is known to be registered; Netty may replace the selector. */
  private Selector wakeUpVerified;

  private Selector lastSelector;

  private VerifiedIoHandler(IoHandler nio, JdkSockets jdk) {
    this.nio = nio;
    this.jdk = jdk;
  }

  /** Returns a factory for the system's sockets, verified if the JDK allows it. */
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
    int handled = nio.run(changed.isEmpty() ? context : new NonBlockingContext(context));
    reverifyOnNewSelector();
    if (!changed.isEmpty()) {
      List.copyOf(changed).forEach(this::verify);
    }
    return handled;
  }

  /**
   * Does not block while an interest is not verified: the kernel may report events that no handler waits for, and a
   * blocking select would spin.
   */
  private record NonBlockingContext(IoHandlerContext context) implements IoHandlerContext {
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

  /** Verifies all registrations anew if Netty has replaced the selector. */
  private void reverifyOnNewSelector() {
    Iterator<VerifiedRegistration> any = registered.iterator();
    if (any.hasNext()) {
      VerifiedRegistration one = any.next();
      if (!one.isValid()) {
        any.remove();
      } else if (one.<SelectionKey>attachment().selector() != lastSelector) {
        lastSelector = one.<SelectionKey>attachment().selector();
        changed.addAll(registered);
      }
    }
  }

  private void verify(VerifiedRegistration one) {
    try {
      if (!one.isValid()) {
        changed.remove(one);
        registered.remove(one);
      } else if (interestApplied(one.attachment())) {
        changed.remove(one);
      }
    } catch (IOException | CancelledKeyException e) {
      changed.remove(one);
    }
  }

  /** Applies a key's interest; returns whether the kernel has it now. */
  private boolean interestApplied(SelectionKey key) throws IOException {
    int epoll = jdk.epollDescriptorOf(key.selector());
    if (epoll < 0 || !key.isValid() || !key.channel().isOpen()) {
      return true;
    }
    boolean wakesUp = wakeUpApplied(key.selector(), epoll);
    int events = eventsOf(key.interestOps());
    int number = jdk.descriptorNumberOf(key.channel());
    if (events == 0) {
      // An interest may have been verified before the selector applied it itself, and the selector
      // does not know that.
      int error = jdk.epollCtl(epoll, JdkSockets.EPOLL_CTL_DEL, number, 0);
      return wakesUp && (error == 0 || error == JdkSockets.ENOENT);
    }
    int error = jdk.epollCtl(epoll, JdkSockets.EPOLL_CTL_MOD, number, events);
    if (error == JdkSockets.ENOENT) {
      error = jdk.epollCtl(epoll, JdkSockets.EPOLL_CTL_ADD, number, events);
    }
    return wakesUp && error == 0;
  }

  private boolean wakeUpApplied(Selector selector, int epoll) throws IOException {
    if (wakeUpVerified != selector) {
      int error = jdk.epollCtl(
          epoll, JdkSockets.EPOLL_CTL_ADD, jdk.wakeUpDescriptorOf(selector), JdkSockets.EPOLLIN);
      if (error == 0 || error == JdkSockets.EEXIST) {
        wakeUpVerified = selector;
      }
    }
    return wakeUpVerified == selector;
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
    VerifiedRegistration next = new VerifiedRegistration(nio.register(handle));
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
  private final class VerifiedRegistration implements IoRegistration {
    private final IoRegistration registration;

    private VerifiedRegistration(IoRegistration registration) {
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
