package pumicekeel.runtime;

import java.io.FileDescriptor;
import java.io.IOException;
import java.lang.invoke.MethodHandle;
import java.lang.invoke.MethodHandles;
import java.lang.invoke.MethodType;
import java.lang.reflect.Constructor;
import java.lang.reflect.Field;
import java.net.InetSocketAddress;
import java.net.ProtocolFamily;
import java.net.SocketAddress;
import java.nio.channels.Channel;
import java.nio.channels.Selector;
import java.nio.channels.SocketChannel;
import java.nio.channels.spi.SelectorProvider;

/**
 * Calls internal socket classes of the JDK (package {@code sun.nio.ch}) whose public counterparts hide how a call
 * ended: an accept separate from the setup of the new descriptor, which the public call closes if the socket's own
 * address cannot be read temporarily; and epoll_ctl, whose failure the selector ignores. The jar's manifest opens the
 * package; if it is not open, the public calls are used instead.
 */
final class JdkSockets {

  /** Operations and errors of epoll_ctl (Linux, all architectures that the JDK supports). */
  static final int EPOLL_CTL_ADD = 1;

  static final int EPOLL_CTL_DEL = 2;
  static final int EPOLL_CTL_MOD = 3;
  static final int ENOENT = 2;
  static final int EEXIST = 17;
  static final int EPOLLIN = 0x1;
  static final int EPOLLOUT = 0x4;
  private static final int POLLIN = 0x1;

  private static final JdkSockets INSTANCE = load();

  private final MethodHandle accept;
  private final MethodHandle newSocketChannel;
  private final MethodHandle closeDescriptor;
  private final MethodHandle preClose;
  private final MethodHandle descriptorNumber;
  private final MethodHandle descriptor;
  private final MethodHandle poll;
  private final MethodHandle epollCtl;
  private final Field epollDescriptor;
  private final Field eventFd;
  private final Field wakeUpDescriptor;

  private JdkSockets() throws ReflectiveOperationException {
    MethodHandles.Lookup lookup = MethodHandles.lookup();
    Class<?> net = Class.forName("sun.nio.ch.Net");
    accept = handle(
        lookup,
        net,
        "accept",
        FileDescriptor.class,
        FileDescriptor.class,
        InetSocketAddress[].class);
    Constructor<?> constructor = Class.forName("sun.nio.ch.SocketChannelImpl")
        .getDeclaredConstructor(
            SelectorProvider.class,
            ProtocolFamily.class,
            FileDescriptor.class,
            SocketAddress.class);
    constructor.setAccessible(true);
    newSocketChannel = lookup
        .unreflectConstructor(constructor)
        .asType(MethodType.methodType(
            SocketChannel.class,
            SelectorProvider.class,
            ProtocolFamily.class,
            FileDescriptor.class,
            SocketAddress.class));
    closeDescriptor =
        handle(lookup, Class.forName("sun.nio.ch.FileDispatcherImpl"), "closeIntFD", int.class);
    preClose = handle(
        lookup, Class.forName("sun.nio.ch.FileDispatcherImpl"), "preClose0", FileDescriptor.class);
    descriptorNumber =
        handle(lookup, Class.forName("sun.nio.ch.IOUtil"), "fdVal", FileDescriptor.class);
    Class<?> selectable = Class.forName("sun.nio.ch.SelChImpl");
    descriptor = handle(lookup, selectable, "getFD")
        .asType(MethodType.methodType(FileDescriptor.class, Channel.class));
    poll = handle(lookup, net, "poll", FileDescriptor.class, int.class, long.class);
    Class<?> epoll = Class.forName("sun.nio.ch.EPoll");
    epollCtl = handle(lookup, epoll, "ctl", int.class, int.class, int.class, int.class);
    Class<?> selector = Class.forName("sun.nio.ch.EPollSelectorImpl");
    epollDescriptor = field(selector, "epfd");
    eventFd = field(selector, "eventfd");
    wakeUpDescriptor = field(Class.forName("sun.nio.ch.EventFD"), "efd");
  }

  private static MethodHandle handle(
      MethodHandles.Lookup lookup, Class<?> in, String name, Class<?>... parameters)
      throws ReflectiveOperationException {
    var method = in.getDeclaredMethod(name, parameters);
    method.setAccessible(true);
    return lookup.unreflect(method);
  }

  private static Field field(Class<?> in, String name) throws NoSuchFieldException {
    Field field = in.getDeclaredField(name);
    field.setAccessible(true);
    return field;
  }

  private static JdkSockets load() {
    try {
      return new JdkSockets();
    } catch (ReflectiveOperationException | RuntimeException e) {
      return null;
    }
  }

  /** Returns the instance; null if this JDK has other classes or the package is not open. */
  static JdkSockets get() {
    return INSTANCE;
  }

  /** An accepted descriptor and its peer. */
  record AcceptedDescriptor(FileDescriptor descriptor, InetSocketAddress peer) {}

  /** Accepts a connection; null if none waits. */
  AcceptedDescriptor accept(Channel listener) throws IOException {
    FileDescriptor fresh = new FileDescriptor();
    InetSocketAddress[] peer = new InetSocketAddress[1];
    try {
      int accepted = (int) accept.invokeExact(descriptorOf(listener), fresh, peer);
      return accepted > 0 ? new AcceptedDescriptor(fresh, peer[0]) : null;
    } catch (Throwable e) {
      throw toIoException(e);
    }
  }

  /**
   * Opens a channel for an accepted descriptor. On failure the descriptor stays open, and the call may be retried.
   */
  SocketChannel channelOf(AcceptedDescriptor accepted, ProtocolFamily family) throws IOException {
    try {
      return (SocketChannel) newSocketChannel.invokeExact(
          SelectorProvider.provider(), family, accepted.descriptor(), (SocketAddress)
              accepted.peer());
    } catch (Throwable e) {
      throw toIoException(e);
    }
  }

  /**
   * Returns whether input or connections are pending, as far as a single poll shows: an interrupted one reports none.
   */
  boolean hasPendingInput(Channel listener) throws IOException {
    try {
      return (int) poll.invokeExact(descriptorOf(listener), POLLIN, 0L) != 0;
    } catch (Throwable e) {
      throw toIoException(e);
    }
  }

  /** Closes a descriptor that never became a channel. */
  void close(AcceptedDescriptor accepted) throws IOException {
    try {
      closeDescriptor.invokeExact((int) descriptorNumber.invokeExact(accepted.descriptor()));
    } catch (Throwable e) {
      throw toIoException(e);
    }
  }

  /**
   * Ends a channel's socket at once; the channel still has to be closed. A close alone leaves a registered socket open
   * until its selector's next select.
   */
  void preCloseSocket(Channel channel) throws IOException {
    try {
      preClose.invokeExact(descriptorOf(channel));
    } catch (Throwable e) {
      throw toIoException(e);
    }
  }

  /** Returns the number of a channel's descriptor. */
  int descriptorNumberOf(Channel channel) throws IOException {
    try {
      return (int) descriptorNumber.invokeExact(descriptorOf(channel));
    } catch (Throwable e) {
      throw toIoException(e);
    }
  }

  private FileDescriptor descriptorOf(Channel channel) throws Throwable {
    return (FileDescriptor) descriptor.invokeExact(channel);
  }

  /** Returns the epoll descriptor of a selector; -1 for a selector of another kind. */
  int epollDescriptorOf(Selector selector) {
    try {
      return epollDescriptor.getDeclaringClass().isInstance(selector)
          ? epollDescriptor.getInt(selector)
          : -1;
    } catch (IllegalAccessException e) {
      return -1;
    }
  }

  /** Returns the descriptor with which other threads wake up a selector. */
  int wakeUpDescriptorOf(Selector selector) {
    try {
      return wakeUpDescriptor.getInt(eventFd.get(selector));
    } catch (IllegalAccessException e) {
      return -1;
    }
  }

  /** Calls epoll_ctl; returns 0 or the error number. */
  int epollCtl(int epoll, int operation, int fd, int events) throws IOException {
    try {
      return (int) epollCtl.invokeExact(epoll, operation, fd, events);
    } catch (Throwable e) {
      throw toIoException(e);
    }
  }

  private static IOException toIoException(Throwable e) {
    if (e instanceof Error error) {
      throw error;
    }
    return e instanceof IOException io ? io : new IOException(e);
  }
}
