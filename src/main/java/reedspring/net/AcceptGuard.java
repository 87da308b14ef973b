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
 * A handler between the listener and Netty's acceptor. It bounds how many connections are accepted in one
 * turn of the event loop, keeps accepting after a failed accept, where Netty would pause for a second, and
 * tracks a lower bound of the time at which an accepted connection arrived. Times are in ticks; one tick is a
 * tenth of a millisecond.
 *
 * <p>At the limit on connections it accepts no more until all ready sockets have been read: ends that lie
 * there make room before another connection is closed for a new one, or a new one is refused.
 */
final class AcceptGuard extends ChannelInboundHandlerAdapter implements FrontServerSocketChannel.AcceptGate {
    /** Maximum number of connections that Netty accepts in one read loop. */
    private static final int ACCEPTS_PER_PASS = 16;
    /** An interrupted accept looks like an empty accept queue; two in a row count as empty. */
    private static final int EMPTY_PASSES = 2;

    private final Front front;
    private final AcceptBackoff backoff = new AcceptBackoff();
    private ArrivalBound arrival;
    private int accepted;
    /** Connections that Netty has accepted and not passed on yet. */
    private int passedOnLater;
    private long acceptTurn = -1;
    private int acceptedInTurn;
    /** Whether the gate refused an accept in the current read of the listener. */
    private boolean heldBack;
    /** Whether the ready sockets of this turn have been read, so that room may be made by closing others. */
    private boolean afterReads;
    private boolean continuationPlanned;
    private boolean acceptingAll;
    private boolean failed;
    private boolean paused;
    private Channel listener;
    /** The selector has reported a connection, which proves that the listener is registered. */
    private boolean selectorReported;
    private boolean acceptingWithoutSelector;
    private long lastEmptyAt;

    AcceptGuard(Front front) {
        this.front = front;
    }

    /** Whether accepting is paused after a failure, so that connections may be waiting. */
    boolean paused() {
        return paused;
    }

    /** Lower bound of the arrival time of the connection that is being accepted, in ticks. */
    long earliestArrival() {
        return acceptingWithoutSelector ? arrival.earliestIfUnreported(lastEmptyAt) : arrival.earliest();
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        arrival = new ArrivalBound(front.turns(), front.clock(), front.clock().now());
        listener = ctx.channel();
        lastEmptyAt = front.clock().now();
        if (listener instanceof FrontServerSocketChannel socket) {
            socket.setAcceptGate(this);
        }
    }

    @Override
    public boolean mayAccept() {
        startTurn();
        boolean budgetLeft = acceptedInTurn < front.limits().acceptsPerTurn;
        boolean roomLeft = afterReads || front.clientConnections().freePlaces() > passedOnLater;
        heldBack |= !budgetLeft || !roomLeft;
        return budgetLeft && roomLeft;
    }

    @Override
    public void onAccept() {
        startTurn();
        acceptedInTurn++;
        passedOnLater++;
    }

    private void startTurn() {
        if (acceptTurn != front.turns().turnNumber()) {
            acceptTurn = front.turns().turnNumber();
            acceptedInTurn = 0;
        }
    }

    /**
     * Accepts without the selector as long as that has reported no connection: the listener's registration
     * may have failed.
     */
    void tick() {
        if (selectorReported || paused || listener == null || !listener.isActive()) {
            return;
        }
        int before = accepted;
        long now = front.clock().now();
        acceptingWithoutSelector = true;
        try {
            acceptAll(listener);
        } finally {
            acceptingWithoutSelector = false;
            lastEmptyAt = now;
        }
        if (accepted > before) {
            accepted = 0;
            front.reregister(listener);
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object connection) {
        accepted++;
        passedOnLater = Math.max(0, passedOnLater - 1);
        selectorReported |= !acceptingAll;
        backoff.onSuccess();
        ctx.fireChannelRead(connection);
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        if (!acceptingAll) {
            boolean more = accepted >= ACCEPTS_PER_PASS || heldBack;
            // If the queue filled during a stall, any connection in it may be old until it is empty.
            if (!paused && (more || arrival.mayHaveWaited())) {
                more = !acceptAll(ctx.channel());
            }
            if (more) {
                arrival.markNotEmptied();
            }
            accepted = 0;
        }
        ctx.fireChannelReadComplete();
    }

    /**
     * Accepts all waiting connections, as far as the limits of a turn and on connections allow.
     *
     * @return false if an accept failed or connections may still be waiting
     */
    private boolean acceptAll(Channel listener) {
        if (!(listener.unsafe() instanceof AbstractNioChannel.NioUnsafe acceptor)) {
            return false;
        }
        acceptingAll = true;
        failed = false;
        heldBack = false;
        try {
            int emptyPasses = 0;
            while (emptyPasses < EMPTY_PASSES && !failed && !heldBack) {
                int before = accepted;
                acceptor.read();
                emptyPasses = accepted == before ? emptyPasses + 1 : 0;
            }
            if (heldBack) {
                front.recordBudgetMet(LoopBudget.ACCEPTS, acceptedInTurn + " in a turn");
                continueAfterReads();
            }
            return emptyPasses == EMPTY_PASSES && !heldBack;
        } finally {
            acceptingAll = false;
        }
    }

    /** Accepts the rest once the ready sockets of the next turn have been read. */
    private void continueAfterReads() {
        if (continuationPlanned) {
            return;
        }
        continuationPlanned = true;
        front.turns().runInNextTurn(() -> {
            continuationPlanned = false;
            if (paused || !listener.isActive()) {
                return;
            }
            afterReads = true;
            try {
                if (!acceptAll(listener)) {
                    arrival.markNotEmptied();
                }
                accepted = 0;
            } finally {
                afterReads = false;
            }
        });
    }

    /** Not forwarded: Netty's acceptor would disable the listener for a second. */
    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (!(cause instanceof IOException)) {
            FatalErrors.logOrEndProcess(front.log(), "listener fault", cause);
            return;
        }
        failed = true;
        arrival.markNotEmptied();
        Cause failureCause = classify(cause);
        front.log().warn("accept failed", failureCause + ", " + cause.getMessage());
        front.counters().add(failureCause);
        // One pass can fail twice but pauses only once.
        long delayTicks = paused ? 0 : backoff.onFailure(failureCause);
        if (delayTicks > 0) {
            Channel listener = ctx.channel();
            paused = true;
            listener.config().setAutoRead(false);
            front.timers().scheduleIn(delayTicks, () -> acceptAgain(listener));
        }
    }

    private void acceptAgain(Channel listener) {
        paused = false;
        // The listener was not polled during the pause.
        arrival.markNotEmptied();
        if (listener.isOpen()) {
            listener.config().setAutoRead(true);
        }
    }

    /** Classified by the system's error text, as the JDK passes no error number on. */
    private static Cause classify(Throwable failure) {
        String message = String.valueOf(failure.getMessage()).toLowerCase(Locale.ROOT);
        if (message.contains("too many open files")) {
            return Cause.DESCRIPTORS;
        }
        if (message.contains("no buffer space") || message.contains("cannot allocate memory")) {
            return Cause.MEMORY;
        }
        boolean networkError = message.contains("aborted") || message.contains("unreachable")
                || message.contains("protocol") || message.contains("network is down")
                || message.contains("host is down") || message.contains("not supported");
        return networkError ? Cause.CONNECTION : Cause.OTHER;
    }
}
