package reedspring.net;

import io.netty.channel.EventLoop;
import java.io.IOException;
import reedspring.boot.BootException;
import reedspring.settings.StandingOrders;

/** Brings up what an installation's settings switch on, on the front's loop. */
final class Installation implements Startup.Additions {
    private final StandingOrders orders;

    Installation(StandingOrders orders) {
        this.orders = orders;
    }

    @Override
    public Log.JsonLines jsonLines() {
        return orders.jsonLog() ? new JsonLog() : null;
    }

    @Override
    public void join(Front front, EventLoop loop, String name) throws BootException {
        if (orders.spool() != null) {
            try {
                front.keepsAnswers(new KeptAnswers(front, loop, name, orders.spool()));
            } catch (IOException e) {
                throw new BootException("[spool] folder", String.valueOf(e.getMessage()));
            }
        }
    }
}
