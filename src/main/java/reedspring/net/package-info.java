/**
 * The front on sockets. One event loop thread owns the sockets, the timers and the decisions; every class
 * here is used on that thread alone, but for {@link reedspring.net.Startup}.
 */
package reedspring.net;
