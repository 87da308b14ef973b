package reedspring.net;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import reedspring.api.Event.Health;
import reedspring.api.Id;
import reedspring.boot.BootException;

/** An engine as a list names it, before it is known when that was by this process's clock. */
record HostRow(Id.Engine engine, Id.Kind kind, Id.Zone zone, Id.Cell cell, Health health,
               InetSocketAddress address, long bornMs) {

    /** Reads the rows of one list. What thousands of them share is held once. */
    static final class Reader implements Json.Element {
        private final Map<String, Id.Kind> kinds = new HashMap<>();
        private final Map<String, Id.Zone> zones = new HashMap<>();
        private final Map<Long, Id.Cell> cells = new HashMap<>();
        private final int most;
        private int rows;

        /** @param most rows that are read; the rest is counted */
        Reader(int most) {
            this.most = most;
        }

        /** Null for one too many. */
        @Override
        public HostRow of(Map<?, ?> host) throws BootException {
            if (++rows > most) {
                return null;
            }
            return new HostRow(new Id.Engine(Json.text(host, "host")),
                    kinds.computeIfAbsent(optional(host, "class"), Id.Kind::new),
                    zones.computeIfAbsent(optional(host, "site"), Id.Zone::new),
                    cells.computeIfAbsent(Json.whole(host, "block", 0), Id.Cell::new),
                    health(Json.text(host, "health")),
                    FrontConfiguration.address(Json.text(host, "dial"), "dial"),
                    Json.whole(host, "born_ms", 0));
        }

        /** Of all that were read, also past the most. */
        int rows() {
            return rows;
        }

        private static String optional(Map<?, ?> host, String field) {
            return host.get(field) instanceof String text ? text : "";
        }

        private static Health health(String word) throws BootException {
            return switch (word) {
                case "ready" -> Health.UP;
                case "draining" -> Health.DRAINING;
                case "gone" -> Health.GONE;
                default -> throw new BootException("health", "'" + word + "' is no state of an engine");
            };
        }
    }
}
