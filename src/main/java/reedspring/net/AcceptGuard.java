package reedspring.net;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.nio.AbstractNioChannel;
import java.io.IOException;
import java.util.Locale;
import reedspring.core.policy.AcceptBackoff;
import reedspring.core.policy.AcceptBackoff.Cause;

/**
 * Stands between the listener and Netty's acceptor: keeps accepting after an accept that failed, where Netty
 * would stop for a second, and knows by when the connections that come had not come yet.
 */
final class AcceptGuard extends ChannelInboundHandlerAdapter {
    /** Netty accepts so many in one pass. */
    private static final int ACCEPTED_IN_A_PASS = 16;
    /** An interrupted accept looks like an empty queue; two of them in a row are taken for one. */
    private static final int EMPTY_PASSES = 2;
    private static final int MOST_PASSES = 256;

    private final Front front;
    private final AcceptBackoff backoff = new AcceptBackoff();
    private ArrivalBound arrival;
    private int accepted;
    private boolean acceptingAll;
    private boolean failed;
    private boolean rests;
    private Channel listener;
    /** The selector has told of a connection, so that it knows the listener. */
    private boolean told;
    private boolean lookingPastSelector;
    private long seenEmptyAt;

    AcceptGuard(Front front) {
        this.front = front;
    }

    /** Whether connections may wait that could not be accepted yet. */
    boolean rests() {
        return rests;
    }

    /** For the connection that is being accepted: it was not there before. In tenths of a millisecond. */
    long earliestArrival() {
        return lookingPastSelector ? arrival.earliestUntold(seenEmptyAt) : arrival.earliest();
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        arrival = new ArrivalBound(front.turns(), front.clock(), front.clock().now());
        listener = ctx.channel();
        seenEmptyAt = front.clock().now();
    }

    /** Accepts by itself while the selector has told of no connection: it may not know the listener. */
    void tick() {
        if (told || rests || listener == null || !listener.isActive()) {
            return;
        }
        int before = accepted;
        long now = front.clock().now();
        lookingPastSelector = true;
        try {
            acceptAll(listener);
        } finally {
            lookingPastSelector = false;
            seenEmptyAt = now;
        }
        if (accepted > before) {
            accepted = 0;
            front.registersAnew(listener);
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object connection) {
        accepted++;
        told |= !acceptingAll;
        backoff.succeeded();
        ctx.fireChannelRead(connection);
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        if (!acceptingAll) {
            boolean more = accepted >= ACCEPTED_IN_A_PASS;
            if (!rests && arrival.mayHaveWaited()) {
                // The queue filled while the process stood still: until it is empty, all in it may be as old.
                more = !acceptAll(ctx.channel());
            }
            if (more) {
                arrival.notEmptied();
            }
            accepted = 0;
        }
        ctx.fireChannelReadComplete();
    }

    /** Accepts all that waits; false if accepts fail or there is no end to it. */
    private boolean acceptAll(Channel listener) {
        if (!(listener.unsafe() instanceof AbstractNioChannel.NioUnsafe queue)) {
            return false;
        }
        acceptingAll = true;
        failed = false;
        try {
            int empty = 0;
            for (int pass = 0; pass < MOST_PASSES && empty < EMPTY_PASSES && !failed; pass++) {
                int before = accepted;
                queue.read();
                empty = accepted == before ? empty + 1 : 0;
            }
            return empty == EMPTY_PASSES;
        } finally {
            acceptingAll = false;
        }
    }

    /** Not passed on: Netty's acceptor would switch the listener off for a second. */
    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (!(cause instanceof IOException)) {
            front.log().fault("listener fault", cause);
            return;
        }
        failed = true;
        arrival.notEmptied();
        Cause why = causeOf(cause);
        front.log().line("accept failed", why + ", " + cause.getMessage());
        front.counters().add(why);
        // One look can fail twice, and rests once.
        long rest = rests ? 0 : backoff.failed(why);
        if (rest > 0) {
            Channel listener = ctx.channel();
            rests = true;
            listener.config().setAutoRead(false);
            front.timers().in(rest, () -> acceptAgain(listener));
        }
    }

    private void acceptAgain(Channel listener) {
        rests = false;
        // Nobody has polled it meanwhile.
        arrival.notEmptied();
        if (listener.isOpen()) {
            listener.config().setAutoRead(true);
        }
    }

    /** By the system's words for the error, which is all that the JDK passes on. */
    private static Cause causeOf(Throwable failure) {
        String words = String.valueOf(failure.getMessage()).toLowerCase(Locale.ROOT);
        if (words.contains("too many open files")) {
            return Cause.DESCRIPTORS;
        }
        if (words.contains("no buffer space") || words.contains("cannot allocate memory")) {
            return Cause.MEMORY;
        }
        boolean ofTheNetwork = words.contains("aborted") || words.contains("unreachable")
                || words.contains("protocol") || words.contains("network is down")
                || words.contains("host is down") || words.contains("not supported");
        return ofTheNetwork ? Cause.CONNECTION : Cause.OTHER;
    }
}
