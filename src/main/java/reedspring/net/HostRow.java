package reedspring.net;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import reedspring.api.Event.Health;
import reedspring.api.Id;
import reedspring.boot.InvalidConfigurationException;

/** An engine as parsed from a list, before its start time is converted to this process's clock. */
record HostRow(Id.Engine engine, Id.Kind kind, Id.Zone zone, Id.Cell cell, Health health,
               InetSocketAddress address, long startedAtUnixMs) {

    /** Reads the rows of one list. Kinds, zones and cells are shared between rows to save memory. */
    static final class Reader implements Json.ElementMapper {
        private final Map<String, Id.Kind> kinds = new HashMap<>();
        private final Map<String, Id.Zone> zones = new HashMap<>();
        private final Map<Long, Id.Cell> cells = new HashMap<>();
        private final int maxRows;
        private int rowCount;

        /** @param maxRows rows to read; further rows are only counted */
        Reader(int maxRows) {
            this.maxRows = maxRows;
        }

        /** Returns null for rows past the maximum. */
        @Override
        public HostRow map(Map<?, ?> host) throws InvalidConfigurationException {
            if (++rowCount > maxRows) {
                return null;
            }
            return new HostRow(new Id.Engine(Json.text(host, "host")),
                    kinds.computeIfAbsent(optional(host, "class"), Id.Kind::new),
                    zones.computeIfAbsent(optional(host, "site"), Id.Zone::new),
                    cells.computeIfAbsent(Json.wholeNumber(host, "block", 0), Id.Cell::new),
                    parseHealth(Json.text(host, "health")),
                    FrontConfiguration.parseAddress(Json.text(host, "dial"), "dial"),
                    Json.wholeNumber(host, "born_ms", 0));
        }

        /** The number of rows seen, including those past the maximum. */
        int rowCount() {
            return rowCount;
        }

        private static String optional(Map<?, ?> host, String field) {
            return host.get(field) instanceof String text ? text : "";
        }

        private static Health parseHealth(String state) throws InvalidConfigurationException {
            return switch (state) {
                case "ready" -> Health.UP;
                case "draining" -> Health.DRAINING;
                case "gone" -> Health.GONE;
                default -> throw new InvalidConfigurationException("health",
                        "'" + state + "' is not an engine state");
            };
        }
    }
}
