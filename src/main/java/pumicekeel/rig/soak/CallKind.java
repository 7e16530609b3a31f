package pumicekeel.rig.soak;

/** The kinds of system calls that can be made to fail, in the order of the slots of the library's control page. */
public enum CallKind {
  /** Accepting a connection fails temporarily: EMFILE, ENFILE, ENOBUFS, ENOMEM, EPERM, EINTR, EAGAIN. */
  ACCEPT,
  /** getsockname and getpeername: ENOBUFS, ENOMEM, ENOTCONN. */
  SOCKET_NAME,
  /** Reading from a connection fails temporarily: EINTR, EAGAIN, ENOMEM. */
  READ_ERROR,
  /** Reading from a connection returns fewer bytes than are available. */
  READ_SHORT,
  /** Writing to a connection fails temporarily: EINTR, EAGAIN, ENOBUFS, ENOMEM. */
  WRITE_ERROR,
  /** Writing to a connection accepts only a part of the bytes, cut at any byte. */
  WRITE_SHORT,
  /** Adding or changing the events of a descriptor: ENOMEM, ENOSPC. */
  EPOLL_CTL,
  /** Waiting for events: EINTR. */
  EPOLL_WAIT,
  /** Polling for the completion of a connect: EINTR. */
  POLL,
  /** Creating a socket: EMFILE, ENFILE, ENOBUFS, ENOMEM. */
  SOCKET,
  /** Connecting: EADDRNOTAVAIL, ENETUNREACH, EAGAIN, EINTR. */
  CONNECT,
  /** Asynchronous result of a connect, read by SO_ERROR: ECONNREFUSED, ETIMEDOUT, EHOSTUNREACH. */
  SOCKET_ERROR,
  /** Setting a socket option: ENOBUFS, ENOMEM, EINVAL. */
  SOCKET_OPTION,
  /** Shutting down one direction of a connection: ENOBUFS, ENOMEM, ENOTCONN. */
  SHUTDOWN,
  /** Creating an epoll or event descriptor: EMFILE, ENFILE, ENOMEM. */
  EVENT_DESCRIPTOR,
  /** Opening a file: EMFILE, ENFILE, EIO, EINTR. */
  FILE_OPEN,
  /** Writing to a file: ENOSPC, EIO, EDQUOT, EINTR, or only a part is written. */
  FILE_WRITE,
  /** fsync and fdatasync: EIO, ENOSPC, EDQUOT, EINTR. */
  FILE_SYNC,
  /** rename, unlink and mkdir: EIO, ENOSPC, EDQUOT, EROFS. */
  FILE_NAME,
  /** Creating a thread: EAGAIN. */
  THREAD,
  /** Sending and receiving datagrams: EAGAIN, ENOBUFS, EPERM, ENETUNREACH, EINTR, ECONNREFUSED. */
  DATAGRAM,
  /** Reading finds a connection broken: ECONNRESET, ETIMEDOUT, EHOSTUNREACH. */
  CONNECTION_ERROR,
  /** Writing to standard error: EAGAIN, EPIPE, ENOSPC. */
  STANDARD_ERROR,
  /** The wall clock is offset from the true time. */
  WALL_CLOCK,
  /** Accepting fails for one connection: ECONNABORTED, EPROTO and pending network errors of that connection. */
  ACCEPT_CONNECTION,
  /** Reading from a file: EIO, EINTR. */
  FILE_READ
}
