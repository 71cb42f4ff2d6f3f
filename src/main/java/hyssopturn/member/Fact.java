package hyssopturn.member;

import hyssopturn.model.InstanceId;
import hyssopturn.port.EngineClient.Holding;
import hyssopturn.port.Instance;

import java.util.List;

/**
 * A statement about an instance that nodes replicate to each other.
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

    /** Kind of a fact, with the priority at which it is sent. */
    enum Kind {
        /** The subject accepts no new work. */
        LEAVING(0, Priority.URGENT),
        /** The subject is alive, suspected or dead. */
        LIVENESS(1, Priority.URGENT),
        /** The subject was on the instance list. */
        LISTING(2, Priority.NORMAL),
        /** Model layers that an engine holds. */
        REPORT(3, Priority.NORMAL),
        /** Load of an engine. */
        LOAD(4, Priority.LAZY),
        /** Version of the configuration in force at a node. */
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

    /** Priority of a fact when bandwidth is allotted. */
    enum Priority {
        /** Sent at once. */
        URGENT(0),
        /** Sent in the next round. */
        NORMAL(1),
        /** Sent in a round that has bandwidth left over. */
        LAZY(2);

        private final int number;

        Priority(int number) {
            this.number = number;
        }

        /**
         * Returns the number that encodes the priority on the wire.
         *
         * @return the number
         */
        public int number() {
            return number;
        }
    }

    /** Liveness state of an instance. */
    enum Health {
        /** The instance is considered running. */
        ALIVE(0),
        /** It did not answer; declared dead after a timeout unless it refutes this. */
        SUSPECT(1),
        /** It is considered failed or stopped. */
        DEAD(2);

        private final int number;

        Health(int number) {
            this.number = number;
        }

        /**
         * Returns the number that encodes the state on the wire; a worse state has a greater
         * number.
         *
         * @return the number
         */
        public int number() {
            return number;
        }
    }

    /**
     * The subject accepts no new work, which is final for its incarnation.
     *
     * @param subject the instance
     * @param incarnation its incarnation
     */
    record Leaving(InstanceId subject, long incarnation) implements Fact {}

    /**
     * Liveness of the subject.
     *
     * @param subject the instance
     * @param incarnation its incarnation
     * @param counter number that increases each time a worse state is refuted
     * @param health the liveness state
     */
    record Liveness(InstanceId subject, long incarnation, long counter, Health health)
            implements Fact {}

    /**
     * The subject was on the instance list.
     *
     * @param instance the list entry, never marked as leaving
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
     * Model layers that an engine holds.
     *
     * @param subject the engine
     * @param incarnation its incarnation
     * @param version number that increases with each change
     * @param reachable false if the nodes that poll the engine get no answer
     * @param held layers that are ready to serve
     * @param loading layers that are being loaded
     * @param term highest fencing token that the engine has seen
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
     * Load of an engine.
     *
     * @param subject the engine
     * @param incarnation its incarnation
     * @param version number that increases with each change
     * @param running number of requests in its batch
     * @param waiting number of queued steps
     * @param kvFreeTokens free capacity of the KV cache, in tokens
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
     * Version of the configuration in force at a node.
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
     * Returns whether this fact replaces another one of the same subject and kind.
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
            case Liveness f -> isWorse(f, (Liveness) other);
            case Listing f ->
                    listingKey(f.instance()).compareTo(listingKey(((Listing) other).instance()))
                            > 0;
            case Report f -> f.version() > ((Report) other).version();
            case Load f -> f.version() > ((Load) other).version();
            case ConfigInForce f -> f.version() > ((ConfigInForce) other).version();
        };
    }

    private static boolean isWorse(Liveness one, Liveness other) {
        int byCounter = Long.compare(one.counter(), other.counter());
        return byCounter > 0 || (byCounter == 0 && one.health().compareTo(other.health()) > 0);
    }

    private static String listingKey(Instance instance) {
        return instance.address() + " " + instance.zone() + " " + instance.role();
    }
}
