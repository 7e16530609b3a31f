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
 * Calls of the JDK's own socket classes (package {@code sun.nio.ch}) that its public ones carry out without telling how they ended: an
 * accept apart from what it does with the new descriptor, which it closes where the socket's own address can't be told for a moment;
 * and epoll_ctl, whose failure its selector drops. The jar's manifest opens the package; where it is not open there is none of this,
 * and the public calls are used.
 */
final class JdkSockets {

  /** epoll_ctl's operations and errors (Linux, all architectures that the JDK runs on). */
  static final int EPOLL_CTL_ADD = 1;

  static final int EPOLL_CTL_DEL = 2;
  static final int EPOLL_CTL_MOD = 3;
  static final int ENOENT = 2;
  static final int EEXIST = 17;
  static final int EPOLLIN = 0x1;
  static final int EPOLLOUT = 0x4;
  private static final int POLLIN = 0x1;

  private static final JdkSockets INSTANCE = find();

  private final MethodHandle accept;
  private final MethodHandle connected;
  private final MethodHandle closeDescriptor;
  private final MethodHandle preClose;
  private final MethodHandle valueOf;
  private final MethodHandle descriptor;
  private final MethodHandle poll;
  private final MethodHandle epollCtl;
  private final Field epollDescriptor;
  private final Field wakeUp;
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
    connected = lookup
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
    valueOf = handle(lookup, Class.forName("sun.nio.ch.IOUtil"), "fdVal", FileDescriptor.class);
    Class<?> selectable = Class.forName("sun.nio.ch.SelChImpl");
    descriptor = handle(lookup, selectable, "getFD")
        .asType(MethodType.methodType(FileDescriptor.class, Channel.class));
    poll = handle(lookup, net, "poll", FileDescriptor.class, int.class, long.class);
    Class<?> epoll = Class.forName("sun.nio.ch.EPoll");
    epollCtl = handle(lookup, epoll, "ctl", int.class, int.class, int.class, int.class);
    Class<?> selector = Class.forName("sun.nio.ch.EPollSelectorImpl");
    epollDescriptor = field(selector, "epfd");
    wakeUp = field(selector, "eventfd");
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

  private static JdkSockets find() {
    try {
      return new JdkSockets();
    } catch (ReflectiveOperationException | RuntimeException e) {
      return null;
    }
  }

  /** The one there is; null where this JDK has other classes or the package is not open. */
  static JdkSockets get() {
    return INSTANCE;
  }

  /** A descriptor that was accepted, and whose it is. */
  record NewDescriptor(FileDescriptor descriptor, InetSocketAddress peer) {}

  /** Accepts one; null where none waits. */
  NewDescriptor accept(Channel listener) throws IOException {
    FileDescriptor fresh = new FileDescriptor();
    InetSocketAddress[] peer = new InetSocketAddress[1];
    try {
      int accepted = (int) accept.invokeExact(descriptorOf(listener), fresh, peer);
      return accepted > 0 ? new NewDescriptor(fresh, peer[0]) : null;
    } catch (Throwable e) {
      throw asIo(e);
    }
  }

  /** A channel of a descriptor that was accepted. Where this fails the descriptor stays open, and it may be tried again. */
  SocketChannel channelOf(NewDescriptor accepted, ProtocolFamily family) throws IOException {
    try {
      return (SocketChannel) connected.invokeExact(
          SelectorProvider.provider(), family, accepted.descriptor(), (SocketAddress)
              accepted.peer());
    } catch (Throwable e) {
      throw asIo(e);
    }
  }

  /** Whether connections wait to be accepted, as far as one look tells: an interrupted one sees none. */
  boolean waits(Channel listener) throws IOException {
    try {
      return (int) poll.invokeExact(descriptorOf(listener), POLLIN, 0L) != 0;
    } catch (Throwable e) {
      throw asIo(e);
    }
  }

  /** Closes one that never became a channel. */
  void close(NewDescriptor accepted) throws IOException {
    try {
      closeDescriptor.invokeExact((int) valueOf.invokeExact(accepted.descriptor()));
    } catch (Throwable e) {
      throw asIo(e);
    }
  }

  /**
   * Ends a channel's socket at once; the channel is still to be closed. A close alone leaves a registered socket as it is until its
   * selector has looked again.
   */
  void endSocket(Channel channel) throws IOException {
    try {
      preClose.invokeExact(descriptorOf(channel));
    } catch (Throwable e) {
      throw asIo(e);
    }
  }

  /** The descriptor of a channel, as a number. */
  int numberOf(Channel channel) throws IOException {
    try {
      return (int) valueOf.invokeExact(descriptorOf(channel));
    } catch (Throwable e) {
      throw asIo(e);
    }
  }

  private FileDescriptor descriptorOf(Channel channel) throws Throwable {
    return (FileDescriptor) descriptor.invokeExact(channel);
  }

  /** The epoll descriptor of a selector; -1 where it is of another kind. */
  int epollOf(Selector selector) {
    try {
      return epollDescriptor.getDeclaringClass().isInstance(selector)
          ? epollDescriptor.getInt(selector)
          : -1;
    } catch (IllegalAccessException e) {
      return -1;
    }
  }

  /** The descriptor by which other threads wake a selector up. */
  int wakeUpOf(Selector selector) {
    try {
      return wakeUpDescriptor.getInt(wakeUp.get(selector));
    } catch (IllegalAccessException e) {
      return -1;
    }
  }

  /** epoll_ctl; 0 or the error's number. */
  int epollCtl(int epoll, int operation, int fd, int events) throws IOException {
    try {
      return (int) epollCtl.invokeExact(epoll, operation, fd, events);
    } catch (Throwable e) {
      throw asIo(e);
    }
  }

  private static IOException asIo(Throwable e) {
    if (e instanceof Error error) {
      throw error;
    }
    return e instanceof IOException io ? io : new IOException(e);
  }
}
