/*
 * faultshim: makes system calls of one process fail, shortens them or shifts its clock, for fault injection
 * in tests on loopback.
 *
 * Loaded with LD_PRELOAD. The environment variable FAULT_SHIM names a file of FIELDS 64-bit integers in the
 * machine's byte order, which the test maps and changes while the process runs; 0 disables a fault. The
 * layout is that of reedspring.rig.FaultShim. Failing calls are chosen by count, so a run is repeatable as
 * far as the process is deterministic.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
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
#include <sys/time.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

enum field {
    ACCEPT_EVERY,    /* every n-th accept fails, with the errors of accept_errors in turn */
    SOCKET_EVERY,    /* every n-th socket fails, with the errors of socket_errors in turn */
    CONNECT_EVERY,   /* every n-th connect fails, with the errors of connect_errors in turn */
    READ_EVERY,      /* every n-th read from a socket fails with EINTR */
    WRITE_EVERY,     /* every n-th write to a socket fails with EINTR */
    SHORT_BYTES,     /* maximum number of bytes that one call reads from or writes to a socket */
    CLOCK_STEP_MS,   /* offset added to the wall clock */
    DISK_ERRNO,      /* writes and syncs of files fail with this errno */
    DISK_SHORT,      /* a failing write writes half of its bytes first */
    FAILED_CALLS,    /* output: number of calls that this library has failed */
    OPEN_ERRNO,      /* opening a file for reading fails with this errno */
    CONFIG_OPENS,    /* number of opens of $RELAY_CONFIG that fail, with EIO, ENOENT, EMFILE in turn */
    EPOLL_CREATES,   /* number of epoll_create1 calls that fail, with EMFILE and ENOMEM in turn */
    EVENTFDS,        /* number of eventfd calls that fail with EMFILE */
    EPOLL_ADD_AT,    /* the n-th epoll_ctl from now on that adds a descriptor fails with ENOMEM */
    THREADS_FROM,    /* every pthread_create from the n-th of the process on fails with EAGAIN */
    FIELDS
};

static _Atomic int64_t *control;
static _Atomic uint64_t accepts, sockets, connects, reads, writes, threads;

static int64_t field(enum field index)
{
    return control == NULL ? 0 : atomic_load(&control[index]);
}

__attribute__((constructor)) static void attach(void)
{
    const char *path = getenv("FAULT_SHIM");
    int file = path == NULL ? -1 : open(path, O_RDWR | O_CLOEXEC);
    if (file < 0)
        return;
    void *mapping = mmap(NULL, FIELDS * sizeof(int64_t), PROT_READ | PROT_WRITE, MAP_SHARED, file, 0);
    if (mapping != MAP_FAILED)
        control = mapping;
    close(file);
}

/* Looks up the function that this library interposes. */
#define RESOLVE_NEXT(name) \
    static __typeof__(&name) next_##name; \
    if (next_##name == NULL) \
        next_##name = (__typeof__(&name)) dlsym(RTLD_NEXT, #name)

/* Whether the call fails because its number is a multiple of the field's value; sets errno if so. */
static int fails_nth(_Atomic uint64_t *count, enum field every, const int *errors, int length)
{
    int64_t interval = field(every);
    if (interval <= 0)
        return 0;
    uint64_t call = atomic_fetch_add(count, 1) + 1;
    if (call % (uint64_t) interval != 0)
        return 0;
    errno = errors[(call / (uint64_t) interval) % (uint64_t) length];
    atomic_fetch_add(&control[FAILED_CALLS], 1);
    return 1;
}

/* Whether the field's number of failures is not used up; uses one and sets errno if so. */
static int take_failure(enum field countdown, const int *errors, int length)
{
    int64_t remaining = field(countdown);
    while (remaining > 0 && !atomic_compare_exchange_weak(&control[countdown], &remaining, remaining - 1))
        ;
    if (remaining <= 0)
        return 0;
    errno = errors[remaining % length];
    atomic_fetch_add(&control[FAILED_CALLS], 1);
    return 1;
}

static const int accept_errors[] = {ENFILE, ENOBUFS, EMFILE, ECONNABORTED, EINTR, ENOMEM, EPROTO, ENETUNREACH};
static const int socket_errors[] = {EMFILE, ENFILE, ENOBUFS, ENOMEM};
static const int connect_errors[] = {EADDRNOTAVAIL, ENETUNREACH, ENOBUFS, EAGAIN, EHOSTUNREACH, ETIMEDOUT};
static const int interrupt_errors[] = {EINTR};
static const int config_errors[] = {EIO, ENOENT, EMFILE};
static const int epoll_errors[] = {EMFILE, ENOMEM};
static const int eventfd_errors[] = {EMFILE};

#define LENGTH(errors) ((int) (sizeof(errors) / sizeof(errors[0])))

int accept(int fd, struct sockaddr *address, socklen_t *length)
{
    RESOLVE_NEXT(accept);
    if (fails_nth(&accepts, ACCEPT_EVERY, accept_errors, LENGTH(accept_errors)))
        return -1;
    return next_accept(fd, address, length);
}

int accept4(int fd, struct sockaddr *address, socklen_t *length, int flags)
{
    RESOLVE_NEXT(accept4);
    if (fails_nth(&accepts, ACCEPT_EVERY, accept_errors, LENGTH(accept_errors)))
        return -1;
    return next_accept4(fd, address, length, flags);
}

int socket(int domain, int type, int protocol)
{
    RESOLVE_NEXT(socket);
    if (fails_nth(&sockets, SOCKET_EVERY, socket_errors, LENGTH(socket_errors)))
        return -1;
    return next_socket(domain, type, protocol);
}

int connect(int fd, const struct sockaddr *address, socklen_t length)
{
    RESOLVE_NEXT(connect);
    if (fails_nth(&connects, CONNECT_EVERY, connect_errors, LENGTH(connect_errors)))
        return -1;
    return next_connect(fd, address, length);
}

static int is_socket(int fd)
{
    struct stat status;
    return fstat(fd, &status) == 0 && S_ISSOCK(status.st_mode);
}

static int is_file(int fd)
{
    struct stat status;
    return fstat(fd, &status) == 0 && S_ISREG(status.st_mode);
}

static size_t limit_count(size_t count)
{
    int64_t limit = field(SHORT_BYTES);
    return limit > 0 && count > (size_t) limit ? (size_t) limit : count;
}

ssize_t read(int fd, void *buffer, size_t count)
{
    RESOLVE_NEXT(read);
    if ((field(READ_EVERY) > 0 || field(SHORT_BYTES) > 0) && is_socket(fd)) {
        if (fails_nth(&reads, READ_EVERY, interrupt_errors, 1))
            return -1;
        count = limit_count(count);
    }
    return next_read(fd, buffer, count);
}

ssize_t readv(int fd, const struct iovec *parts, int count)
{
    RESOLVE_NEXT(readv);
    if (field(READ_EVERY) > 0 && is_socket(fd) && fails_nth(&reads, READ_EVERY, interrupt_errors, 1))
        return -1;
    return next_readv(fd, parts, count);
}

/* Whether a write to or sync of this descriptor fails with DISK_ERRNO; sets errno if so. */
static int disk_fails(int fd)
{
    int64_t error = field(DISK_ERRNO);
    if (error == 0 || !is_file(fd))
        return 0;
    atomic_fetch_add(&control[FAILED_CALLS], 1);
    errno = (int) error;
    return 1;
}

ssize_t write(int fd, const void *buffer, size_t count)
{
    RESOLVE_NEXT(write);
    if (disk_fails(fd)) {
        int error = errno;
        if (field(DISK_SHORT) > 0 && count > 1)
            (void) !next_write(fd, buffer, count / 2);
        errno = error;
        return -1;
    }
    if ((field(WRITE_EVERY) > 0 || field(SHORT_BYTES) > 0) && is_socket(fd)) {
        if (fails_nth(&writes, WRITE_EVERY, interrupt_errors, 1))
            return -1;
        count = limit_count(count);
    }
    return next_write(fd, buffer, count);
}

ssize_t writev(int fd, const struct iovec *parts, int count)
{
    RESOLVE_NEXT(writev);
    if (disk_fails(fd))
        return -1;
    if ((field(WRITE_EVERY) > 0 || field(SHORT_BYTES) > 0) && is_socket(fd)) {
        if (fails_nth(&writes, WRITE_EVERY, interrupt_errors, 1))
            return -1;
        if (field(SHORT_BYTES) > 0 && count > 0 && parts[0].iov_len > 0)
            return write(fd, parts[0].iov_base, parts[0].iov_len);
    }
    return next_writev(fd, parts, count);
}

ssize_t pwrite64(int fd, const void *buffer, size_t count, off64_t offset)
{
    RESOLVE_NEXT(pwrite64);
    return disk_fails(fd) ? -1 : next_pwrite64(fd, buffer, count, offset);
}

int fsync(int fd)
{
    RESOLVE_NEXT(fsync);
    return disk_fails(fd) ? -1 : next_fsync(fd);
}

int fdatasync(int fd)
{
    RESOLVE_NEXT(fdatasync);
    return disk_fails(fd) ? -1 : next_fdatasync(fd);
}

int open64(const char *path, int flags, ...)
{
    RESOLVE_NEXT(open64);
    va_list arguments;
    va_start(arguments, flags);
    mode_t mode = flags & O_CREAT ? va_arg(arguments, mode_t) : 0;
    va_end(arguments);
    const char *config = getenv("RELAY_CONFIG");
    if (config != NULL && strcmp(config, path) == 0
            && take_failure(CONFIG_OPENS, config_errors, LENGTH(config_errors)))
        return -1;
    int64_t error = field(OPEN_ERRNO);
    if (error != 0 && (flags & O_ACCMODE) == O_RDONLY) {
        atomic_fetch_add(&control[FAILED_CALLS], 1);
        errno = (int) error;
        return -1;
    }
    return next_open64(path, flags, mode);
}

int epoll_create1(int flags)
{
    RESOLVE_NEXT(epoll_create1);
    return take_failure(EPOLL_CREATES, epoll_errors, LENGTH(epoll_errors)) ? -1 : next_epoll_create1(flags);
}

int eventfd(unsigned int initial, int flags)
{
    RESOLVE_NEXT(eventfd);
    return take_failure(EVENTFDS, eventfd_errors, LENGTH(eventfd_errors)) ? -1 : next_eventfd(initial, flags);
}

int epoll_ctl(int epoll, int operation, int fd, struct epoll_event *event)
{
    RESOLVE_NEXT(epoll_ctl);
    if (operation == EPOLL_CTL_ADD && field(EPOLL_ADD_AT) > 0 && atomic_fetch_sub(&control[EPOLL_ADD_AT], 1) == 1) {
        atomic_fetch_add(&control[FAILED_CALLS], 1);
        errno = ENOMEM;
        return -1;
    }
    return next_epoll_ctl(epoll, operation, fd, event);
}

int pthread_create(pthread_t *thread, const pthread_attr_t *attributes, void *(*start)(void *), void *argument)
{
    RESOLVE_NEXT(pthread_create);
    int64_t first_failing = field(THREADS_FROM);
    if ((int64_t) atomic_fetch_add(&threads, 1) + 1 >= first_failing && first_failing > 0) {
        atomic_fetch_add(&control[FAILED_CALLS], 1);
        return EAGAIN;
    }
    return next_pthread_create(thread, attributes, start, argument);
}

int clock_gettime(clockid_t clock, struct timespec *now)
{
    RESOLVE_NEXT(clock_gettime);
    int result = next_clock_gettime(clock, now);
    int64_t step = field(CLOCK_STEP_MS);
    if (result == 0 && step != 0 && (clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE)) {
        int64_t nanos = now->tv_nsec + step % 1000 * 1000000;
        now->tv_sec += step / 1000 + (nanos < 0 ? -1 : nanos / 1000000000);
        now->tv_nsec = (nanos + 1000000000) % 1000000000;
    }
    return result;
}

int gettimeofday(struct timeval *restrict now, void *restrict zone)
{
    RESOLVE_NEXT(gettimeofday);
    int result = next_gettimeofday(now, zone);
    if (result == 0) {
        int64_t micros = now->tv_usec + field(CLOCK_STEP_MS) % 1000 * 1000;
        now->tv_sec += field(CLOCK_STEP_MS) / 1000 + (micros < 0 ? -1 : micros / 1000000);
        now->tv_usec = (micros + 1000000) % 1000000;
    }
    return result;
}
