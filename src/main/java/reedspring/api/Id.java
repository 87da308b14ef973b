package reedspring.api;

/** The kinds of id; none is built from another, and none can be passed where another is meant. */
public sealed interface Id {
    /** A query as one front knows it. */
    record Query(long value) implements Id {
    }

    /** One submission of a query: 0, 1, 2 ... in the order in which they were made. */
    record Submission(int value) implements Id {
    }

    /** A query engine, by what its protocol names it: an address, or a name that outlives one. */
    record Engine(String address) implements Id {
    }

    /** A resource group: its place in {@link Deployment#groups()}. */
    record Group(int index) implements Id {
    }

    /** A tenant: its place in {@link Deployment#tenants()}, or {@link #NOBODY}. */
    record Tenant(int index) implements Id {
        public static final Tenant NOBODY = new Tenant(-1);
    }

    /** The key that orders queries of a group which asks for order. */
    record OrderKey(String value) implements Id {
    }

    /** A set of tables that a query reads. */
    record DataSet(long value) implements Id {
        public static final DataSet UNKNOWN = new DataSet(-1);
    }

    /** A place that engines stand in. */
    record Zone(String name) implements Id {
    }

    /** A set of engines that know of one another's repeats. */
    record Cell(long value) implements Id {
    }

    /** A kind of machine. */
    record Kind(String name) implements Id {
    }

    /** A timer that was asked for. */
    record Timer(long value) implements Id {
    }
}
