package hyssopturn.bench;

import java.time.Duration;

/** Something that breaks at a set time and is whole again later. */
sealed interface Fault {
    /** Returns when it breaks, from the start of the run. */
    Duration from();

    /** Returns when capacity is whole again, from the start of the run. */
    Duration to();

    /** All engines and nodes of a zone are gone. */
    record ZoneLost(int zone, Duration from, Duration to) implements Fault {}

    /** Every so many-th engine is gone. */
    record EnginesLost(int every, Duration from, Duration to) implements Fault {}

    /** Links to the engines of a zone are slower. */
    record LinkSlowed(int zone, int factor, Duration from, Duration to) implements Fault {}

    /** The platform's log answers nothing. */
    record PlatformDown(Duration from, Duration to) implements Fault {}

    /** Nodes are replaced one after another. */
    record NodesReplaced(Duration from, Duration to) implements Fault {}
}
