package reedspring.api;

/** Typed identifiers, so that none can be passed in place of another. */
public sealed interface Id {
    /** A query of one front. */
    record Query(long value) implements Id {
    }

    /** A submission of a query, numbered from 0. */
    record Submission(int value) implements Id {
    }

    /** A query engine by the name that its protocol uses: an address or a permanent name. */
    record Engine(String address) implements Id {
    }

    /** A resource group, as an index into {@link Deployment#groups()}. */
    record Group(int index) implements Id {
    }

    /** A tenant, as an index into {@link Deployment#tenants()}, or {@link #UNKNOWN}. */
    record Tenant(int index) implements Id {
        public static final Tenant UNKNOWN = new Tenant(-1);
    }

    /** A key whose queries run one at a time, in groups that require order. */
    record OrderKey(String value) implements Id {
    }

    /** A set of tables that a query reads. */
    record DataSet(long value) implements Id {
        public static final DataSet UNKNOWN = new DataSet(-1);
    }

    /** A location of engines. */
    record Zone(String name) implements Id {
    }

    /** A set of engines that recognise repeats of queries that ran on any of them. */
    record Cell(long value) implements Id {
    }

    /** A kind of machine that engines run on. */
    record Kind(String name) implements Id {
    }

    /** A timer started with {@link Action.StartTimer}. */
    record Timer(long value) implements Id {
    }
}
