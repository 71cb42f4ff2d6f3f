package hyssopturn.member;

import hyssopturn.model.InstanceId;
import hyssopturn.port.EngineClient.Holding;
import hyssopturn.port.Instance;

import java.util.List;

/**
 * Something that nodes tell each other of an instance.
 *
 * <p>Facts of the same subject and kind are totally ordered: the greater replaces the smaller, so
 * that merging is idempotent and the order of messages does not matter.
 */
public sealed interface Fact {
    /**
     * Returns the instance that the fact is about.
     *
     * @return its name
     */
    InstanceId subject();

    /**
     * Returns the incarnation that the fact is about.
     *
     * @return its number
     */
    long incarnation();

    /** Kind of a fact, with the priority of its spread. */
    enum Kind {
        /** The subject takes no new work. */
        LEAVING(0, Priority.URGENT),
        /** The subject is alive, suspected or dead. */
        LIVENESS(1, Priority.URGENT),
        /** The subject was on the instance list. */
        LISTING(2, Priority.NORMAL),
        /** What an engine holds. */
        REPORT(3, Priority.NORMAL),
        /** How busy an engine is. */
        LOAD(4, Priority.LAZY),
        /** Which configuration a node has in force. */
        CONFIG(5, Priority.LAZY);

        private final int index;
        private final Priority priority;

        Kind(int index, Priority priority) {
            this.index = index;
            this.priority = priority;
        }

        int index() {
            return index;
        }

        Priority priority() {
            return priority;
        }
    }

    /** Order in which facts get a share of the rate. */
    enum Priority {
        /** Sent at once. */
        URGENT(0),
        /** Sent in the next round. */
        NORMAL(1),
        /** Sent in a round that has rate to spare. */
        LAZY(2);

        private final int number;

        Priority(int number) {
            this.number = number;
        }

        /**
         * Returns the form on the wire.
         *
         * @return its number
         */
        public int number() {
            return number;
        }
    }

    /** Whether an instance takes part. */
    enum Health {
        /** It takes part. */
        ALIVE(0),
        /** It did not answer; dead soon unless it refutes this. */
        SUSPECT(1),
        /** It does not take part. */
        DEAD(2);

        private final int number;

        Health(int number) {
            this.number = number;
        }

        /**
         * Returns the form on the wire, which grows from better to worse.
         *
         * @return its number
         */
        public int number() {
            return number;
        }
    }

    /**
     * The subject takes no new work, which is final for its incarnation.
     *
     * @param subject the instance
     * @param incarnation its incarnation
     */
    record Leaving(InstanceId subject, long incarnation) implements Fact {}

    /**
     * Whether the subject takes part.
     *
     * @param subject the instance
     * @param incarnation its incarnation
     * @param counter grows each time a worse state is refuted
     * @param health the state
     */
    record Liveness(InstanceId subject, long incarnation, long counter, Health health)
            implements Fact {}

    /**
     * The subject was on the instance list.
     *
     * @param instance its entry, never marked as leaving
     */
    record Listing(Instance instance) implements Fact {
        @Override
        public InstanceId subject() {
            return instance.id();
        }

        @Override
        public long incarnation() {
            return instance.incarnation();
        }
    }

    /**
     * What an engine holds.
     *
     * @param subject the engine
     * @param incarnation its incarnation
     * @param version grows with each change
     * @param reachable false if those who poll it get no answer
     * @param held what it holds ready
     * @param loading what it is loading
     * @param term highest fencing number that it has seen
     */
    record Report(
            InstanceId subject,
            long incarnation,
            long version,
            boolean reachable,
            List<Holding> held,
            List<Holding> loading,
            long term)
            implements Fact {
        /** Copies the lists. */
        public Report {
            held = List.copyOf(held);
            loading = List.copyOf(loading);
        }
    }

    /**
     * How busy an engine is.
     *
     * @param subject the engine
     * @param incarnation its incarnation
     * @param version grows with each change
     * @param running number of requests in its batch
     * @param waiting number of steps that wait
     * @param kvFreeTokens room for cached tokens
     * @param stepMillis recent time of a decode step, in milliseconds
     */
    record Load(
            InstanceId subject,
            long incarnation,
            long version,
            int running,
            int waiting,
            long kvFreeTokens,
            float stepMillis)
            implements Fact {}

    /**
     * Which configuration a node has in force.
     *
     * @param subject the node
     * @param incarnation its incarnation
     * @param version version of the configuration
     */
    record ConfigInForce(InstanceId subject, long incarnation, long version) implements Fact {}

    /**
     * Returns the kind.
     *
     * @return the kind
     */
    default Kind kind() {
        return switch (this) {
            case Leaving f -> Kind.LEAVING;
            case Liveness f -> Kind.LIVENESS;
            case Listing f -> Kind.LISTING;
            case Report f -> Kind.REPORT;
            case Load f -> Kind.LOAD;
            case ConfigInForce f -> Kind.CONFIG;
        };
    }

    /**
     * Tells whether this fact replaces another one of the same subject and kind.
     *
     * @param other the other fact
     * @return true if this one is greater
     */
    default boolean replaces(Fact other) {
        if (incarnation() != other.incarnation()) {
            return incarnation() > other.incarnation();
        }
        return switch (this) {
            case Leaving f -> false;
            case Liveness f -> worse(f, (Liveness) other);
            case Listing f ->
                    place(f.instance()).compareTo(place(((Listing) other).instance())) > 0;
            case Report f -> f.version() > ((Report) other).version();
            case Load f -> f.version() > ((Load) other).version();
            case ConfigInForce f -> f.version() > ((ConfigInForce) other).version();
        };
    }

    private static boolean worse(Liveness one, Liveness other) {
        int byCounter = Long.compare(one.counter(), other.counter());
        return byCounter > 0 || (byCounter == 0 && one.health().compareTo(other.health()) > 0);
    }

    private static String place(Instance instance) {
        return instance.address() + " " + instance.zone() + " " + instance.role();
    }
}
