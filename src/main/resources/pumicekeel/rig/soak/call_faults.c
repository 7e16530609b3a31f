/*
 * Fault injection for system calls: a library for LD_PRELOAD. It makes calls of the C library fail at random, with the errors that the
 * Linux manual pages document, at rates in a control page that the test program also maps.
 *
 * The page (CALL_FAULTS_PAGE, a file) holds one slot of 32 bytes for each kind of call:
 *   uint32 failures per thousand calls, uint32 set of errors (bit i: the i-th of the kind's list; 0: all),
 *   uint64 failures injected, uint64 calls seen, int64 argument (clock: nanoseconds that the wall clock is ahead).
 * CALL_FAULTS_SEED seeds the random choice; calls on files fail only below CALL_FAULTS_FOLDER.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <limits.h>
#include <poll.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdatomic.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/syscall.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

enum kind {
  ACCEPT, SOCKET_NAME, READ_ERROR, READ_SHORT, WRITE_ERROR, WRITE_SHORT, EPOLL_CTL, EPOLL_WAIT, POLL, SOCKET, CONNECT,
  SOCKET_ERROR, SOCKET_OPTION, SHUTDOWN, EVENT_DESCRIPTOR, FILE_OPEN, FILE_WRITE, FILE_SYNC, FILE_NAME, THREAD, DATAGRAM,
  CONNECTION_ERROR, STANDARD_ERROR, WALL_CLOCK, ACCEPT_CONNECTION, FILE_READ, KINDS
};

struct slot {
  _Atomic uint32_t per_mille;
  _Atomic uint32_t set;
  _Atomic uint64_t injected;
  _Atomic uint64_t seen;
  _Atomic int64_t argument;
};

static struct slot *page;
static uint64_t seed;
static char folder[PATH_MAX];
static _Atomic uint64_t thread_count;
/* Descriptors that connected outward. Errors that break a connection are injected only here: on an accepted connection they would
 * pretend that the client had closed it. */
static _Atomic unsigned char connected[65536];
static __thread uint64_t random_state;

static const int ACCEPT_ERRORS[] = {EMFILE, ENFILE, ENOBUFS, ENOMEM, EPERM, EINTR, EAGAIN};
static const int ACCEPT_CONNECTION_ERRORS[] = {ECONNABORTED, EPROTO, ENETDOWN, ENOPROTOOPT, EHOSTDOWN, ENONET, EHOSTUNREACH,
                                               EOPNOTSUPP, ENETUNREACH};
static const int NAME_ERRORS[] = {ENOBUFS, ENOMEM, ENOTCONN};
static const int READ_ERRORS[] = {EINTR, EAGAIN, ENOMEM};
static const int WRITE_ERRORS[] = {EINTR, EAGAIN, ENOBUFS, ENOMEM};
static const int EPOLL_CTL_ERRORS[] = {ENOMEM, ENOSPC};
static const int INTERRUPTED[] = {EINTR};
static const int SOCKET_ERRORS[] = {EMFILE, ENFILE, ENOBUFS, ENOMEM};
static const int CONNECT_ERRORS[] = {EADDRNOTAVAIL, ENETUNREACH, EAGAIN, EINTR};
static const int CONNECT_RESULT_ERRORS[] = {ECONNREFUSED, ETIMEDOUT, EHOSTUNREACH};
static const int OPTION_ERRORS[] = {ENOBUFS, ENOMEM, EINVAL};
static const int SHUTDOWN_ERRORS[] = {ENOBUFS, ENOMEM, ENOTCONN};
static const int DESCRIPTOR_ERRORS[] = {EMFILE, ENFILE, ENOMEM};
static const int OPEN_ERRORS[] = {EMFILE, ENFILE, EIO, EINTR};
static const int FILE_WRITE_ERRORS[] = {ENOSPC, EIO, EDQUOT, EINTR};
static const int FILE_SYNC_ERRORS[] = {EIO, ENOSPC, EDQUOT, EINTR};
static const int FILE_NAME_ERRORS[] = {EIO, ENOSPC, EDQUOT, EROFS};
static const int FILE_READ_ERRORS[] = {EIO, EINTR};
static const int THREAD_ERRORS[] = {EAGAIN};
static const int DATAGRAM_ERRORS[] = {EAGAIN, ENOBUFS, EPERM, ENETUNREACH, EINTR, ECONNREFUSED};
static const int CONNECTION_ERRORS[] = {ECONNRESET, ETIMEDOUT, EHOSTUNREACH};
static const int STANDARD_ERROR_ERRORS[] = {EAGAIN, EPIPE, ENOSPC};

__attribute__((constructor)) static void initialize(void) {
  const char *file = getenv("CALL_FAULTS_PAGE");
  const char *folder_path = getenv("CALL_FAULTS_FOLDER");
  const char *seed_text = getenv("CALL_FAULTS_SEED");
  seed = seed_text == NULL ? 1 : strtoull(seed_text, NULL, 10);
  if (folder_path != NULL) {
    strncpy(folder, folder_path, sizeof folder - 1);
  }
  if (file == NULL) {
    return;
  }
  int fd = (int) syscall(SYS_openat, AT_FDCWD, file, O_RDWR | O_CLOEXEC, 0);
  if (fd < 0) {
    return;
  }
  void *at = (void *) syscall(SYS_mmap, NULL, sizeof(struct slot) * KINDS, PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
  syscall(SYS_close, fd);
  page = at == MAP_FAILED ? NULL : at;
}

static uint64_t next_random(void) {
  if (random_state == 0) {
    uint64_t z = seed + 0x9e3779b97f4a7c15ULL * (1 + atomic_fetch_add(&thread_count, 1));
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
    random_state = (z ^ (z >> 31)) | 1;
  }
  random_state ^= random_state << 13;
  random_state ^= random_state >> 7;
  random_state ^= random_state << 17;
  return random_state * 0x2545f4914f6cdd1dULL;
}

static int should_fail(enum kind k) {
  if (page == NULL) {
    return 0;
  }
  uint32_t rate = atomic_load_explicit(&page[k].per_mille, memory_order_relaxed);
  if (rate == 0) {
    return 0;
  }
  atomic_fetch_add_explicit(&page[k].seen, 1, memory_order_relaxed);
  if ((next_random() >> 33) % 1000 >= rate) {
    return 0;
  }
  atomic_fetch_add_explicit(&page[k].injected, 1, memory_order_relaxed);
  return 1;
}

static int choose_error(enum kind k, const int *errors, int count) {
  uint32_t set = atomic_load_explicit(&page[k].set, memory_order_relaxed);
  for (int tries = 0; tries < 64; tries++) {
    int i = (int) ((next_random() >> 33) % (uint64_t) count);
    if (set == 0 || (set >> i & 1) != 0) {
      return errors[i];
    }
  }
  return errors[0];
}

#define CHOOSE_ERROR(kind, errors) choose_error(kind, errors, (int) (sizeof(errors) / sizeof(errors[0])))
#define FAIL(kind, errors)          \
  do {                              \
    if (should_fail(kind)) {            \
      errno = CHOOSE_ERROR(kind, errors); \
      return -1;                    \
    }                               \
  } while (0)
#define REAL(name) \
  static __typeof__(&name) real; \
  if (real == NULL) real = (__typeof__(&name)) dlsym(RTLD_NEXT, #name)

static int is_stream(int fd) {
  int type = 0;
  socklen_t length = sizeof type;
  return syscall(SYS_getsockopt, fd, SOL_SOCKET, SO_TYPE, &type, &length) == 0 && type == SOCK_STREAM;
}

/* Whether the descriptor is a file or directory below the folder. */
static int is_file_below_folder(int fd) {
  struct stat status;
  char link[64];
  char path[PATH_MAX];
  if (folder[0] == 0 || syscall(SYS_fstat, fd, &status) != 0 || !(S_ISREG(status.st_mode) || S_ISDIR(status.st_mode))) {
    return 0;
  }
  static const char prefix[] = "/proc/self/fd/";
  memcpy(link, prefix, sizeof prefix);
  int position = sizeof prefix - 1, digits = 0;
  char reversed[16];
  for (int n = fd; n > 0 || digits == 0; n /= 10) {
    reversed[digits++] = (char) ('0' + n % 10);
  }
  while (digits > 0) {
    link[position++] = reversed[--digits];
  }
  link[position] = 0;
  ssize_t length = syscall(SYS_readlinkat, AT_FDCWD, link, path, sizeof path - 1);
  return length > 0 && strncmp(path, folder, strlen(folder)) == 0;
}

static int is_path_below_folder(const char *path) {
  return path != NULL && folder[0] != 0 && strncmp(path, folder, strlen(folder)) == 0;
}

static int mark_accepted(int fd) {
  if (fd >= 0 && fd < (int) sizeof connected) {
    connected[fd] = 0;
  }
  return fd;
}

int accept(int fd, struct sockaddr *address, socklen_t *length) {
  REAL(accept);
  FAIL(ACCEPT, ACCEPT_ERRORS);
  FAIL(ACCEPT_CONNECTION, ACCEPT_CONNECTION_ERRORS);
  return mark_accepted(real(fd, address, length));
}

int accept4(int fd, struct sockaddr *address, socklen_t *length, int flags) {
  REAL(accept4);
  FAIL(ACCEPT, ACCEPT_ERRORS);
  FAIL(ACCEPT_CONNECTION, ACCEPT_CONNECTION_ERRORS);
  return mark_accepted(real(fd, address, length, flags));
}

int getsockname(int fd, struct sockaddr *address, socklen_t *length) {
  REAL(getsockname);
  FAIL(SOCKET_NAME, NAME_ERRORS);
  return real(fd, address, length);
}

int getpeername(int fd, struct sockaddr *address, socklen_t *length) {
  REAL(getpeername);
  FAIL(SOCKET_NAME, NAME_ERRORS);
  return real(fd, address, length);
}

ssize_t read(int fd, void *buffer, size_t count) {
  REAL(read);
  if (page != NULL && is_stream(fd)) {
    FAIL(READ_ERROR, READ_ERRORS);
    if (fd < (int) sizeof connected && connected[fd]) {
      FAIL(CONNECTION_ERROR, CONNECTION_ERRORS);
    }
    if (count > 1 && should_fail(READ_SHORT)) {
      count = 1 + (next_random() >> 33) % (count < 64 ? count - 1 : 63);
    }
  } else if (page != NULL && is_file_below_folder(fd)) {
    FAIL(FILE_READ, FILE_READ_ERRORS);
  }
  return real(fd, buffer, count);
}

ssize_t recv(int fd, void *buffer, size_t count, int flags) {
  REAL(recv);
  if (page != NULL && is_stream(fd)) {
    FAIL(READ_ERROR, READ_ERRORS);
  }
  return real(fd, buffer, count, flags);
}

static ssize_t write_stored(int fd, const void *buffer, size_t count) {
  if (should_fail(FILE_WRITE)) {
    if (count > 1 && (next_random() >> 33) % 2 == 0) {
      return syscall(SYS_write, fd, buffer, 1 + (next_random() >> 33) % (count - 1));
    }
    errno = CHOOSE_ERROR(FILE_WRITE, FILE_WRITE_ERRORS);
    return -1;
  }
  return syscall(SYS_write, fd, buffer, count);
}

ssize_t write(int fd, const void *buffer, size_t count) {
  REAL(write);
  if (page == NULL) {
    return real(fd, buffer, count);
  }
  if (fd == STDERR_FILENO) {
    FAIL(STANDARD_ERROR, STANDARD_ERROR_ERRORS);
  } else if (is_stream(fd)) {
    FAIL(WRITE_ERROR, WRITE_ERRORS);
    if (count > 1 && should_fail(WRITE_SHORT)) {
      count = 1 + (next_random() >> 33) % (count - 1);
    }
  } else if (is_file_below_folder(fd)) {
    return write_stored(fd, buffer, count);
  }
  return real(fd, buffer, count);
}

ssize_t send(int fd, const void *buffer, size_t count, int flags) {
  REAL(send);
  if (page != NULL && is_stream(fd)) {
    FAIL(WRITE_ERROR, WRITE_ERRORS);
    if (count > 1 && should_fail(WRITE_SHORT)) {
      count = 1 + (next_random() >> 33) % (count - 1);
    }
  }
  return real(fd, buffer, count, flags);
}

ssize_t writev(int fd, const struct iovec *parts, int count) {
  REAL(writev);
  if (page != NULL && is_stream(fd)) {
    FAIL(WRITE_ERROR, WRITE_ERRORS);
    if (count > 0 && parts[0].iov_len > 1 && should_fail(WRITE_SHORT)) {
      struct iovec first = parts[0];
      first.iov_len = 1 + (next_random() >> 33) % (first.iov_len - 1);
      return real(fd, &first, 1);
    }
  } else if (page != NULL && count > 0 && is_file_below_folder(fd) && should_fail(FILE_WRITE)) {
    errno = CHOOSE_ERROR(FILE_WRITE, FILE_WRITE_ERRORS);
    return -1;
  }
  return real(fd, parts, count);
}

ssize_t pwrite64(int fd, const void *buffer, size_t count, off64_t at) {
  REAL(pwrite64);
  if (page != NULL && is_file_below_folder(fd)) {
    FAIL(FILE_WRITE, FILE_WRITE_ERRORS);
  }
  return real(fd, buffer, count, at);
}

int fsync(int fd) {
  REAL(fsync);
  FAIL(FILE_SYNC, FILE_SYNC_ERRORS);
  return real(fd);
}

int fdatasync(int fd) {
  REAL(fdatasync);
  FAIL(FILE_SYNC, FILE_SYNC_ERRORS);
  return real(fd);
}

int epoll_ctl(int epfd, int operation, int fd, struct epoll_event *event) {
  REAL(epoll_ctl);
  if (operation != EPOLL_CTL_DEL) {
    FAIL(EPOLL_CTL, EPOLL_CTL_ERRORS);
  }
  return real(epfd, operation, fd, event);
}

int epoll_wait(int epfd, struct epoll_event *events, int count, int timeout) {
  REAL(epoll_wait);
  FAIL(EPOLL_WAIT, INTERRUPTED);
  return real(epfd, events, count, timeout);
}

int poll(struct pollfd *fds, nfds_t count, int timeout) {
  REAL(poll);
  FAIL(POLL, INTERRUPTED);
  return real(fds, count, timeout);
}

int epoll_create1(int flags) {
  REAL(epoll_create1);
  FAIL(EVENT_DESCRIPTOR, DESCRIPTOR_ERRORS);
  return real(flags);
}

int eventfd(unsigned int value, int flags) {
  REAL(eventfd);
  FAIL(EVENT_DESCRIPTOR, DESCRIPTOR_ERRORS);
  return real(value, flags);
}

int socket(int domain, int type, int protocol) {
  REAL(socket);
  FAIL(SOCKET, SOCKET_ERRORS);
  return real(domain, type, protocol);
}

int connect(int fd, const struct sockaddr *address, socklen_t length) {
  REAL(connect);
  if (fd >= 0 && fd < (int) sizeof connected) {
    connected[fd] = 1;
  }
  if (address != NULL && address->sa_family != AF_UNIX && should_fail(CONNECT)) {
    int error = CHOOSE_ERROR(CONNECT, CONNECT_ERRORS);
    if (error == EINTR && real(fd, address, length) != 0 && errno != EINPROGRESS) {
      return -1;
    }
    errno = error;
    return -1;
  }
  return real(fd, address, length);
}

int getsockopt(int fd, int level, int name, void *value, socklen_t *length) {
  REAL(getsockopt);
  int result = real(fd, level, name, value, length);
  if (result == 0 && level == SOL_SOCKET && name == SO_ERROR && *length >= sizeof(int) && should_fail(SOCKET_ERROR)) {
    *(int *) value = CHOOSE_ERROR(SOCKET_ERROR, CONNECT_RESULT_ERRORS);
  }
  return result;
}

int setsockopt(int fd, int level, int name, const void *value, socklen_t length) {
  REAL(setsockopt);
  FAIL(SOCKET_OPTION, OPTION_ERRORS);
  return real(fd, level, name, value, length);
}

int shutdown(int fd, int how) {
  REAL(shutdown);
  FAIL(SHUTDOWN, SHUTDOWN_ERRORS);
  return real(fd, how);
}

ssize_t sendto(int fd, const void *buffer, size_t count, int flags, const struct sockaddr *to, socklen_t length) {
  REAL(sendto);
  if (page != NULL && !is_stream(fd)) {
    FAIL(DATAGRAM, DATAGRAM_ERRORS);
  }
  return real(fd, buffer, count, flags, to, length);
}

ssize_t recvfrom(int fd, void *buffer, size_t count, int flags, struct sockaddr *from, socklen_t *length) {
  REAL(recvfrom);
  if (page != NULL && !is_stream(fd)) {
    FAIL(DATAGRAM, DATAGRAM_ERRORS);
  }
  return real(fd, buffer, count, flags, from, length);
}

#define OPEN(name)                                            \
  int name(const char *path, int flags, ...) {                \
    REAL(name);                                               \
    va_list rest;                                             \
    va_start(rest, flags);                                    \
    int mode = va_arg(rest, int);                             \
    va_end(rest);                                             \
    if (is_path_below_folder(path)) {                                     \
      FAIL(FILE_OPEN, OPEN_ERRORS);                           \
    }                                                         \
    return real(path, flags, mode);                           \
  }

OPEN(open)
OPEN(open64)

#define OPENAT(name)                                          \
  int name(int at, const char *path, int flags, ...) {        \
    REAL(name);                                               \
    va_list rest;                                             \
    va_start(rest, flags);                                    \
    int mode = va_arg(rest, int);                             \
    va_end(rest);                                             \
    if (is_path_below_folder(path)) {                                     \
      FAIL(FILE_OPEN, OPEN_ERRORS);                           \
    }                                                         \
    return real(at, path, flags, mode);                       \
  }

OPENAT(openat)
OPENAT(openat64)

int rename(const char *from, const char *to) {
  REAL(rename);
  if (is_path_below_folder(to)) {
    FAIL(FILE_NAME, FILE_NAME_ERRORS);
  }
  return real(from, to);
}

int unlink(const char *path) {
  REAL(unlink);
  if (is_path_below_folder(path)) {
    FAIL(FILE_NAME, FILE_NAME_ERRORS);
  }
  return real(path);
}

int mkdir(const char *path, mode_t mode) {
  REAL(mkdir);
  if (is_path_below_folder(path)) {
    FAIL(FILE_NAME, FILE_NAME_ERRORS);
  }
  return real(path, mode);
}

int ftruncate64(int fd, off64_t length) {
  REAL(ftruncate64);
  if (page != NULL && is_file_below_folder(fd)) {
    FAIL(FILE_WRITE, FILE_WRITE_ERRORS);
  }
  return real(fd, length);
}

int pthread_create(pthread_t *thread, const pthread_attr_t *with, void *(*run)(void *), void *argument) {
  REAL(pthread_create);
  if (should_fail(THREAD)) {
    return CHOOSE_ERROR(THREAD, THREAD_ERRORS);
  }
  return real(thread, with, run, argument);
}

int clock_gettime(clockid_t clock, struct timespec *now) {
  REAL(clock_gettime);
  int result = real(clock, now);
  if (result == 0 && clock == CLOCK_REALTIME && page != NULL) {
    int64_t ahead = atomic_load_explicit(&page[WALL_CLOCK].argument, memory_order_relaxed);
    if (ahead != 0) {
      int64_t at = (int64_t) now->tv_sec * 1000000000LL + now->tv_nsec + ahead;
      now->tv_sec = at / 1000000000LL;
      now->tv_nsec = at % 1000000000LL;
      atomic_fetch_add_explicit(&page[WALL_CLOCK].injected, 1, memory_order_relaxed);
    }
  }
  return result;
}
