package hyssopturn.run;

import hyssopturn.model.AnswerEvent;

import io.smallrye.mutiny.Multi;

/** Runs generations. */
@FunctionalInterface
public interface Driver {
    /**
     * Runs a generation from its first token to its end.
     *
     * @param generation the generation to run
     * @return tokens in order, then one end; cancelling the stream cancels the run at the engines
     */
    Multi<AnswerEvent> run(Generation generation);
}
