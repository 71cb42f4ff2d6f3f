package hyssopturn.share;

import hyssopturn.model.Address;

import java.util.Map;

/** Reads of the holders of the partitions, as far as nodes share them. */
public interface HolderReads {
    /**
     * Returns the holders that are known.
     *
     * @return addresses of nodes by the number of the partition, empty before the first read
     */
    Map<Integer, Address> holders();

    /**
     * Returns the time as of which the holders are known.
     *
     * @return the time by the clock, meaningless before the first read
     */
    long readNanos();

    /**
     * Returns whether this node needs recent holders.
     *
     * @return true if it would read them often
     */
    boolean needed();

    /**
     * Receives what another node has read.
     *
     * @param holders addresses of nodes by the number of the partition
     * @param asOfNanos time as of which they hold the partitions
     */
    void receive(Map<Integer, Address> holders, long asOfNanos);

    /**
     * Reads the holders for other nodes, too.
     *
     * @param needed true if one of them needs recent ones
     */
    void readForOthers(boolean needed);

    /** Reads the holders for this node only. */
    void readForItself();
}
