package reedspring.net;

import java.net.InetSocketAddress;
import reedspring.api.Event;

/**
 * An engine as the journal names it. Its name is its id: an address can be another's later.
 * {@code bornMs} is its start as the service words it, by the system's clock.
 */
record Host(Event.Listing listing, InetSocketAddress address, long bornMs) {
}
