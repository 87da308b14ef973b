/*
 * faultshim: fails or bends system calls of one process, for fault tests on loopback.
 *
 * Loaded with LD_PRELOAD. The environment variable FAULT_SHIM names a file of FIELDS 64-bit integers in the
 * machine's byte order, which the test maps and changes while the process runs; 0 switches a fault off. The
 * layout is that of reedspring.rig.FaultShim. Failing calls are chosen by count, so a run repeats as far as the
 * process itself does.
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
    SOCKET_EVERY,    /* every n-th socket */
    CONNECT_EVERY,   /* every n-th connect */
    READ_EVERY,      /* every n-th read from a socket is interrupted */
    WRITE_EVERY,     /* every n-th write to a socket is interrupted */
    SHORT_BYTES,     /* sockets take and give at most so many bytes a call */
    CLOCK_STEP_MS,   /* added to the wall clock */
    DISK_ERRNO,      /* writes and syncs of files fail with this error */
    DISK_SHORT,      /* a failing write has written half of its bytes before */
    FAILED_CALLS,    /* counted here: calls that this library has failed */
    OPEN_ERRNO,      /* opening a regular file for reading fails with this error */
    CONFIG_OPENS,    /* so many opens of the file that RELAY_CONFIG names fail, with EIO, ENOENT, EMFILE in turn */
    EPOLL_CREATES,   /* so many epoll_create1 fail, with EMFILE and ENOMEM in turn */
    EVENTFDS,        /* so many eventfd fail with EMFILE */
    EPOLL_ADD_AT,    /* the n-th epoll_ctl from now on that adds a descriptor fails with ENOMEM */
    THREADS_FROM,    /* each pthread_create from the n-th of the process on fails with EAGAIN */
    FIELDS
};

static _Atomic int64_t *control;
static _Atomic uint64_t accepts, sockets, connects, reads, writes, threads;

static int64_t field(enum field which)
{
    return control == NULL ? 0 : atomic_load(&control[which]);
}

__attribute__((constructor)) static void attach(void)
{
    const char *path = getenv("FAULT_SHIM");
    int file = path == NULL ? -1 : open(path, O_RDWR | O_CLOEXEC);
    if (file < 0)
        return;
    void *mapped = mmap(NULL, FIELDS * sizeof(int64_t), PROT_READ | PROT_WRITE, MAP_SHARED, file, 0);
    if (mapped != MAP_FAILED)
        control = mapped;
    close(file);
}

/* The function that this library stands in front of. */
#define NEXT(name) \
    static __typeof__(&name) next_##name; \
    if (next_##name == NULL) \
        next_##name = (__typeof__(&name)) dlsym(RTLD_NEXT, #name)

static int fails(_Atomic uint64_t *count, enum field every, const int *errors, int kinds)
{
    int64_t n = field(every);
    if (n <= 0)
        return 0;
    uint64_t call = atomic_fetch_add(count, 1) + 1;
    if (call % (uint64_t) n != 0)
        return 0;
    errno = errors[(call / (uint64_t) n) % (uint64_t) kinds];
    atomic_fetch_add(&control[FAILED_CALLS], 1);
    return 1;
}

/* Whether this is one of the calls that are still to fail; counts it down. */
static int one_of(enum field left, const int *errors, int kinds)
{
    int64_t before = field(left);
    while (before > 0 && !atomic_compare_exchange_weak(&control[left], &before, before - 1))
        ;
    if (before <= 0)
        return 0;
    errno = errors[before % kinds];
    atomic_fetch_add(&control[FAILED_CALLS], 1);
    return 1;
}

static const int accept_errors[] = {ENFILE, ENOBUFS, EMFILE, ECONNABORTED, EINTR, ENOMEM, EPROTO, ENETUNREACH};
static const int socket_errors[] = {EMFILE, ENFILE, ENOBUFS, ENOMEM};
static const int connect_errors[] = {EADDRNOTAVAIL, ENETUNREACH, ENOBUFS, EAGAIN, EHOSTUNREACH, ETIMEDOUT};
static const int interrupted[] = {EINTR};
static const int config_errors[] = {EIO, ENOENT, EMFILE};
static const int epoll_errors[] = {EMFILE, ENOMEM};
static const int eventfd_errors[] = {EMFILE};

#define KINDS(errors) ((int) (sizeof(errors) / sizeof(errors[0])))

int accept(int fd, struct sockaddr *address, socklen_t *length)
{
    NEXT(accept);
    if (fails(&accepts, ACCEPT_EVERY, accept_errors, KINDS(accept_errors)))
        return -1;
    return next_accept(fd, address, length);
}

int accept4(int fd, struct sockaddr *address, socklen_t *length, int flags)
{
    NEXT(accept4);
    if (fails(&accepts, ACCEPT_EVERY, accept_errors, KINDS(accept_errors)))
        return -1;
    return next_accept4(fd, address, length, flags);
}

int socket(int domain, int type, int protocol)
{
    NEXT(socket);
    if (fails(&sockets, SOCKET_EVERY, socket_errors, KINDS(socket_errors)))
        return -1;
    return next_socket(domain, type, protocol);
}

int connect(int fd, const struct sockaddr *address, socklen_t length)
{
    NEXT(connect);
    if (fails(&connects, CONNECT_EVERY, connect_errors, KINDS(connect_errors)))
        return -1;
    return next_connect(fd, address, length);
}

static int is_socket(int fd)
{
    struct stat what;
    return fstat(fd, &what) == 0 && S_ISSOCK(what.st_mode);
}

static int is_file(int fd)
{
    struct stat what;
    return fstat(fd, &what) == 0 && S_ISREG(what.st_mode);
}

static size_t shortened(size_t count)
{
    int64_t most = field(SHORT_BYTES);
    return most > 0 && count > (size_t) most ? (size_t) most : count;
}

ssize_t read(int fd, void *into, size_t count)
{
    NEXT(read);
    if ((field(READ_EVERY) > 0 || field(SHORT_BYTES) > 0) && is_socket(fd)) {
        if (fails(&reads, READ_EVERY, interrupted, 1))
            return -1;
        count = shortened(count);
    }
    return next_read(fd, into, count);
}

ssize_t readv(int fd, const struct iovec *parts, int count)
{
    NEXT(readv);
    if (field(READ_EVERY) > 0 && is_socket(fd) && fails(&reads, READ_EVERY, interrupted, 1))
        return -1;
    return next_readv(fd, parts, count);
}

/* What a file's write or sync does while the disk fails: 0 if it works. */
static int disk_fails(int fd)
{
    int64_t error = field(DISK_ERRNO);
    if (error == 0 || !is_file(fd))
        return 0;
    atomic_fetch_add(&control[FAILED_CALLS], 1);
    errno = (int) error;
    return 1;
}

ssize_t write(int fd, const void *from, size_t count)
{
    NEXT(write);
    if (disk_fails(fd)) {
        int error = errno;
        if (field(DISK_SHORT) > 0 && count > 1)
            (void) !next_write(fd, from, count / 2);
        errno = error;
        return -1;
    }
    if ((field(WRITE_EVERY) > 0 || field(SHORT_BYTES) > 0) && is_socket(fd)) {
        if (fails(&writes, WRITE_EVERY, interrupted, 1))
            return -1;
        count = shortened(count);
    }
    return next_write(fd, from, count);
}

ssize_t writev(int fd, const struct iovec *parts, int count)
{
    NEXT(writev);
    if (disk_fails(fd))
        return -1;
    if ((field(WRITE_EVERY) > 0 || field(SHORT_BYTES) > 0) && is_socket(fd)) {
        if (fails(&writes, WRITE_EVERY, interrupted, 1))
            return -1;
        if (field(SHORT_BYTES) > 0 && count > 0 && parts[0].iov_len > 0)
            return write(fd, parts[0].iov_base, parts[0].iov_len);
    }
    return next_writev(fd, parts, count);
}

ssize_t pwrite64(int fd, const void *from, size_t count, off64_t at)
{
    NEXT(pwrite64);
    return disk_fails(fd) ? -1 : next_pwrite64(fd, from, count, at);
}

int fsync(int fd)
{
    NEXT(fsync);
    return disk_fails(fd) ? -1 : next_fsync(fd);
}

int fdatasync(int fd)
{
    NEXT(fdatasync);
    return disk_fails(fd) ? -1 : next_fdatasync(fd);
}

int open64(const char *path, int flags, ...)
{
    NEXT(open64);
    va_list rest;
    va_start(rest, flags);
    mode_t mode = flags & O_CREAT ? va_arg(rest, mode_t) : 0;
    va_end(rest);
    const char *config = getenv("RELAY_CONFIG");
    if (config != NULL && strcmp(config, path) == 0 && one_of(CONFIG_OPENS, config_errors, KINDS(config_errors)))
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
    NEXT(epoll_create1);
    return one_of(EPOLL_CREATES, epoll_errors, KINDS(epoll_errors)) ? -1 : next_epoll_create1(flags);
}

int eventfd(unsigned int initial, int flags)
{
    NEXT(eventfd);
    return one_of(EVENTFDS, eventfd_errors, KINDS(eventfd_errors)) ? -1 : next_eventfd(initial, flags);
}

int epoll_ctl(int epoll, int operation, int fd, struct epoll_event *event)
{
    NEXT(epoll_ctl);
    if (operation == EPOLL_CTL_ADD && field(EPOLL_ADD_AT) > 0 && atomic_fetch_sub(&control[EPOLL_ADD_AT], 1) == 1) {
        atomic_fetch_add(&control[FAILED_CALLS], 1);
        errno = ENOMEM;
        return -1;
    }
    return next_epoll_ctl(epoll, operation, fd, event);
}

int pthread_create(pthread_t *thread, const pthread_attr_t *attributes, void *(*start)(void *), void *argument)
{
    NEXT(pthread_create);
    int64_t from = field(THREADS_FROM);
    if ((int64_t) atomic_fetch_add(&threads, 1) + 1 >= from && from > 0) {
        atomic_fetch_add(&control[FAILED_CALLS], 1);
        return EAGAIN;
    }
    return next_pthread_create(thread, attributes, start, argument);
}

int clock_gettime(clockid_t clock, struct timespec *now)
{
    NEXT(clock_gettime);
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
    NEXT(gettimeofday);
    int result = next_gettimeofday(now, zone);
    if (result == 0) {
        int64_t micros = now->tv_usec + field(CLOCK_STEP_MS) % 1000 * 1000;
        now->tv_sec += field(CLOCK_STEP_MS) / 1000 + (micros < 0 ? -1 : micros / 1000000);
        now->tv_usec = (micros + 1000000) % 1000000;
    }
    return result;
}
