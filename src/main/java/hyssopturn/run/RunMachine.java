package hyssopturn.run;

import java.util.List;

/** State machine of a run: maps each event to actions, performs no I/O and reads no clock. */
@FunctionalInterface
interface RunMachine {
    /**
     * Handles an event.
     *
     * @param event the event
     * @param now time of the event in nanoseconds, on the node's monotonic clock
     * @return the actions to perform, in order
     */
    List<RunAction> on(RunEvent event, long now);
}
