package hyssopturn.load;

import hyssopturn.helper.Check;

import java.time.Duration;

/** Message between two nodes about the load of one scope. */
public sealed interface LoadMessage {
    /** Greatest number of fragments of a message. */
    int MAX_FRAGMENTS = 16;

    /**
     * Returns what the load is about.
     *
     * @return the scope
     */
    LoadScope scope();

    /**
     * Returns the load.
     *
     * @return the load, or the part of it that the fragment holds
     */
    MeasuredLoad load();

    /**
     * Returns which part of a message this is; the messages of a scope that do not fit into a
     * datagram are split by engines.
     *
     * @return the fragment
     */
    Fragment fragment();

    /**
     * Returns this message with another load.
     *
     * @param load the load
     * @param fragment the part of the message that it is
     * @return the copy
     */
    LoadMessage with(MeasuredLoad load, Fragment fragment);

    /**
     * Position of a fragment.
     *
     * @param index its number, from 0
     * @param count number of fragments of the message
     */
    record Fragment(int index, int count) {
        /** A whole message. */
        public static final Fragment WHOLE = new Fragment(0, 1);

        /** Checks the range. */
        public Fragment {
            Check.inRange(count, 1, MAX_FRAGMENTS, "fragments");
            Check.inRange(index, 0, count - 1, "fragment");
        }
    }

    /**
     * A node's own load, and the question for the sum of all.
     *
     * @param scope what the load is about
     * @param start time of the node's start, in milliseconds since 1970
     * @param sequence number that grows with each report
     * @param standIn true if the receiver stands in for the holder of the scope's partition
     * @param knownNames digest of the engines of the last sum, so that it need not name them again;
     *     0 if none is known
     * @param load load by this node's requests
     * @param fragment part of the message
     */
    record Report(
            LoadScope scope,
            long start,
            long sequence,
            boolean standIn,
            int knownNames,
            MeasuredLoad load,
            Fragment fragment)
            implements LoadMessage {
        @Override
        public Report with(MeasuredLoad other, Fragment part) {
            return new Report(scope, start, sequence, standIn, knownNames, other, part);
        }
    }

    /**
     * The sum of the loads of all nodes that were heard of late.
     *
     * @param scope what the load is about
     * @param start start that the report named
     * @param sequence number of the report that this answers
     * @param included number of the newest report of the asking node that the sum includes, 0 if
     *     none
     * @param nodes number of nodes that were summed up
     * @param age time since the oldest of their reports
     * @param misdirected true if the sender does not hold the scope's partition
     * @param names digest of the engines of the sum
     * @param load the sum
     * @param fragment part of the message
     */
    record Sum(
            LoadScope scope,
            long start,
            long sequence,
            long included,
            int nodes,
            Duration age,
            boolean misdirected,
            int names,
            MeasuredLoad load,
            Fragment fragment)
            implements LoadMessage {
        @Override
        public Sum with(MeasuredLoad other, Fragment part) {
            return new Sum(
                    scope, start, sequence, included, nodes, age, misdirected, names, other, part);
        }
    }
}
