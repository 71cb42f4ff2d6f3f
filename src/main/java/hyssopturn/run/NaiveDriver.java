package hyssopturn.run;

import hyssopturn.event.Detail;
import hyssopturn.event.EventRing;
import hyssopturn.helper.Causes;
import hyssopturn.member.View;
import hyssopturn.model.AnswerEvent;
import hyssopturn.model.Bytes;
import hyssopturn.model.Reason;
import hyssopturn.port.EngineClient;
import hyssopturn.port.EngineClient.Dial;
import hyssopturn.port.EngineClient.Step;
import hyssopturn.port.EngineClient.StepResult;
import hyssopturn.port.EngineClient.Token;
import hyssopturn.port.RefusedException;
import hyssopturn.route.Chain;
import hyssopturn.route.ChainChooser;

import io.smallrye.mutiny.Multi;
import io.smallrye.mutiny.subscription.BackPressureStrategy;
import io.smallrye.mutiny.subscription.MultiEmitter;

import java.util.Optional;
import java.util.function.Supplier;

/** Baseline driver: one chain, one attempt, no recovery. */
public final class NaiveDriver implements Driver {
    private static final int ATTEMPT = 1;

    private final EngineClient engines;
    private final ChainChooser chooser;
    private final Supplier<View> view;
    private final EventRing events;

    /**
     * Creates the driver.
     *
     * @param engines client of the engines
     * @param chooser chooses the chain
     * @param view engines that may be chosen
     * @param events records attempts and failures
     */
    public NaiveDriver(
            EngineClient engines, ChainChooser chooser, Supplier<View> view, EventRing events) {
        this.engines = engines;
        this.chooser = chooser;
        this.view = view;
        this.events = events;
    }

    @Override
    public Multi<AnswerEvent> run(Generation generation) {
        return Multi.createFrom().emitter(e -> start(generation, e), BackPressureStrategy.BUFFER);
    }

    private void start(Generation generation, MultiEmitter<? super AnswerEvent> emitter) {
        ChainChooser.Query query =
                new ChainChooser.Query(
                        generation.model(),
                        generation.prompt().size(),
                        generation.prefix(),
                        generation.workClass().target());
        Optional<Chain> chain = chooser.choose(query, view.get());
        if (chain.isEmpty()) {
            String message = "no engines hold all layers of " + generation.model().id();
            emitter.emit(AnswerEvent.End.notRun(Reason.NO_ENDPOINT, message));
            emitter.complete();
            return;
        }
        events.record(
                generation.request(), new Detail.AttemptBegan(ATTEMPT, chain.get().describe()));
        Attempt attempt = new Attempt(generation, chain.get(), emitter);
        emitter.onTermination(attempt::release);
        attempt.step(0, 0, generation.prompt().size(), generation.prompt().pack());
    }

    private final class Attempt {
        private final Generation generation;
        private final Chain chain;
        private final MultiEmitter<? super AnswerEvent> emitter;
        private int delivered;
        private boolean ran;

        Attempt(Generation generation, Chain chain, MultiEmitter<? super AnswerEvent> emitter) {
            this.generation = generation;
            this.chain = chain;
            this.emitter = emitter;
        }

        void step(int stage, int position, int count, Bytes input) {
            if (emitter.isCancelled()) {
                return;
            }
            Chain.Stage current = chain.stages().get(stage);
            Step step =
                    new Step(
                            generation.request(),
                            ATTEMPT,
                            chain.model(),
                            current.layers(),
                            position,
                            count,
                            input,
                            generation.prefix(),
                            0);
            engines.step(current.engine().address(), step, Dial.POOLED)
                    .whenComplete(
                            (result, error) -> {
                                if (error == null) {
                                    done(stage, position, count, result);
                                } else {
                                    failed(current, error);
                                }
                            });
        }

        private void done(int stage, int position, int count, StepResult result) {
            ran = true;
            if (stage + 1 < chain.stages().size()) {
                step(stage + 1, position, count, result.output());
                return;
            }
            Token token = result.token().orElseThrow();
            emitter.emit(new AnswerEvent.Token(delivered, token.text()));
            delivered++;
            if (token.last() || delivered == generation.maxTokens()) {
                emitter.emit(AnswerEvent.End.done());
                emitter.complete();
                return;
            }
            step(0, position + count, 1, Prompt.pack(token.id()));
        }

        private void failed(Chain.Stage current, Throwable error) {
            Throwable cause = Causes.unwrap(error);
            events.record(
                    generation.request(),
                    new Detail.EndpointFailed(current.engine().id(), cause.toString()));
            emitter.emit(end(cause));
            emitter.complete();
        }

        private AnswerEvent.End end(Throwable cause) {
            if (ran) {
                return AnswerEvent.End.failed(Reason.ENDPOINT_FAILED, cause.getMessage());
            }
            return cause instanceof RefusedException
                    ? AnswerEvent.End.notRun(Reason.NO_ENDPOINT, cause.getMessage())
                    : AnswerEvent.End.unknown(cause.getMessage());
        }

        private void release() {
            for (Chain.Stage stage : chain.stages()) {
                engines.cancel(stage.engine().address(), generation.request(), ATTEMPT);
            }
        }
    }
}
