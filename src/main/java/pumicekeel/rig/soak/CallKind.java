package pumicekeel.rig.soak;

/** The kinds of system calls that can be made to fail, in the order of the slots of the library's control page. */
public enum CallKind {
  /** Accepting fails for a moment: EMFILE, ENFILE, ENOBUFS, ENOMEM, EPERM, EINTR, EAGAIN. */
  ACCEPT,
  /** getsockname and getpeername: ENOBUFS, ENOMEM, ENOTCONN. */
  SOCKET_NAME,
  /** Reading from a connection fails for a moment: EINTR, EAGAIN, ENOMEM. */
  READ_ERROR,
  /** Reading from a connection takes less than there is. */
  READ_SHORT,
  /** Writing to a connection fails for a moment: EINTR, EAGAIN, ENOBUFS, ENOMEM. */
  WRITE_ERROR,
  /** Writing to a connection takes less than was given, at any byte. */
  WRITE_SHORT,
  /** Adding or changing a descriptor's interest: ENOMEM, ENOSPC. */
  EPOLL_CTL,
  /** Waiting for events: EINTR. */
  EPOLL_WAIT,
  /** The poll of a connect's end: EINTR. */
  POLL,
  /** A new socket: EMFILE, ENFILE, ENOBUFS, ENOMEM. */
  SOCKET,
  /** Connecting: EADDRNOTAVAIL, ENETUNREACH, EAGAIN, EINTR. */
  CONNECT,
  /** A connect's late result: ECONNREFUSED, ETIMEDOUT, EHOSTUNREACH. */
  SOCKET_ERROR,
  /** Setting an option: ENOBUFS, ENOMEM, EINVAL. */
  SOCKET_OPTION,
  /** Shutting one direction down: ENOBUFS, ENOMEM, ENOTCONN. */
  SHUTDOWN,
  /** A new epoll or event descriptor: EMFILE, ENFILE, ENOMEM. */
  EVENT_DESCRIPTOR,
  /** Opening a file: EMFILE, ENFILE, EIO, EINTR. */
  FILE_OPEN,
  /** Writing to a file: ENOSPC, EIO, EDQUOT, EINTR, or only a part of it. */
  FILE_WRITE,
  /** fsync and fdatasync: EIO, ENOSPC, EDQUOT, EINTR. */
  FILE_SYNC,
  /** rename, unlink and mkdir: EIO, ENOSPC, EDQUOT, EROFS. */
  FILE_NAME,
  /** A new thread: EAGAIN. */
  THREAD,
  /** Sending and receiving datagrams: EAGAIN, ENOBUFS, EPERM, ENETUNREACH, EINTR, ECONNREFUSED. */
  DATAGRAM,
  /** A connection is dead at a read: ECONNRESET, ETIMEDOUT, EHOSTUNREACH. */
  CONNECTION_ERROR,
  /** Writing to standard error: EAGAIN, EPIPE, ENOSPC. */
  STANDARD_ERROR,
  /** The wall clock is ahead of the true time. */
  WALL_CLOCK,
  /** Accepting fails for one connection: ECONNABORTED, EPROTO and its pending network errors. */
  ACCEPT_CONNECTION,
  /** Reading from a file: EIO, EINTR. */
  FILE_READ
}
