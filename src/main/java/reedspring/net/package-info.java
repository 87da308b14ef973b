/**
 * The network side of the front. One event loop thread owns the sockets, the timers and the decisions; every
 * class here is used on that thread only, except for {@link reedspring.net.Startup}.
 */
package reedspring.net;
