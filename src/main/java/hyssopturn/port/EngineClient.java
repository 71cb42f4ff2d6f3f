package hyssopturn.port;

import hyssopturn.model.Address;
import hyssopturn.model.Bytes;
import hyssopturn.model.LayerRange;
import hyssopturn.model.ModelId;
import hyssopturn.model.RequestId;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** Calls to model engines, each of which holds a range of layers. */
public interface EngineClient {
    /**
     * Runs one step: some consecutive tokens of one request through some layers.
     *
     * <p>Steps are idempotent: a step repeated with the same attempt and position returns the same
     * result and runs nothing twice. A step of an attempt lower than one that the engine has seen
     * is refused as stale.
     *
     * @param engine where the engine listens
     * @param step what to run
     * @param dial which connection to use
     * @return the result; fails with a {@link PortException}
     */
    CompletableFuture<StepResult> step(Address engine, Step step, Dial dial);

    /**
     * Cancels a request's attempts up to a number and frees their resources.
     *
     * @param engine where the engine listens
     * @param request the request
     * @param attempt highest attempt to cancel
     * @return completes when the engine has confirmed; fails with a {@link PortException}
     */
    CompletableFuture<Void> cancel(Address engine, RequestId request, int attempt);

    /**
     * Exports the cached state of a request.
     *
     * @param engine where the engine listens
     * @param request the request
     * @param layers layers whose state is exported
     * @return the state; fails with a {@link PortException}
     */
    CompletableFuture<KvState> exportKv(Address engine, RequestId request, LayerRange layers);

    /**
     * Imports cached state, so that steps can continue from its position.
     *
     * @param engine where the engine listens
     * @param request the request
     * @param attempt attempt that will use it
     * @param state the state
     * @return completes when the state is imported; fails with a {@link PortException}
     */
    CompletableFuture<Void> importKv(Address engine, RequestId request, int attempt, KvState state);

    /**
     * Reads the engine's report on its own state; its figures may be out of date.
     *
     * @param engine where the engine listens
     * @return the report; fails with a {@link PortException}
     */
    CompletableFuture<EngineReport> report(Address engine);

    /**
     * Orders the engine to hold exactly the listed layers; the call is idempotent.
     *
     * @param engine where the engine listens
     * @param order the desired state
     * @return completes when the order is accepted; fails with a {@link PortException}
     */
    CompletableFuture<Void> order(Address engine, Order order);

    /** Which connection a call uses. */
    enum Dial {
        /** Any pooled connection. */
        POOLED,
        /** A new connection; pooled ones to this receiver are closed. */
        FRESH
    }

    /**
     * Consecutive tokens to run through consecutive layers.
     *
     * @param request the request
     * @param attempt number of the attempt, from 1
     * @param model the model and version
     * @param layers layers to run
     * @param position position of the first token, from 0
     * @param count number of tokens, more than 1 for a prompt
     * @param input token ids for layer 0, else the activation of the layer before, 8 bytes a token
     * @param prefix hash of the prompt for prefix caches
     * @param priority priority of the step, lower values run first
     */
    record Step(
            RequestId request,
            int attempt,
            ModelId model,
            LayerRange layers,
            int position,
            int count,
            Bytes input,
            long prefix,
            int priority) {}

    /**
     * Result of a step.
     *
     * @param position position of the first token of the step
     * @param output activation of the last layer run, 8 bytes a token
     * @param token next token, if the last layer of the model ran
     */
    record StepResult(int position, Bytes output, Optional<Token> token) {}

    /**
     * A generated token.
     *
     * @param id its number in the vocabulary
     * @param text its text
     * @param last true if it is the last token of the answer
     */
    record Token(long id, String text, boolean last) {}

    /**
     * Cached state of one request at consecutive layers.
     *
     * @param model the model and version
     * @param layers the layers
     * @param position number of tokens that the state covers
     * @param data opaque bytes of the engine
     */
    record KvState(ModelId model, LayerRange layers, int position, Bytes data) {}

    /**
     * Report of an engine on its own state.
     *
     * @param held layers that are loaded and ready
     * @param loading layers that are being loaded
     * @param running number of requests in its batch
     * @param waiting number of steps that wait
     * @param kvFreeTokens free capacity of the KV cache, in tokens
     * @param stepMillis recent time of a decode step, in milliseconds
     * @param draining true once it accepts no new requests
     * @param term highest fencing token seen
     */
    record EngineReport(
            List<Holding> held,
            List<Holding> loading,
            int running,
            int waiting,
            long kvFreeTokens,
            double stepMillis,
            boolean draining,
            long term) {
        /** Copies the lists. */
        public EngineReport {
            held = List.copyOf(held);
            loading = List.copyOf(loading);
        }
    }

    /** Phases of a generation that an engine serves. */
    enum Phase {
        /** Prompts only. */
        PREFILL,
        /** Tokens after the prompt only. */
        DECODE,
        /** Both. */
        BOTH
    }

    /**
     * Layers of a model that an engine holds.
     *
     * @param model the model and version
     * @param layers the layers
     * @param adapters names of loaded adapters
     * @param phase phases that the engine serves
     */
    record Holding(ModelId model, LayerRange layers, List<String> adapters, Phase phase) {
        /** Copies the list. */
        public Holding {
            adapters = List.copyOf(adapters);
        }
    }

    /**
     * Desired state of an engine.
     *
     * @param term fencing token: the lease term of the node that orders
     * @param holdings all layers that the engine must hold
     */
    record Order(long term, List<Holding> holdings) {
        /** Copies the list. */
        public Order {
            holdings = List.copyOf(holdings);
        }
    }
}
