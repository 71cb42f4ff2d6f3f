package hyssopturn.run;

import java.util.List;

/** Decides what a run does next; does nothing itself and reads no clock. */
@FunctionalInterface
interface RunMachine {
    /**
     * Takes in what happened.
     *
     * @param event what happened
     * @param now when, on the node's monotonic clock
     * @return what to do, in order
     */
    List<RunAction> on(RunEvent event, long now);
}
