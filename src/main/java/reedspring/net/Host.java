package reedspring.net;

import java.net.InetSocketAddress;
import reedspring.api.Event;

/**
 * An engine as the journal lists it. It is identified by its name, as an address may pass to another engine.
 * {@code startedAtUnixMs} is the start time from the journal, by the system clock.
 */
record Host(Event.Listing listing, InetSocketAddress address, long startedAtUnixMs) {
}
